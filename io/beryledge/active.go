package beryledge

// This file defines the set of requests that a daemon is processing.

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// activeCalls are the requests that a daemon is processing.
type activeCalls struct {
	mutex sync.Mutex
	calls map[*call]struct{}
}

func newActiveCalls() *activeCalls { return &activeCalls{calls: make(map[*call]struct{})} }

func (active *activeCalls) add(call *call) {
	active.mutex.Lock()
	defer active.mutex.Unlock()
	active.calls[call] = struct{}{}
}

func (active *activeCalls) remove(call *call) {
	active.mutex.Lock()
	defer active.mutex.Unlock()
	delete(active.calls, call)
}

// all returns the requests, which may end meanwhile.
func (active *activeCalls) all() []*call {
	active.mutex.Lock()
	defer active.mutex.Unlock()
	return slices.Collect(maps.Keys(active.calls))
}

// stage is what a request waits for.
type stage string

const (
	readingBody  stage = "readingBody"
	awaitingSlot stage = "awaitingSlot"
	connecting   stage = "connecting"
	atTarget     stage = "atTarget"
)

// bodyReader says whether the handler of a request reads its body, which others may bound then.
type bodyReader struct {
	mutex   sync.Mutex
	reading bool
}

// wholeRequest is what others may know of a request that is complete.
type wholeRequest struct {
	route string
	at    time.Time
}

// beginBody begins to read the body and bounds the time that it may take.
func (call *call) beginBody() {
	call.stage = readingBody
	call.reader.mutex.Lock()
	call.reader.reading = true
	call.reader.mutex.Unlock()
	call.boundBody()
}

// endBody ends the reading of the body.
func (call *call) endBody() {
	call.reader.mutex.Lock()
	defer call.reader.mutex.Unlock()
	call.reader.reading = false
	call.setReadDeadline(time.Time{})
}

func (call *call) setReadDeadline(deadline time.Time) {
	_ = http.NewResponseController(call.writer).SetReadDeadline(deadline)
}
