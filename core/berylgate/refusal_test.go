package berylgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// An organisation demands ten times its share, so most of its callers are refused at
// first. Told to wait for two to four seconds, each came back after its objective of 0.4
// to 0.8 s, and what its organisation was then admitted with was answered late, in place
// of requests that could still be answered in time. Refused callers must come back in
// time, and not all at one moment.
func TestRefusedCallersReturnWithinTheirObjective(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newGate(now, 1, 4, false)
	gate.capacity = 60_000
	for range 200 {
		gate.shares.usage(hashOf("flood")).demand.add(now, 6_000)
		gate.shares.usage(hashOf("flood")).served.add(now, 3_000)
		gate.shares.usage(hashOf("other")).demand.add(now, 500)
	}
	for _, objective := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond} {
		seen := make(map[time.Duration]bool)
		for range 50 {
			request := newRequest(now, "flood", berylspoke.PromptSegment{ID: 1, Tokens: 2_000})
			request.Objective = objective
			refusal := gate.Submit(now, request).Refusal
			require.NotNil(t, refusal)
			require.Positive(t, refusal.RetryAfter)
			require.Less(t, refusal.RetryAfter, objective/2)
			seen[refusal.RetryAfter] = true
		}
		require.Greater(t, len(seen), 40)
	}
}

// The retry delay covers a queue that is longer than the objective: a caller that came
// back before it has drained would be refused again, and a caller retries only once.
func TestRetryAfterCoversALongQueue(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newGate(now, 1, 1, false)
	target := gate.sorted[0]
	const queue = 1_500.0
	target.backlogMillis, target.pendingMillis = queue, queue
	request := newRequest(now, "o", berylspoke.PromptSegment{ID: 1, Tokens: 200})
	refusal := gate.Submit(now, request).Refusal
	require.NotNil(t, refusal)
	require.GreaterOrEqual(t, refusal.RetryAfter, duration(queue)-request.Objective)
}
