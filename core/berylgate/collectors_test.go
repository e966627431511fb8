package berylgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

const (
	everywhere = "everywhere"
	// demandAtEach is the demand of the organisation at each gate, in tokens per second.
	demandAtEach = 40_000
)

// run lets all gates exchange usage for a time, at a steady demand at each.
func (fleet *usageFleet) run(now time.Time, length time.Duration, check func(now time.Time)) time.Time {
	const step = 50 * time.Millisecond
	for end := now.Add(length); now.Before(end); {
		now = now.Add(step)
		for _, gate := range fleet.gates {
			usage := gate.shares.usage(hashOf(everywhere))
			usage.addDemand(now, berylspoke.Tokens(demandAtEach*step.Seconds()))
			usage.served.add(now, berylspoke.Tokens(demandAtEach*step.Seconds()/4))
		}
		fleet.exchange(now)
		check(now)
	}
	return now
}

// restart replaces a gate by one without state.
func (fleet *usageFleet) restart(now time.Time, index int) *Gate {
	old := fleet.gates[index]
	fresh := newGate(now, index+1, 4, false)
	fresh.options.FailureDomain = old.options.FailureDomain
	fresh.SetDaemons(now, len(fleet.gates))
	fresh.SetVMs(now, old.domains)
	fleet.gates[index] = fresh
	delete(fleet.leaving, old)
	return fresh
}

// requireSums checks that some gates know of most of the demand in the fleet.
func (fleet *usageFleet) requireSums(t *testing.T, now time.Time, gates []*Gate) {
	t.Helper()
	for _, gate := range gates {
		demand := gate.totals(now)[hashOf(everywhere)].demand
		require.GreaterOrEqual(t, demand, 0.7*demandAtEach*float64(len(fleet.gates)), "demand that %s knows of", gate.options.VM)
	}
}

var settleTime = 10 * time.Second

// Guards against a collector that has just started and tells the usage of the few daemons that it has
// heard of as that of the fleet: all others then limited nobody.
func TestStartedCollectorDoesNotHideTheFleet(t *testing.T) {
	now := time.Unix(0, 0)
	fleet := newUsageFleet(now, 6, 12)
	now = fleet.run(now, settleTime, func(time.Time) {})
	fleet.leaving[fleet.gates[0]] = true
	now = fleet.run(now, 2*time.Second, func(time.Time) {})
	started := now
	fresh := fleet.restart(now, 0)
	fleet.run(now, 5*time.Second, func(now time.Time) {
		fleet.requireSums(t, now, fleet.gates[1:])
		if now.Sub(started) > usageInterval {
			fleet.requireSums(t, now, []*Gate{fresh})
		}
	})
}

// Guards against a daemon that leaves and limits nobody any more while it still serves callers, as the
// members' sums are not sent to it.
func TestLeavingDaemonKnowsTheUsageOfTheFleet(t *testing.T) {
	now := time.Unix(0, 0)
	fleet := newUsageFleet(now, 6, 12)
	now = fleet.run(now, settleTime, func(time.Time) {})
	for _, index := range []int{0, 5, 17} {
		fleet.leaving[fleet.gates[index]] = true
	}
	fleet.run(now, 8*time.Second, func(now time.Time) { fleet.requireSums(t, now, fleet.gates) })
}

// Guards against a daemon that limits nobody for seconds after its start.
func TestStartedDaemonIsToldTheUsageOfTheFleet(t *testing.T) {
	now := time.Unix(0, 0)
	fleet := newUsageFleet(now, 6, 12)
	now = fleet.run(now, settleTime, func(time.Time) {})
	fleet.restart(now, 7)
	fleet.run(now, 3*time.Second, func(now time.Time) { fleet.requireSums(t, now, fleet.gates) })
}
