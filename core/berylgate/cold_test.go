package berylgate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// coldFleet returns gates in several failure domains that all know the same engine.
func coldFleet(now time.Time, domains, perDomain int, target berylspoke.Target) []*Gate {
	var gates []*Gate
	domainOf := make(map[berylspoke.VMID]berylspoke.FailureDomain)
	for i := range domains * perDomain {
		gate := newGate(now, i+1, 0, false)
		gate.options.FailureDomain = berylspoke.FailureDomain(fmt.Sprint("d-", i%domains))
		catalog := &berylspoke.Catalog{Services: map[berylspoke.ServiceID]berylspoke.Service{drafts: {
			ID: drafts, MaxConnections: 1_000, ColdFor: 3 * time.Second, ColdRequestsPerSecond: 14,
			Engine: &berylspoke.EngineSpec{Slots: 1_000, CacheCapacity: 100_000_000},
		}}}
		gate.SetCatalog(now, catalog)
		gate.SetTargets(now, []berylspoke.Target{target})
		domainOf[gate.options.VM] = gate.options.FailureDomain
		gates = append(gates, gate)
	}
	for _, gate := range gates {
		gate.SetVMs(now, domainOf)
	}
	return gates
}

// sendAll submits requests to all gates for the given time and returns the highest number
// that the target got within one second.
func sendAll(gates []*Gate, from time.Time, length time.Duration) int {
	const step = 20 * time.Millisecond
	var sent []time.Time
	highest := 0
	for now := from; now.Sub(from) < length; now = now.Add(step) {
		for _, gate := range gates {
			request := newRequest(now, "clergy")
			if gate.Submit(now, request).Refusal == nil {
				sent = append(sent, now)
				gate.AttemptEnded(now, request, Succeeded)
			}
		}
		for len(sent) > 0 && now.Sub(sent[0]) >= time.Second {
			sent = sent[1:]
		}
		highest = max(highest, len(sent))
	}
	return highest
}

// Guards against sending a cold target more from all daemons together than its declared
// rate, and against not using it at all.
func TestColdTargetIsSentAtMostItsRate(t *testing.T) {
	now := time.Unix(0, 0)
	target := berylspoke.Target{ID: "t-0", Service: drafts, Address: "10.0.0.1:1", FailureDomain: "d-2", Slots: 1_000, ColdFor: 3 * time.Second}
	gates := coldFleet(now, 6, 11, target)
	highest := sendAll(gates, now, 3*time.Second)
	require.LessOrEqual(t, highest, 14)
	require.GreaterOrEqual(t, highest, 7, "it is used at a part of its rate")
	now = now.Add(3 * time.Second)
	target.ColdFor = 0
	for _, gate := range gates {
		gate.SetTargets(now, []berylspoke.Target{target})
	}
	require.Greater(t, sendAll(gates, now, time.Second), 500, "once it is warm all daemons use it")
}

// Guards against all daemons sending to a crashed target at the moment of its return,
// before its own report of being cold was received.
func TestUnreachableTargetIsMarkedCold(t *testing.T) {
	now := time.Unix(0, 0)
	target := berylspoke.Target{ID: "t-0", Service: drafts, Address: "10.0.0.1:1", FailureDomain: "d-2", Slots: 1_000}
	gates := coldFleet(now, 6, 11, target)
	for _, gate := range gates {
		request := newRequest(now, "clergy")
		require.Nil(t, gate.Submit(now, request).Refusal)
		gate.AttemptEnded(now, request, Unreachable)
	}
	now = now.Add(time.Second)
	require.LessOrEqual(t, sendAll(gates, now, 2*time.Second), 14)
}
