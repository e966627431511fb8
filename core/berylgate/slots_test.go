package berylgate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// Guards against avoiding an engine without a free slot although one is free within moments,
// on engines of any size and speed.
func TestWaitForASlotFollowsFromHowLongRequestsHoldOne(t *testing.T) {
	for _, slots := range []int{6, 16, 128} {
		for _, hold := range []time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second} {
			t.Run(fmt.Sprint(slots, " slots, ", hold), func(t *testing.T) {
				now := time.Unix(0, 0)
				gate := newGate(now, 1, 1, false)
				for range 300 {
					request := newRequest(now, "o")
					request.Objective = time.Minute
					require.Nil(t, gate.Submit(now, request).Refusal)
					gate.AnswerStarted(now.Add(50*time.Millisecond), request, nil)
					now = now.Add(hold)
					gate.AttemptEnded(now, request, Succeeded)
				}
				now = now.Add(time.Minute)
				target := gate.sorted[0]
				expected := func() time.Duration {
					return gate.Submit(now, &Request{
						Service: drafts, Organisation: "o", Arrived: now, Objective: time.Nanosecond, Input: 100,
						Segments: []berylspoke.PromptSegment{{ID: 1, Tokens: 100}}, MaxAttempts: 1,
					}).Expected
				}
				target.slots = slots
				target.running = slots - 1
				free := expected()
				target.running = slots
				require.InEpsilon(t, millis(hold)/float64(slots), millis(expected()-free), 0.05)
			})
		}
	}
}
