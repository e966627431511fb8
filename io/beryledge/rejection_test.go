package beryledge

import (
	"fmt"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylgate"
)

// countingDialect counts the requests that are parsed.
type countingDialect struct {
	testDialect
	parsed *atomic.Int64
}

func (dialect countingDialect) Ask(header http.Header) (berylspoke.Ask, error) {
	dialect.parsed.Add(1)
	return dialect.testDialect.Ask(header)
}

// holdSlots takes all slots of the admission queue and returns what frees them.
func holdSlots(daemon *Daemon) (free func()) {
	var held []*slot
	for range slotsPerCore * runtime.GOMAXPROCS(0) {
		held = append(held, daemon.admission.begin(demand{}))
	}
	return func() {
		for _, slot := range held {
			slot.free()
		}
	}
}

// overload lets one request wait for the processor, so that it counts as overloaded for
// a while.
func overload(daemon *Daemon) {
	free := holdSlots(daemon)
	waiting := make(handlerWaiter, 1)
	daemon.admission.offer(demand{organisation: "parish"}, waiting)
	free()
	if <-waiting {
		daemon.admission.hold(demand{}).free()
	}
}

// floods makes an organisation get many times its cap.
func floods(daemon *Daemon, organisation berylspoke.OrganisationID) {
	daemon.look(func(now time.Time, core *core) {
		for range 40 {
			request := &berylgate.Request{
				Service: "engines", Organisation: organisation, Arrived: now, Objective: time.Hour, Input: 50_000,
			}
			core.gate.Submit(now, request)
			core.gate.Ended(now, request, berylgate.Abandoned)
		}
	})
}

// Guards against an organisation beyond its cap whose requests are parsed at a VM short
// of processor time only to be refused.
func TestOverCapRequestsAreRejectedUnparsed(t *testing.T) {
	parsed := new(atomic.Int64)
	target := newTestTarget(t, "e1", events(9))
	dialect := countingDialect{testDialect{testCatalog()}, parsed}
	daemon, _ := startServingWith(t, map[string]*testTarget{"engines": target}, dialect)
	floods(daemon, "union")
	// Levels are computed every other tick.
	time.Sleep(3 * tickEvery)
	overload(daemon)
	// The listener may wait for a connection that it accepts without a decision.
	_, _ = knock(daemon.settings.Callers, "", "first")
	time.Sleep(2 * tickEvery)
	parsed.Store(0)
	for i := range 20 {
		overload(daemon)
		status, wait := knockAt(daemon.settings.Callers, "/draft/x", "u", fmt.Sprint("u-", i))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, wait)
	}
	require.Zero(t, parsed.Load())
	require.Zero(t, target.seen.Load())
	overload(daemon)
	status, _ := knockAt(daemon.settings.Callers, "/draft/x", "k", "k-1")
	require.Equal(t, http.StatusOK, status, "others are served")
}
