package berylnode

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// memberFleet returns a running fleet of count VMs in three failure domains.
func memberFleet(count int) *fakeFleet {
	var domains []string
	for i := range count {
		domains = append(domains, []string{"a1", "a2", "b1"}[i%3])
	}
	fleet := newFakeFleet(1, fakeVMs(domains...))
	fleet.publish(fakePatch(nil, map[berylspoke.OrganisationID]berylspoke.Weight{"clergy": 1}))
	fleet.startAll()
	fleet.run(5*time.Second, 50*time.Millisecond)
	return fleet
}

// agreed reports whether every running node considers the given number of VMs live.
func (fleet *fakeFleet) agreed(live int) bool {
	for vm, node := range fleet.nodes {
		if !fleet.frozen[vm] && len(node.table.Live()) != live {
			return false
		}
	}
	return true
}

// runUntil runs the fleet until a condition holds and returns the time that took.
func (fleet *fakeFleet) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	for start := fleet.now; fleet.now.Sub(start) < limit; fleet.step(50 * time.Millisecond) {
		if condition() {
			return fleet.now.Sub(start), true
		}
	}
	return limit, false
}

// A VM and then a whole failure domain fail and return. Guards against daemons that do not
// agree on the live VMs within seconds, in fleets of eight and sixty-four VMs.
func TestLostAndReturnedVMsAreNoticed(t *testing.T) {
	for _, count := range []int{8, 64} {
		fleet := memberFleet(count)
		require.True(t, fleet.agreed(count), "%d VMs at the start", count)
		fleet.crash(fleet.vms[3].ID)
		took, ok := fleet.runUntil(8*time.Second, func() bool { return fleet.agreed(count - 1) })
		require.True(t, ok, "one of %d VMs failed", count)
		t.Logf("%d VMs: a failure is known everywhere after %s", count, took)
		fleet.start(fleet.vms[3])
		_, ok = fleet.runUntil(8*time.Second, func() bool { return fleet.agreed(count) })
		require.True(t, ok, "one of %d VMs returned", count)

		lost := 0
		for _, vm := range fleet.vms {
			if vm.FailureDomain == "a2" {
				fleet.crash(vm.ID)
				lost++
			}
		}
		took, ok = fleet.runUntil(20*time.Second, func() bool { return fleet.agreed(count - lost) })
		require.True(t, ok, "a failure domain of %d VMs was lost", lost)
		t.Logf("%d VMs: a lost failure domain of %d is known everywhere after %s", count, lost, took)
		for _, vm := range fleet.vms {
			if fleet.nodes[vm.ID] == nil {
				fleet.start(vm)
			}
		}
		_, ok = fleet.runUntil(20*time.Second, func() bool { return fleet.agreed(count) })
		require.True(t, ok, "a failure domain of %d VMs returned", lost)
	}
}

// The regions are partitioned for a minute, and each considers the other dead. Guards
// against regions that do not rejoin after that.
func TestRegionsRejoin(t *testing.T) {
	for _, count := range []int{8, 64} {
		fleet := memberFleet(count)
		region := func(vm berylspoke.VMID) bool { return vm[0] == 'b' }
		fleet.cut = func(from, to berylspoke.VMID) bool { return region(from) != region(to) }
		fleet.run(60*time.Second, 50*time.Millisecond)
		for vm, node := range fleet.nodes {
			for _, live := range node.table.Live() {
				require.Equal(t, region(vm), region(live), "%s considers %s live", vm, live)
			}
		}
		fleet.cut = func(berylspoke.VMID, berylspoke.VMID) bool { return false }
		took, ok := fleet.runUntil(30*time.Second, func() bool { return fleet.agreed(count) })
		require.True(t, ok, "%d VMs", count)
		t.Logf("%d VMs agree %s after the partition healed", count, took)
	}
}

// A daemon restarts during a partition, and the regions rejoin while some daemons still
// wait before they reconnect. The rumours that refute the deaths are lost on these links
// and not repeated. Guards against a daemon that a region considers dead for good.
func TestRegionsRejoinThoughRumoursAreLost(t *testing.T) {
	for seed := range uint64(60) {
		fleet := memberFleet(8)
		fleet.random = rand.New(rand.NewPCG(seed, 3))
		region := func(vm berylspoke.VMID) bool { return vm[0] == 'b' }
		fleet.cut = func(from, to berylspoke.VMID) bool { return region(from) != region(to) }
		fleet.run(60*time.Second, 50*time.Millisecond)
		restarted := fleet.vms[5]
		fleet.crash(restarted.ID)
		fleet.start(restarted)
		fleet.run(5*time.Second, 50*time.Millisecond)
		// Each pair reconnects after a delay of its own.
		healed := fleet.now
		wait := make(map[[2]berylspoke.VMID]time.Duration)
		fleet.cut = func(from, to berylspoke.VMID) bool {
			pair := [2]berylspoke.VMID{min(from, to), max(from, to)}
			if _, drawn := wait[pair]; !drawn {
				wait[pair] = time.Duration(fleet.random.Int64N(int64(12 * time.Second)))
			}
			return region(from) != region(to) && fleet.now.Sub(healed) < wait[pair]
		}
		_, ok := fleet.runUntil(52*time.Second, func() bool { return fleet.agreed(8) })
		require.True(t, ok, "seed %d", seed)
	}
}

// A daemon's VM pauses for a minute. When it resumes, all peers seem silent to it although
// only it was. It must not declare them dead and take over all roles.
func TestPausedDaemonDeclaresNoPeerDead(t *testing.T) {
	fleet := memberFleet(8)
	paused := fleet.vms[2].ID
	fleet.frozen[paused] = true
	fleet.run(60*time.Second, 50*time.Millisecond)
	require.True(t, fleet.agreed(7))
	delete(fleet.frozen, paused)
	for range 200 {
		fleet.step(50 * time.Millisecond)
		require.Len(t, fleet.nodes[paused].table.Live(), 8)
	}
	require.True(t, fleet.agreed(8))
}

// One direction of one link is cut, so a monitor suspects its peer. The peer learns of
// this from others and must refute it, so that no daemon loses a role.
func TestOneWayCutIsRefuted(t *testing.T) {
	fleet := memberFleet(8)
	node := fleet.nodes[fleet.vms[0].ID]
	monitored := node.table.Monitored()[0]
	fleet.cut = func(from, to berylspoke.VMID) bool { return from == monitored && to == fleet.vms[0].ID }
	for range 400 {
		fleet.step(50 * time.Millisecond)
		require.True(t, fleet.agreed(8), "after %s", fleet.now)
	}
}

// Guards against a daemon that its peers ignore after the clock of its VM went back
// between two runs: its heartbeats and slot requests are taken for those of the earlier
// run.
func TestDaemonRejoinsAfterClockStepsBack(t *testing.T) {
	fleet := memberFleet(8)
	vm := fleet.vms[3]
	before := fleet.nodes[vm.ID].Self()
	fleet.crash(vm.ID)
	_, ok := fleet.runUntil(8*time.Second, func() bool { return fleet.agreed(7) })
	require.True(t, ok)
	fleet.startAt(vm, fleet.now.Add(-time.Hour))
	_, ok = fleet.runUntil(8*time.Second, func() bool { return fleet.agreed(8) && fleet.nodes[vm.ID].Ready() })
	require.True(t, ok, "the restarted daemon rejoined")
	after := fleet.nodes[vm.ID].Self()
	require.Greater(t, after.Incarnation, before.Incarnation)
	for _, node := range fleet.nodes {
		require.Equal(t, after.Incarnation, node.table.Incarnation(vm.ID))
	}
}
