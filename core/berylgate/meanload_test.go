package berylgate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// Guards against sending to engines of which nothing is known as if they were idle, after a
// restart of the whole fleet whose callers return at once.
func TestUnknownEnginesAreAsBusyAsTheOthers(t *testing.T) {
	const engines, known, slots = 89, 12, 16
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, engines, false)
	gate.SetDaemons(now, 66)
	answer := func(load berylspoke.EngineLoad, wait time.Duration) {
		for i := range known {
			request := newRequest(now, "o")
			request.Objective = time.Minute
			request.tried = make(map[berylspoke.TargetID]bool)
			for id := range gate.targets {
				request.tried[id] = id != berylspoke.TargetID(fmt.Sprint("t-", i))
			}
			require.Nil(t, gate.Submit(now, request).Refusal)
			gate.AnswerStarted(now.Add(wait), request, &load)
			gate.AttemptEnded(now.Add(wait), request, Succeeded)
		}
		now = now.Add(wait)
	}
	next := func() Decision {
		request := newRequest(now, "o")
		request.Objective = 400 * time.Millisecond
		decision := gate.Submit(now, request)
		gate.AttemptEnded(now, request, Rejected)
		return decision
	}
	answer(berylspoke.EngineLoad{Running: 2, Slots: slots}, 60*time.Millisecond)
	require.Nil(t, next().Refusal)
	answer(berylspoke.EngineLoad{Running: slots, Waiting: 9, Slots: slots}, time.Second)
	require.NotNil(t, next().Refusal, "most engines are unknown, but those that answered are full")
	for range 5 {
		now = now.Add(time.Second)
		answer(berylspoke.EngineLoad{Running: 3, Slots: slots}, 60*time.Millisecond)
	}
	require.Nil(t, next().Refusal)
}
