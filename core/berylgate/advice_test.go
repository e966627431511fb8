package berylgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// sentTo submits a request and returns the target that it is sent to, empty if it is
// refused.
func sentTo(now time.Time, gate *Gate) berylspoke.TargetID {
	request := newRequest(now, "o", berylspoke.PromptSegment{ID: 7, Tokens: 400}, berylspoke.PromptSegment{ID: 8, Tokens: 50})
	decision := gate.Submit(now, request)
	gate.AttemptEnded(now, request, Succeeded)
	return decision.Target.ID
}

// Guards against requests to a target that leaves because the store, whose entries are
// older than the target's answers, still says or says again that it is ready.
func TestEntryDoesNotTakeBackThatATargetLeaves(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 1, false)
	declared := gate.sorted[0].Target
	require.Equal(t, declared.ID, sentTo(now, gate))
	require.True(t, gate.RecordLeaving(declared.Run(), now))
	require.False(t, gate.RecordLeaving(declared.Run(), now), "known already")
	require.Empty(t, sentTo(now, gate))
	gate.SetTarget(now, declared)
	require.Empty(t, sentTo(now, gate), "the same entry again")
	gate.RemoveTarget(declared.ID)
	for range 60 {
		now = now.Add(time.Second)
		gate.Tick(now)
	}
	gate.SetTarget(now, declared)
	require.Empty(t, sentTo(now, gate), "the entry lapsed and returned")
}

// Guards against a restarted target that gets nothing because its previous run left, and
// against late answers of that run.
func TestNextRunOfATargetThatLeftIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 1, false)
	left := gate.sorted[0].Target
	gate.RecordLeaving(left.Run(), now)
	next := left
	next.Started++
	gate.SetTarget(now, next)
	gate.RecordLeaving(left.Run(), now)
	require.Equal(t, next.ID, sentTo(now, gate))
}

// Guards against advice that is kept for ever.
func TestAdviceOfRunsThatAreGoneIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 3, false)
	for _, target := range gate.sorted {
		gate.RecordLeaving(target.Run(), now)
	}
	gate.SetTargets(now, nil)
	for range int(adviceMemory/time.Second) + 2 {
		now = now.Add(time.Second)
		gate.Tick(now)
	}
	require.Empty(t, gate.advice)
}

// Guards against prompts whose home is a target that leaves, while its cached segments can
// still be fetched.
func TestHomesMoveFromATargetThatLeaves(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 4, false)
	home := sentTo(now, gate)
	gate.RecordLeaving(gate.targets[home].Run(), now)
	request := newRequest(now, "o", berylspoke.PromptSegment{ID: 7, Tokens: 400}, berylspoke.PromptSegment{ID: 8, Tokens: 50})
	decision := gate.Submit(now, request)
	require.Nil(t, decision.Refusal)
	require.NotEqual(t, home, decision.Target.ID)
	require.NotNil(t, decision.CacheSource)
	require.Equal(t, home, decision.CacheSource.ID)
}

// Guards against daemons that learn one after the other, from their own requests, that a
// target leaves, and against reports that grow with the number of targets that leave.
func TestLeavingTargetsAreKnownToTheFleet(t *testing.T) {
	const daemons, targets, leaving = 60, 200, 100
	fleet := newMeshFleet(daemons, targets)
	fleet.run(time.Second, 50)
	first := fleet.gates[0]
	for _, target := range first.sorted[:leaving] {
		first.RecordLeaving(target.Run(), fleet.now)
	}
	report := first.Report(fleet.now)
	require.Len(t, report.Leavings, maxLeavings)
	fleet.run(30*time.Second, 50)
	for _, gate := range fleet.gates {
		for i, target := range gate.sorted {
			require.Equal(t, i < leaving, target.Draining, "%s at %s", target.ID, gate.options.VM)
		}
		require.Empty(t, gate.Report(fleet.now).Leavings, "told often enough")
	}
}

// Guards against evidence that becomes younger as it is passed on, and against a report of
// another run of the target.
func TestReportOfALeavingTargetKeepsItsAgeAndRun(t *testing.T) {
	const age = 700 * time.Millisecond
	now := time.Unix(1000, 0)
	sender, receiver, restarted := newGate(now, 1, 1, false), newGate(now, 2, 1, false), newGate(now, 3, 1, false)
	run := sender.sorted[0].Run()
	sender.RecordLeaving(run, now.Add(-age))
	report := sender.Report(now)
	require.Equal(t, []berylspoke.TargetRun{run}, receiver.ReceiveReport(now, "vm-1", report))
	require.Empty(t, receiver.ReceiveReport(now, "vm-1", report), "known already")
	require.Equal(t, age, receiver.Report(now).Leavings[0].Age)
	next := restarted.sorted[0].Target
	next.Started++
	restarted.SetTarget(now, next)
	require.Empty(t, restarted.ReceiveReport(now, "vm-1", report))
}
