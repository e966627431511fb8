package berylroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylconfig"
)

// fleetOf returns a fleet of VMs and targets spread over eight failure domains in two
// regions.
func fleetOf(vms, targets int) Fleet {
	declarations := &berylconfig.Declarations{
		FailureDomains: make(map[berylspoke.FailureDomain]berylconfig.Domain),
		Services:       map[berylspoke.ServiceID]berylconfig.Service{"model": {Kind: berylconfig.KindModel}},
		Targets:        make(map[berylspoke.TargetID]berylconfig.Target),
	}
	domain := func(i int) berylspoke.FailureDomain { return berylspoke.FailureDomain(fmt.Sprintf("d%d", i%8)) }
	for i := range 8 {
		declarations.FailureDomains[domain(i)] = berylconfig.Domain{Region: []berylspoke.Region{"east", "west"}[i/4]}
	}
	fleet := Fleet{Self: "vm-0", DomainOf: make(map[berylspoke.VMID]berylspoke.FailureDomain), Declarations: declarations}
	for i := range vms {
		id := berylspoke.VMID(fmt.Sprintf("vm-%d", i))
		fleet.Live = append(fleet.Live, id)
		fleet.DomainOf[id] = domain(i)
	}
	for i := range targets {
		id := berylspoke.TargetID(fmt.Sprintf("target-%d", i))
		declarations.Targets[id] = berylconfig.Target{Service: "model", FailureDomain: domain(i)}
	}
	return fleet
}

// Every serving target has one lessor in its region, and no daemon is the lessor of many
// more targets than the mean.
func TestTargetsAreSpreadWithinTheirRegion(t *testing.T) {
	for _, size := range []struct{ vms, targets int }{{8, 21}, {340, 650}} {
		fleet := fleetOf(size.vms, size.targets)
		load := make(map[berylspoke.VMID]int)
		for target, lessor := range Place(fleet)["model"].Of {
			load[lessor]++
			require.Equal(t, fleet.Declarations.Region(fleet.Declarations.Targets[target].FailureDomain), fleet.region(lessor))
		}
		total := 0
		for lessor, count := range load {
			total += count
			targets := fleet.targets()[fleet.region(lessor)]
			vms := fleet.regions()[fleet.region(lessor)]
			require.Less(t, float64(count), spreadFactor*float64(len(targets))/float64(len(vms))+1)
		}
		require.Equal(t, size.targets, total)
	}
}

// An outage fails every attempt; retries stay a tenth of the requests.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	now := time.Unix(0, 0)
	budget := NewBudget(now, 0, 20)
	retries := 0
	for range 10_000 {
		budget.Earn(0.1)
		for range 5 {
			if budget.Spend(now, 1) {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, 10_000/10+20)
}

func TestFailingTargetIsAvoidedForLonger(t *testing.T) {
	health, now := NewHealth(), time.Unix(0, 0)
	require.True(t, health.Usable(now, "t"))
	health.Failed(now, "t")
	require.False(t, health.Usable(now.Add(firstPause/2), "t"))
	require.True(t, health.Usable(now.Add(firstPause), "t"))
	for range 20 {
		health.Failed(now, "t")
	}
	require.False(t, health.Usable(now.Add(maxPause-time.Millisecond), "t"))
	require.True(t, health.Usable(now.Add(maxPause), "t"))
	health.Succeeded("t")
	require.True(t, health.Usable(now, "t"))
}

func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ vms, targets int }{{8, 21}, {64, 120}, {340, 650}} {
		b.Run(fmt.Sprintf("vms=%d,targets=%d", size.vms, size.targets), func(b *testing.B) {
			fleet := fleetOf(size.vms, size.targets)
			b.ReportAllocs()
			for range b.N {
				Place(fleet)
			}
		})
	}
}
