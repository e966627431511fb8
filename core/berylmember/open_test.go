package berylmember

import (
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

// There is no list of VMs: a newcomer knows one seed, which tells it of the rest
// and the rest of it.
func TestNewcomerLearnsTheFleetFromASeed(t *testing.T) {
	now := time.Unix(0, 0)
	seed, other, newcomer := openTable(now, "seed", 1), openTable(now, "other", 1), openTable(now, "newcomer", 1)
	seed.Hear(now, other.Sync())
	newcomer.Join(now, []berylspoke.VMID{"seed"})
	reply := seed.Hear(now, newcomer.Sync())
	require.NotNil(t, reply)
	newcomer.Hear(now, *reply)
	require.Equal(t, []berylspoke.VMID{"newcomer", "other", "seed"}, newcomer.Live())
	require.Contains(t, seed.Live(), berylspoke.VMID("newcomer"))
}

// Pattern: 340 daemons ask one peer each five seconds for all it knows: 20 KB in
// each answer, more than all other control traffic. Those that know the same must
// not tell each other; one that missed the news of a stop, or of an incarnation,
// must still hear of it.
func TestOnlyTablesThatDifferAreTold(t *testing.T) {
	now := time.Unix(0, 0)
	one, other, third := openTable(now, "one", 1), openTable(now, "other", 1), openTable(now, "third", 1)
	for range 2 {
		for _, pair := range [][2]*Table{{one, other}, {one, third}, {other, one}, {third, one}, {other, third}, {third, other}} {
			if reply := pair[0].Hear(now, pair[1].Sync()); reply != nil {
				pair[1].Hear(now, *reply)
			}
		}
	}
	require.Nil(t, one.Hear(now, other.Sync()))
	third.Leave(now)
	one.Hear(now, third.Sync())
	reply := one.Hear(now, other.Sync())
	require.NotNil(t, reply)
	other.Hear(now, *reply)
	require.True(t, other.Member("third").Rumour.Leaving)
}

// The clock of a VM goes back by seconds and its daemon starts anew, so its
// incarnation is lower than the one that its peers knew. Unless it is told, they
// would take it for an old message and for dead for good.
func TestDaemonBehindASteppedClockIsBelieved(t *testing.T) {
	now := time.Unix(0, 0)
	peer := openTable(now, "peer", 1)
	peer.Hear(now, openTable(now, "vm", 50).Sync())
	again := openTable(now, "vm", 40)
	reply := peer.Hear(now, again.Sync())
	require.NotNil(t, reply)
	again.Hear(now, *reply)
	require.EqualValues(t, 51, again.Self().Incarnation)
	peer.Hear(now, again.Sync())
	require.EqualValues(t, 51, peer.Known("vm"))
}

// A VM that left for good is forgotten after a minute, or a fleet whose machines
// are replaced daily would greet and list them for ever.
func TestDeadAreForgotten(t *testing.T) {
	now := time.Unix(0, 0)
	table := openTable(now, "vm", 1)
	table.Hear(now, openTable(now, "gone", 1).Sync())
	for range 80 {
		now = now.Add(time.Second)
		table.Tick(now)
	}
	require.Nil(t, table.Member("gone"))
}
