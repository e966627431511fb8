package beryledge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylmember"
	"berylspoke/core/berylstop"
)

// Guards against callers that are told no address while all daemons stop in series, and keep those of
// the first to stop, against a daemon that is named though others accept requests, and against one that is
// named when it rejects most requests, so that callers keep to it after another has started.
func TestLastDaemonToLeaveIsNamedWhileNoOtherIs(t *testing.T) {
	options := berylmember.DefaultOptions()
	options.Open = true
	now := time.Unix(1000, 0)
	table := berylmember.NewTable(now, berylspoke.VM{ID: "vm-1", FailureDomain: "a"}, 1, options)
	table.Announce("vm-1:80", 40)
	hear := func(vm berylspoke.VMID, incarnation berylspoke.Incarnation, counter uint32, leaving bool) {
		table.HandleHeartbeat(now, berylmember.Heartbeat{Self: berylmember.Rumour{
			Process: berylspoke.Process{VM: vm, Incarnation: incarnation}, Counter: counter, Leaving: leaving,
			Attributes: berylmember.Attributes{FailureDomain: "b", CallAddress: string(vm) + ":80", Capacity: 40},
		}})
	}
	named := func() []string {
		var all []string
		for _, addresses := range newEntries(now, table).byDomain {
			all = append(all, addresses...)
		}
		return all
	}
	hear("vm-2", 1, 1, false)
	hear("vm-3", 1, 1, false)
	now = now.Add(time.Second)
	hear("vm-3", 1, 2, true)
	require.ElementsMatch(t, []string{"vm-1:80", "vm-2:80"}, named())
	now = now.Add(time.Second)
	hear("vm-2", 1, 2, true)
	now = now.Add(time.Second)
	hear("vm-3", 1, 3, true)
	require.Equal(t, []string{"vm-1:80"}, named())
	table.Leave(now)
	require.Equal(t, []string{"vm-1:80"}, named())
	now = now.Add(time.Second)
	hear("vm-4", 1, 1, true)
	require.Equal(t, []string{"vm-4:80"}, named())
	now = now.Add(berylstop.NoticePeriod)
	require.Equal(t, []string{"vm-4:80"}, named())
	now = now.Add(time.Millisecond)
	require.Empty(t, named())
	hear("vm-3", 2, 1, false)
	require.Equal(t, []string{"vm-3:80"}, named())
}
