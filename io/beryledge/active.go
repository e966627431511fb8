package beryledge

// This file defines the set of requests that a daemon is processing.

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
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

// each calls a function for each request; none of them ends meanwhile.
func (active *activeCalls) each(function func(*call)) {
	active.mutex.Lock()
	defer active.mutex.Unlock()
	for call := range active.calls {
		function(call)
	}
}

// stage is what a request waits for.
type stage string

const (
	readingBody  stage = "readingBody"
	awaitingSlot stage = "awaitingSlot"
	connecting   stage = "connecting"
	atTarget     stage = "atTarget"
)

// errStopEnded is why the requests that are active at the end of a planned stop are cancelled.
var errStopEnded = errors.New("the planned stop has ended")

// logCut logs and counts a request that a planned stop ends before its time.
func (call *call) logCut(now time.Time) {
	call.daemon.meters.requestsCut.Inc()
	fields := []zap.Field{
		zap.String("stage", string(call.stage)), zap.Bool("mayHaveRun", call.mayHaveRun), zap.Bool("begun", call.stream.started),
		zap.Duration("sinceStop", now.Sub(call.daemon.stopBegan())),
	}
	if call.request != nil {
		fields = append(fields, zap.Duration("remaining", call.request.Deadline.Sub(now)))
	}
	if !call.sent.IsZero() {
		fields = append(fields, zap.Duration("sinceSent", now.Sub(call.sent)))
	}
	call.log("request cut by the planned stop", fields...)
}
