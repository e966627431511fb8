package berylgate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// coldFleet returns gates in failure domains that all know one engine, and its service.
func coldFleet(now time.Time, domains, each int, target berylspoke.Target) []*Gate {
	var gates []*Gate
	stand := make(map[berylspoke.VMID]berylspoke.FailureDomain)
	for i := range domains * each {
		gate := newGate(now, i+1, 0, false)
		gate.options.FailureDomain = berylspoke.FailureDomain(fmt.Sprint("d-", i%domains))
		catalog := &berylspoke.Catalog{Services: map[berylspoke.ServiceID]berylspoke.Service{drafts: {
			ID: drafts, MaxConnections: 1_000, ColdFor: 3 * time.Second, ColdPerSecond: 14,
			Engine: &berylspoke.EngineSpec{Slots: 1_000, Memory: 100_000_000},
		}}}
		gate.SetCatalog(now, catalog)
		gate.SetTargets(now, []berylspoke.Target{target})
		stand[gate.options.VM] = gate.options.FailureDomain
		gates = append(gates, gate)
	}
	for _, gate := range gates {
		gate.SetVMs(now, stand)
	}
	return gates
}

// sendAll lets each gate send as much as it would for some time and returns the most
// that the target got in one second.
func sendAll(gates []*Gate, from time.Time, length time.Duration) int {
	const step = 20 * time.Millisecond
	var sent []time.Time
	most := 0
	for now := from; now.Sub(from) < length; now = now.Add(step) {
		for _, gate := range gates {
			request := newRequest(now, "clergy")
			if gate.Submit(now, request).Refusal == nil {
				sent = append(sent, now)
				gate.Ended(now, request, Succeeded)
			}
		}
		for len(sent) > 0 && now.Sub(sent[0]) >= time.Second {
			sent = sent[1:]
		}
		most = max(most, len(sent))
	}
	return most
}

// Guards against a target that starts cold and is sent more by all daemons together
// than it bears, and against one that is left alone for good.
func TestColdTargetGetsWhatItBears(t *testing.T) {
	now := time.Unix(0, 0)
	target := berylspoke.Target{ID: "t-0", Service: drafts, Address: "10.0.0.1:1", FailureDomain: "d-2", Slots: 1_000, ColdFor: 3 * time.Second}
	gates := coldFleet(now, 6, 11, target)
	most := sendAll(gates, now, 3*time.Second)
	require.LessOrEqual(t, most, 14)
	require.GreaterOrEqual(t, most, 7, "it is used for what it bears")
	now = now.Add(3 * time.Second)
	target.ColdFor = 0
	for _, gate := range gates {
		gate.SetTargets(now, []berylspoke.Target{target})
	}
	require.Greater(t, sendAll(gates, now, time.Second), 500, "once it is warm all use it")
}

// Guards against all daemons sending to a target that crashed in the moment in which it
// is back, before its own word of being cold has come.
func TestTargetThatCouldNotBeReachedIsTakenForCold(t *testing.T) {
	now := time.Unix(0, 0)
	target := berylspoke.Target{ID: "t-0", Service: drafts, Address: "10.0.0.1:1", FailureDomain: "d-2", Slots: 1_000}
	gates := coldFleet(now, 6, 11, target)
	for _, gate := range gates {
		request := newRequest(now, "clergy")
		require.Nil(t, gate.Submit(now, request).Refusal)
		gate.Ended(now, request, Unreached)
	}
	now = now.Add(time.Second)
	require.LessOrEqual(t, sendAll(gates, now, 2*time.Second), 14)
}
