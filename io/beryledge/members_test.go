package beryledge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylmember"
)

// Guards against one daemon of which all others ask for the whole membership in the same
// five seconds: with 298 members that change, each answer holds some 30 KB. Each daemon must
// still ask all of its peers in turn.
func TestDaemonsSyncWithDifferentPeers(t *testing.T) {
	const daemons = 298
	var vms []berylspoke.VMID
	for i := range daemons {
		vms = append(vms, berylspoke.VMID(fmt.Sprintf("10.1.%d.%d:7020", i/200, i%200)))
	}
	now := time.Unix(1000, 0)
	asked := make(map[berylspoke.VMID]int)
	for _, self := range vms {
		peers := slices.DeleteFunc(slices.Clone(vms), func(vm berylspoke.VMID) bool { return vm == self })
		asked[syncPeer(now, self, peers)]++
		inTurn := make(map[berylspoke.VMID]bool)
		for i := range peers {
			inTurn[syncPeer(now.Add(time.Duration(i)*syncInterval), self, peers)] = true
		}
		require.Len(t, inTurn, len(peers))
	}
	for vm, count := range asked {
		require.Less(t, count, 12, vm)
	}
}

// Guards against a small VM that spends its processor on sorting the members of a large fleet at each tick
// while daemons restart one after the other, and against changes that are not applied after that.
func TestMembersOfALargeFleetAreAppliedAtIntervals(t *testing.T) {
	const daemons, churn = 100, 3 * time.Second
	now := time.Unix(1000, 0)
	core := newSilentCore(t, now)
	hear := func(i int, incarnation berylspoke.Incarnation, leaving bool) {
		vm := berylspoke.VMID(fmt.Sprintf("10.1.0.%d:7020", i))
		core.table.HandleHeartbeat(now, berylmember.Heartbeat{Self: berylmember.Rumour{
			Process: berylspoke.Process{VM: vm, Incarnation: incarnation}, Leaving: leaving,
			Attributes: berylmember.Attributes{FailureDomain: "a", CallAddress: fmt.Sprintf("10.1.0.%d:80", i), Capacity: 20},
		}})
	}
	for i := range daemons {
		hear(i, 1, false)
	}
	core.tick(now)
	require.True(t, core.gate.LargeFleet())
	applied, last := 0, core.appliedMembers
	for step := range int(churn / urgentTickInterval) {
		now = now.Add(urgentTickInterval)
		hear(step%daemons, 2, step%2 == 0)
		core.tick(now)
		if core.appliedMembers != last {
			applied, last = applied+1, core.appliedMembers
		}
	}
	require.LessOrEqual(t, applied, int(churn/largeFleetMembersInterval)+1)
	for end := now.Add(largeFleetMembersInterval); now.Before(end); {
		now = now.Add(urgentTickInterval)
		core.tick(now)
	}
	require.Equal(t, core.table.Live(), core.daemon.entries.Load().live)
	require.Equal(t, core.table.Version(), core.membership().version)
}
