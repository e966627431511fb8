package berylgate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

// declareBuilds changes the targets of a gate to the given versions, one each.
func declareBuilds(now time.Time, gate *Gate, versions ...berylspoke.SoftwareVersion) {
	var targets []berylspoke.Target
	for i, version := range versions {
		targets = append(targets, berylspoke.Target{
			ID: berylspoke.TargetID(fmt.Sprint("t-", i)), Service: drafts, Address: fmt.Sprint("10.0.0.", i, ":1"),
			FailureDomain: "a", Slots: 64, Version: version,
		})
	}
	gate.SetTargets(now, targets)
}

// Guards against a stream that goes on at another build, whatever the targets do and however
// often it is sent again.
func TestRequestOfABuildGoesToNoOther(t *testing.T) {
	versions := []berylspoke.SoftwareVersion{"", "v1", "v2", "v3"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		drawn := rapid.SliceOfN(rapid.SampledFrom(versions), 1, 8).Draw(t, "versions")
		gate := newGate(now, 1, 0, false)
		declareBuilds(now, gate, drawn...)
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			gate.Tick(now)
			began := rapid.SampledFrom(gate.sorted).Draw(t, "began")
			request := newRequest(now, "o", berylspoke.PromptSegment{ID: 1, Tokens: 3000}, berylspoke.PromptSegment{ID: 2, Tokens: 100})
			request.Continues, request.Build, request.MaxAttempts = true, began.build, 4
			for range 4 {
				decision := gate.Submit(now, request)
				if decision.Refusal != nil {
					require.NotEqual(t, berylspoke.ReasonBuildGone, decision.Refusal.Reason)
					break
				}
				require.Equal(t, began.build, decision.Target.Build())
				outcome := rapid.SampledFrom([]Outcome{Succeeded, Rejected, Unreachable, Broken, TargetFailed}).Draw(t, "outcome")
				gate.AttemptEnded(now, request, outcome)
				if outcome == Succeeded {
					break
				}
			}
		}
	})
}

// Guards against a caller that waits for a build that does not return.
func TestRequestOfABuildThatIsGoneIsRefusedWithoutADelay(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 0, false)
	declareBuilds(now, gate, "v1", "v2")
	request := newRequest(now, "o")
	request.Continues, request.Build = true, gate.targets["t-0"].build
	declareBuilds(now, gate, "v3", "v2")
	refusal := gate.Submit(now, request).Refusal
	require.Equal(t, berylspoke.ReasonBuildGone, refusal.Reason)
	require.Equal(t, berylspoke.NotRun, refusal.Verdict)
	require.Zero(t, refusal.RetryAfter)
}

// Guards against a stream that goes on at a target that has restarted under its id with another
// version, which the daemon does not know yet.
func TestTargetThatRefusedConnectionsIsDoubtful(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 0, false)
	declareBuilds(now, gate, "v1")
	gate.SetTargetsAsOf(now)
	build := gate.targets["t-0"].build
	refused := newRequest(now, "o")
	require.Equal(t, build, gate.Submit(now, refused).Build)
	gate.AttemptEnded(now, refused, Unreachable)
	now = now.Add(maxPause)
	gate.Tick(now)
	begins, goesOn := newRequest(now, "o"), newRequest(now, "o")
	goesOn.Continues, goesOn.Build = true, build
	require.NotNil(t, gate.Submit(now, goesOn).Refusal)
	require.False(t, gate.Submit(now, begins).Build.Certain(), "a stream that begins there cannot go on elsewhere")
	gate.AttemptEnded(now, begins, Succeeded)
	gate.SetTargetsAsOf(now)
	require.Equal(t, build, gate.Submit(now, newRequest(now, "o")).Build)
	goesOn = newRequest(now, "o")
	goesOn.Continues, goesOn.Build = true, build
	require.Nil(t, gate.Submit(now, goesOn).Refusal)
}

// Guards against a stream of no certain build that goes on at another target of none, whatever the
// versions of both: what is not certain is not the same.
func TestStreamOfADoubtfulTargetGoesOnAtNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		gate := newGate(now, 1, 0, false)
		declareBuilds(now, gate, rapid.SliceOfN(rapid.SampledFrom([]berylspoke.SoftwareVersion{"", "v1", "v2"}), 1, 6).Draw(t, "versions")...)
		for _, target := range gate.sorted {
			target.refusedAt = now
		}
		request := newRequest(now, "o")
		request.MaxAttempts = 3
		decision := gate.Submit(now, request)
		require.Nil(t, decision.Refusal)
		gate.AttemptEnded(now, request, Broken)
		request.Continues, request.Build = true, decision.Build
		require.NotNil(t, gate.Submit(now, request).Refusal)
		again := newRequest(now, "o")
		again.Continues, again.Build = true, decision.Build
		require.NotNil(t, gate.Submit(now, again).Refusal)
	})
}

