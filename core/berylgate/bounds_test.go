package berylgate

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// Guards against a demand that is told to peers as a small one, or none, because it is too large.
func TestDemandBeyondAllNumbersIsToldAsTheLargest(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := newGate(now, 1, 4, false)
	for range 4 {
		request := newRequest(now, "o", berylspoke.PromptSegment{ID: 1, Tokens: 1 << 40})
		gate.Submit(now, request)
		now = now.Add(50 * time.Millisecond)
		gate.Tick(now)
	}
	report := gate.Report(now.Add(time.Second))
	require.Len(t, report.Organisations, 1)
	require.EqualValues(t, math.MaxUint32, report.Organisations[0].Demand)
	usage := gate.newUsage(FleetUsage, map[uint32]total{1: {demand: 1}, 2: {demand: 2}}, 1)
	require.EqualValues(t, 3, usage.RestDemand)
	many := make(map[uint32]total)
	for organisation := range uint32(2 * maxOrganisations) {
		many[organisation] = total{demand: math.MaxUint32}
	}
	require.EqualValues(t, math.MaxUint32, gate.newUsage(DaemonUsage, many, 1).RestDemand)
}

// Guards against an entry that claims more slots than any target of its service has.
func TestSlotsAreBoundedByTheDeclaration(t *testing.T) {
	now := time.Unix(1000, 0)
	for slots, want := range map[int][2]int{0: {64, 0}, -5: {64, -5}, 6: {6, 6}, 60_000: {64, 100}, math.MaxInt: {64, 100}} {
		for i, plain := range []bool{false, true} {
			gate := newGate(now, 1, 1, plain)
			gate.SetTarget(now, berylspoke.Target{ID: "odd", Service: drafts, Address: "10.0.1.1:1", FailureDomain: "a", Slots: slots})
			require.Equal(t, want[i], gate.targets["odd"].slots, "%d slots, plain %v", slots, plain)
		}
	}
}

// Guards against requests that go to an entry for as long as it is there, though it has the address of another
// target, which rejects them all.
func TestTargetWithTheAddressOfAnotherIsAvoided(t *testing.T) {
	const requests = 80
	for _, test := range []struct {
		name    string
		address string
		most    int
	}{
		{"the address is that of another target", "10.0.0.0:1", 5},
		{"a target rejects what asks for something else of it", "10.0.1.1:1", requests},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			gate := newGate(now, 1, 1, false)
			odd := berylspoke.Target{ID: "odd", Service: drafts, Address: test.address, FailureDomain: "a", Slots: 64, Version: "v1"}
			gate.SetTarget(now, odd)
			sent := 0
			for i := range requests {
				now = now.Add(50 * time.Millisecond)
				gate.Tick(now)
				request := newRequest(now, "o", berylspoke.PromptSegment{ID: uint64(i), Tokens: 2000}, berylspoke.PromptSegment{ID: uint64(1000 + i), Tokens: 100})
				decision := gate.Submit(now, request)
				require.Nil(t, decision.Refusal)
				if decision.Target.ID == odd.ID {
					sent++
					gate.AttemptEnded(now, request, Misdirected)
					continue
				}
				gate.AnswerStarted(now, request, nil)
				gate.AttemptEnded(now, request, Succeeded)
			}
			require.Positive(t, sent)
			require.LessOrEqual(t, sent, test.most)
			if test.most == requests {
				require.Greater(t, sent, 5)
			}
		})
	}
}
