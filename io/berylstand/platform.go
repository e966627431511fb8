package berylstand

// This file defines the fake of the platform's configuration service.

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

// callsPerSecond is the platform's rate limit for all readers together.
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

// Platform holds the patches and the VMs published and counts the calls of readers.
type Platform struct {
	limiter *rate.Limiter
	mutex   sync.Mutex
	patches []patchValue
	// visible is the number of patches that readers see, on a stale platform fewer than
	// were published.
	visible  int
	vms      []vmValue
	revision uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	down    bool
	calls   int
}

// NewPlatform returns a platform without patches and VMs.
func NewPlatform() *Platform {
	return &Platform{limiter: rate.NewLimiter(callsPerSecond, callsPerSecond), changed: make(chan struct{}), revision: 1}
}

// Publish appends a patch, as an operator does, makes all patches visible and returns
// the number of the new one.
func (platform *Platform) Publish(body []byte) uint64 {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	number := uint64(len(platform.patches) + 1)
	platform.patches = append(platform.patches, patchValue{number, body})
	platform.visible = len(platform.patches)
	platform.wake()
	return number
}

// SetVisiblePatches makes the platform stale: readers see only the first patches.
func (platform *Platform) SetVisiblePatches(count int) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.visible = min(count, len(platform.patches))
	platform.wake()
}

// SetDown sets whether the platform rejects all calls of readers.
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

// Calls returns the number of calls of readers, including the rejected ones.
func (platform *Platform) Calls() int {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.calls
}

// wake wakes all waiting readers; the caller holds the mutex.
func (platform *Platform) wake() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// Handler returns the HTTP interface of the platform, with publishing for operators.
func (platform *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/patches", platform.read(platform.servePatches))
	mux.HandleFunc("GET /v1/vms", platform.read(platform.serveVMs))
	mux.HandleFunc("POST /v1/patches", platform.servePublish)
	mux.HandleFunc("GET /v1/calls", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, map[string]int{"calls": platform.Calls()})
	})
	return mux
}

// read counts a call and rejects it if the platform is down or over its rate limit.
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

// wait blocks until the condition holds, the platform is down, waitMs has elapsed or
// the reader disconnects.
func (platform *Platform) wait(request *http.Request, condition func() bool) {
	millis, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(millis)*time.Millisecond)
	defer cancel()
	for {
		platform.mutex.Lock()
		done, changed := condition() || platform.down, platform.changed
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
	platform.wait(request, func() bool { return platform.visible > after })
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	page := []patchValue{}
	size := 0
	for i := after; i < platform.visible && size < 1<<20; i++ {
		page = append(page, platform.patches[i])
		size += len(platform.patches[i].Body)
	}
	writeJSON(writer, map[string]any{"patches": page})
}

func (platform *Platform) serveVMs(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	platform.wait(request, func() bool { return platform.revision != after })
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	writeJSON(writer, map[string]any{"revision": platform.revision, "vms": platform.vms})
}

func (platform *Platform) servePublish(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, 1<<20))
	if err != nil {
		http.Error(writer, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	writeJSON(writer, map[string]uint64{"number": platform.Publish(body)})
}
