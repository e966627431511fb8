package berylgate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// Guards against a target that is used before its rest is over, or that counts as silent,
// failed or full for its rest.
func TestTargetRestsForAsLongAsItAsked(t *testing.T) {
	const rest = 2 * time.Second
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 2, false)
	weary := gate.sorted[0]
	backlog := weary.backlogMillis
	request := newRequest(now, "o")
	request.tried = map[berylspoke.TargetID]bool{gate.sorted[1].ID: true}
	require.Equal(t, weary.ID, gate.Submit(now, request).Target.ID)
	require.True(t, gate.RecordRest(now, weary.Run(), now.Add(rest)))
	gate.AttemptEnded(now, request, Rejected)
	require.False(t, gate.RecordRest(now, weary.Run(), now.Add(rest/2)), "a shorter rest is no news")
	end := now.Add(rest)
	for ; now.Before(end); now = now.Add(20 * time.Millisecond) {
		gate.Tick(now)
		require.NotEqual(t, weary.ID, sentTo(now, gate))
	}
	gate.Tick(now.Add(maxRestSpread))
	require.True(t, weary.usable(now.Add(maxRestSpread)))
	require.Equal(t, []berylspoke.TargetRun{weary.Run()}, gate.TakeRested())
	require.Zero(t, weary.failures)
	require.False(t, weary.silent(now))
	require.Equal(t, backlog, weary.backlogMillis)
}

// Guards against a rest that is forgotten when the target's entry changes, or lapses and
// returns, and against one that outlives the run that asked for it.
func TestRestBelongsToTheRunThatAskedForIt(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 1, false)
	declared := gate.sorted[0].Target
	gate.RecordRest(now, declared.Run(), now.Add(time.Minute))
	changed := declared
	changed.Slots++
	gate.SetTarget(now, changed)
	require.Empty(t, sentTo(now, gate))
	gate.RemoveTarget(declared.ID)
	gate.Tick(now)
	gate.SetTarget(now, declared)
	require.Empty(t, sentTo(now, gate))
	next := declared
	next.Started++
	gate.SetTarget(now, next)
	require.Equal(t, next.ID, sentTo(now, gate))
}

// Guards against a flood of requests to a target that has just rested.
func TestTargetThatHasRestedGetsAsMuchAsItAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 1, false)
	run := gate.sorted[0].Run()
	gate.RecordRest(now, run, now.Add(time.Second))
	now = now.Add(time.Second + maxRestSpread)
	gate.Tick(now)
	for _, allowed := range []int{1, 2, 8} {
		var sent []*Request
		for range 100 {
			if request := newRequest(now, "o"); gate.Submit(now, request).Refusal == nil {
				sent = append(sent, request)
			}
		}
		require.Len(t, sent, allowed)
		now = now.Add(50 * time.Millisecond)
		for _, request := range sent {
			gate.AnswerStarted(now, request, nil)
			gate.AttemptEnded(now, request, Succeeded)
		}
	}
}

// Guards against rests that end together for all daemons of a fleet.
func TestDaemonsReturnToARestedTargetAtDifferentTimes(t *testing.T) {
	const daemons, rest = 50, 3 * time.Second
	now := time.Unix(1000, 0)
	ends := make(map[time.Time]int)
	for i := range daemons {
		gate := newGate(now, i+1, 1, false)
		run := gate.sorted[0].Run()
		gate.RecordRest(now, run, now.Add(rest))
		end := gate.adviceOf(run).restUntil
		require.False(t, end.Before(now.Add(rest)))
		require.False(t, end.After(now.Add(rest+maxRestSpread)))
		ends[end.Truncate(20*time.Millisecond)]++
	}
	require.Greater(t, len(ends), 10)
}

// Guards against callers that wait for nothing, or return in vain, while all targets that may
// serve them rest, and against all of them returning at once.
func TestRequestIsRefusedUntilTheFirstTargetHasRested(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 3, false)
	for i, target := range gate.sorted {
		gate.RecordRest(now, target.Run(), now.Add(time.Duration(i+2)*time.Second))
	}
	delays := make(map[string]bool)
	for range 30 {
		decision := gate.Submit(now, newRequest(now, "o"))
		require.NotNil(t, decision.Refusal)
		require.Equal(t, berylspoke.ReasonTargetsResting, decision.Refusal.Reason)
		require.Equal(t, berylspoke.NotRun, decision.Refusal.Verdict)
		require.GreaterOrEqual(t, decision.Refusal.RetryAfter, 2*time.Second)
		require.LessOrEqual(t, decision.Refusal.RetryAfter, 2*time.Second+maxRestSpread+restReturnSpread)
		delays[fmt.Sprint(decision.Refusal.RetryAfter.Round(20*time.Millisecond))] = true
	}
	require.Greater(t, len(delays), 5)
	gate.RecordLeaving(gate.sorted[0].Run(), now)
	require.GreaterOrEqual(t, gate.Submit(now, newRequest(now, "o")).Refusal.RetryAfter, 3*time.Second, "one that leaves is not waited for")
}

// Guards against an engine that asked for rest and is made to send its cached segments.
func TestRestingTargetIsNoCacheSource(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 4, false)
	home := sentTo(now, gate)
	gate.RecordRest(now, gate.targets[home].Run(), now.Add(time.Minute))
	request := newRequest(now, "o", berylspoke.PromptSegment{ID: 7, Tokens: 400}, berylspoke.PromptSegment{ID: 8, Tokens: 50})
	decision := gate.Submit(now, request)
	require.Nil(t, decision.Refusal)
	require.NotEqual(t, home, decision.Target.ID)
	require.Nil(t, decision.CacheSource)
}