// Guards against streams at a doubtful target while another can serve them.
func TestDoubtfulTargetGetsStreamsOnlyIfNoOtherCan(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 0, false)
	declareBuilds(now, gate, "v1", "v1")
	gate.targets["t-0"].refusedAt = now
	for range 10 {
		require.EqualValues(t, "t-1", gate.Submit(now, newRequest(now, "o")).Target.ID)
	}
	declareBuilds(now, gate, "v1")
	gate.targets["t-0"].refusedAt = now
	require.EqualValues(t, "t-0", gate.Submit(now, newRequest(now, "o")).Target.ID)
}

// Guards against streams at a new build that not all daemons know, and against a service that
// refuses all while it is the only one.
func TestHeldBuildGetsStreamsOnlyIfNoOtherCan(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 0, false)
	declareBuilds(now, gate, "v1", "v2")
	held := gate.targets["t-1"].build
	gate.HoldBuild(held, now.Add(time.Second))
	for range 10 {
		require.EqualValues(t, "t-0", gate.Submit(now, newRequest(now, "o")).Target.ID)
	}
	goesOn := newRequest(now, "o")
	goesOn.Continues, goesOn.Build = true, held
	require.EqualValues(t, "t-1", gate.Submit(now, goesOn).Target.ID)
	gate.targets["t-0"].pausedUntil = now.Add(time.Second)
	require.EqualValues(t, "t-1", gate.Submit(now, newRequest(now, "o")).Target.ID)
	gate.targets["t-0"].pausedUntil = time.Time{}
	gate.targets["t-0"].slowdown = maxSlowdown
	now = now.Add(time.Second)
	require.EqualValues(t, "t-1", gate.Submit(now, newRequest(now, "o")).Target.ID)
}

// Guards against streams that end for want of room while new ones begin: what continues a stream
// goes ahead of them, also where its organisation is beyond its cap.
func TestContinuationGoesAheadOfNewStreams(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 0, false)
	declareBuilds(now, gate, "v1", "v1", "v2")
	segment := func(i int) berylspoke.PromptSegment {
		return berylspoke.PromptSegment{ID: uint64(i), Tokens: 9000}
	}
	i := 0
	for gate.Submit(now, newRequest(now, "o", segment(i))).Refusal == nil {
		i++
		require.Less(t, i, 1000, "no request is refused")
	}
	goesOn := newRequest(now, "o", segment(i+1))
	goesOn.Continues, goesOn.Build = true, gate.targets["t-0"].build
	require.NotNil(t, gate.Submit(now, goesOn).Refusal)
	goesOn = newRequest(now, "o", segment(i+1))
	goesOn.Continues, goesOn.Build, goesOn.Claimed = true, gate.targets["t-0"].build, true
	decision := gate.Submit(now, goesOn)
	require.Nil(t, decision.Refusal)
	require.Equal(t, goesOn.Build, decision.Target.Build())
}

// Guards against estimates that are kept for a target whose version changed.
func TestTargetOfAnotherVersionStartsAnew(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 0, false)
	declareBuilds(now, gate, "v1")
	gate.targets["t-0"].slowdown = maxSlowdown
	declareBuilds(now, gate, "v2")
	require.NotEqual(t, maxSlowdown, gate.targets["t-0"].slowdown)
}

// Guards against targets of unknown version that count as alike.
func TestTargetsOfUnknownVersionAreAlikeToNoOther(t *testing.T) {
	one := berylspoke.Target{ID: "t-1", Service: drafts, Started: 5}
	for _, other := range []berylspoke.Target{
		{ID: "t-2", Service: drafts, Started: 5}, {ID: "t-1", Service: drafts, Started: 6},
		{ID: "t-1", Service: "others", Started: 5}, {ID: "t-1", Service: drafts, Started: 5, Version: "v1"},
	} {
		require.NotEqual(t, one.Build(), other.Build())
	}
	one.Slots = 3
	require.Equal(t, berylspoke.Target{ID: "t-1", Service: drafts, Started: 5}.Build(), one.Build())
	require.Equal(t, berylspoke.Target{Service: drafts, Version: "v1"}.Build(), berylspoke.Target{ID: "t-9", Service: drafts, Started: 9, Version: "v1"}.Build())
	require.NotEqual(t, berylspoke.Target{Service: drafts, Version: "v1"}.Build(), berylspoke.Target{Service: "others", Version: "v1"}.Build())
}
