package berylstand

// This file defines the stand-in of the platform's configuration service.

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"berylspoke"
)

// callsPerSecond is the platform's limit across all readers.
const callsPerSecond = 2000

type patchValue struct {
	Number uint64 `json:"number"`
	Body   []byte `json:"body"`
}

type vmValue struct {
	ID            berylspoke.VMID          `json:"id"`
	FailureDomain berylspoke.FailureDomain `json:"failureDomain"`
	PeerAddress   string                   `json:"peerAddress"`
	CallAddress   string                   `json:"callAddress"`
	Leaving       bool                     `json:"leaving"`
}

// Platform holds what operators published and counts the calls of readers.
type Platform struct {
	limiter *rate.Limiter
	mutex   sync.Mutex
	patches []patchValue
	// shown is the number of patches readers see; a stale platform shows fewer
	// than were published.
	shown    int
	vms      []vmValue
	revision uint64
	changed  chan struct{}
	down     bool
	calls    int
}

// NewPlatform returns a platform with nothing published.
func NewPlatform() *Platform {
	return &Platform{limiter: rate.NewLimiter(callsPerSecond, callsPerSecond), changed: make(chan struct{}), revision: 1}
}

// Publish appends a patch, as an operator does, and returns its number.
func (platform *Platform) Publish(body []byte) uint64 {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	number := uint64(len(platform.patches) + 1)
	platform.patches = append(platform.patches, patchValue{number, body})
	platform.shown = len(platform.patches)
	platform.wake()
	return number
}

// ShowOnly makes the platform stale: readers see only the first count patches.
func (platform *Platform) ShowOnly(count int) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.shown = min(count, len(platform.patches))
	platform.wake()
}

// SetDown makes the platform answer nobody, or answer again.
func (platform *Platform) SetDown(down bool) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.down = down
	platform.wake()
}

// SetVMs replaces the list of VMs.
func (platform *Platform) SetVMs(vms []berylspoke.VM) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vms = nil
	for _, vm := range vms {
		platform.vms = append(platform.vms, vmValue(vm))
	}
	platform.revision++
	platform.wake()
}

// Calls returns the number of calls answered or refused.
func (platform *Platform) Calls() int {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.calls
}

// wake ends all waits; the caller holds the mutex.
func (platform *Platform) wake() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// Handler returns the platform's interface; publishing is the operators' part
// of it.
func (platform *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/patches", platform.read(platform.servePatches))
	mux.HandleFunc("GET /v1/vms", platform.read(platform.serveVMs))
	mux.HandleFunc("POST /v1/patches", platform.servePublish)
	mux.HandleFunc("GET /v1/calls", func(writer http.ResponseWriter, _ *http.Request) {
		answer(writer, map[string]int{"calls": platform.Calls()})
	})
	return mux
}

// read counts a call and refuses it when the platform is down or overrun.
func (platform *Platform) read(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		platform.mutex.Lock()
		platform.calls++
		down := platform.down
		platform.mutex.Unlock()
		switch {
		case down:
			http.Error(writer, "platform is down", http.StatusServiceUnavailable)
		case !platform.limiter.Allow():
			http.Error(writer, "too many calls", http.StatusTooManyRequests)
		default:
			serve(writer, request)
		}
	}
}

// wait blocks until the condition holds, the time is over or the reader leaves.
func (platform *Platform) wait(request *http.Request, holds func() bool) {
	millis, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(millis)*time.Millisecond)
	defer cancel()
	for {
		platform.mutex.Lock()
		done, changed := holds() || platform.down, platform.changed
		platform.mutex.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (platform *Platform) servePatches(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.Atoi(request.URL.Query().Get("after"))
	platform.wait(request, func() bool { return platform.shown > after })
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	news := []patchValue{}
	size := 0
	for i := after; i < platform.shown && size < 1<<20; i++ {
		news = append(news, platform.patches[i])
		size += len(platform.patches[i].Body)
	}
	answer(writer, map[string]any{"patches": news})
}

func (platform *Platform) serveVMs(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	platform.wait(request, func() bool { return platform.revision != after })
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	answer(writer, map[string]any{"revision": platform.revision, "vms": platform.vms})
}

func (platform *Platform) servePublish(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, 1<<20))
	if err != nil {
		http.Error(writer, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	answer(writer, map[string]uint64{"number": platform.Publish(body)})
}
