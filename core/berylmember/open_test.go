package berylmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

func openTable(now time.Time, vm berylspoke.VMID, incarnation berylspoke.Incarnation) *Table {
	options := DefaultOptions()
	options.Open = true
	return NewTable(now, berylspoke.VM{ID: vm, FailureDomain: "a"}, incarnation, options)
}

// Without a list of VMs a new daemon knows one seed. The seed reports the fleet to it,
// and it to the fleet.
func TestNewDaemonLearnsFleetFromSeed(t *testing.T) {
	now := time.Unix(0, 0)
	seed, other, newcomer := openTable(now, "seed", 1), openTable(now, "other", 1), openTable(now, "newcomer", 1)
	seed.HandleHeartbeat(now, other.Sync())
	newcomer.Join(now, []berylspoke.VMID{"seed"})
	reply := seed.HandleHeartbeat(now, newcomer.Sync())
	require.NotNil(t, reply)
	newcomer.HandleHeartbeat(now, *reply)
	require.Equal(t, []berylspoke.VMID{"newcomer", "other", "seed"}, newcomer.Live())
	require.Contains(t, seed.Live(), berylspoke.VMID("newcomer"))
}

// 340 daemons each requested the full table of a peer every five seconds: 20 KB in each
// answer, more than all other control traffic. Daemons with equal tables must not exchange
// them; a daemon that missed that another is leaving, or its new incarnation, must still
// receive it.
func TestSyncSendsOnlyDifferingTables(t *testing.T) {
	now := time.Unix(0, 0)
	one, other, third := openTable(now, "one", 1), openTable(now, "other", 1), openTable(now, "third", 1)
	for range 2 {
		for _, pair := range [][2]*Table{{one, other}, {one, third}, {other, one}, {third, one}, {other, third}, {third, other}} {
			if reply := pair[0].HandleHeartbeat(now, pair[1].Sync()); reply != nil {
				pair[1].HandleHeartbeat(now, *reply)
			}
		}
	}
	require.Nil(t, one.HandleHeartbeat(now, other.Sync()))
	third.Leave(now)
	one.HandleHeartbeat(now, third.Sync())
	reply := one.HandleHeartbeat(now, other.Sync())
	require.NotNil(t, reply)
	other.HandleHeartbeat(now, *reply)
	require.True(t, other.Member("third").Rumour.Leaving)
}

// The clock of a VM steps back by seconds and its daemon restarts, so its incarnation is
// lower than the one that its peers know. Unless it learns that one, they would ignore
// its messages as old and consider it dead forever.
func TestDaemonWithSteppedBackClockRejoins(t *testing.T) {
	now := time.Unix(0, 0)
	peer := openTable(now, "peer", 1)
	peer.HandleHeartbeat(now, openTable(now, "vm", 50).Sync())
	again := openTable(now, "vm", 40)
	reply := peer.HandleHeartbeat(now, again.Sync())
	require.NotNil(t, reply)
	again.HandleHeartbeat(now, *reply)
	require.EqualValues(t, 51, again.Self().Incarnation)
	peer.HandleHeartbeat(now, again.Sync())
	require.EqualValues(t, 51, peer.Incarnation("vm"))
}

// A VM that is gone for good is removed after a minute; otherwise a fleet whose VMs are
// replaced daily would list them and send heartbeats to them forever.
func TestDeadMembersAreRemoved(t *testing.T) {
	now := time.Unix(0, 0)
	table := openTable(now, "vm", 1)
	table.HandleHeartbeat(now, openTable(now, "gone", 1).Sync())
	for range 80 {
		now = now.Add(time.Second)
		table.Tick(now)
	}
	require.Nil(t, table.Member("gone"))
}

// Guards against a start of a large fleet that costs each daemon a sort of all members for
// every rumour, and against links that lag behind the members.
func TestLinksFollowManyRumoursAtOnce(t *testing.T) {
	const members = 300
	now := time.Unix(0, 0)
	table := openTable(now, "vm-0", 1)
	heartbeat := Heartbeat{Self: Rumour{Process: berylspoke.Process{VM: "vm-1", Incarnation: 1}}}
	for i := 2; i < members; i++ {
		heartbeat.Rumours = append(heartbeat.Rumours, Rumour{Process: berylspoke.Process{VM: berylspoke.VMID(fmt.Sprint("vm-", i)), Incarnation: 1}})
	}
	version := table.Version()
	table.HandleHeartbeat(now, heartbeat)
	require.Greater(t, table.Version(), version)
	require.True(t, table.unlinked, "the members are sorted once they are needed")
	require.Len(t, table.Live(), members)
	out, in := links("vm-0", table.Live())
	require.Equal(t, out, table.out)
	require.Equal(t, in, table.Monitored())
	version = table.Version()
	table.HandleHeartbeat(now, heartbeat)
	require.Equal(t, version, table.Version(), "known rumours change nothing")
}
