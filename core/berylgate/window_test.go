package berylgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against flooding engines after a restart of the whole fleet, before the loads that
// they report are known.
func TestStartedDaemonSendsAsAnswersReturn(t *testing.T) {
	const engines, daemons = 90, 66
	start := time.Unix(1000, 0)
	newStarted := func() *Gate {
		gate := newGate(start, 1, engines, false)
		gate.SetDaemons(start, daemons)
		return gate
	}
	submit := func(gate *Gate, now time.Time, count int) []*Request {
		var sent []*Request
		for range count {
			request := newRequest(now, "o")
			if gate.Submit(now, request).Refusal == nil {
				sent = append(sent, request)
			}
		}
		return sent
	}
	answer := func(gate *Gate, now time.Time, requests []*Request) {
		for _, request := range requests {
			gate.AnswerStarted(now, request, nil)
			gate.AttemptEnded(now, request, Succeeded)
		}
	}
	const part = engines * 64 / daemons // newGate declares engines of 64 slots
	gate, now := newStarted(), start
	sent := submit(gate, now, 4*part)
	require.Positive(t, len(sent))
	require.Less(t, len(sent), part/2, "nothing is known yet")
	now = now.Add(60 * time.Millisecond)
	answer(gate, now, sent)
	more := submit(gate, now, 4*part)
	require.Greater(t, len(more), len(sent), "the answers came in time")
	for range 8 {
		now = now.Add(700 * time.Millisecond / 8)
		gate.Tick(now)
	}
	require.Empty(t, submit(gate, now, 4*part), "requests have waited for 0.7 s")
	answer(gate, now, more)
	require.Less(t, len(submit(gate, now, 4*part)), len(more), "engines let requests wait")

	gate = newStarted()
	require.Len(t, submit(gate, start.Add(windowTime+time.Second), 4*part), 4*part, "later the queues at engines bound what is sent")
}
