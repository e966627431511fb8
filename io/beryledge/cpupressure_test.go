package beryledge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylmember"
)

// Guards against a CPU pressure that rises too late or stays high: all callers of one
// organisation send many times what it can serve to one VM of 0.19 cores, and its
// decisions wait for the processor for tens of milliseconds. The pressure must be high
// after twenty such requests and normal soon after they end, or callers would avoid the
// VM because of a single slow moment.
func TestCPUPressureRisesAndFalls(t *testing.T) {
	var pressure cpuPressure
	for range 50 {
		pressure.observe(2 * time.Millisecond)
	}
	require.False(t, pressure.high())
	for range 20 {
		pressure.observe(60 * time.Millisecond)
	}
	require.True(t, pressure.high())
	for range 40 {
		pressure.observe(2 * time.Millisecond)
	}
	require.False(t, pressure.high())
}

// Callers pick one of the addresses at random, so the address of a VM with four times the
// processor time of the smallest is listed four times, and that of the smallest once.
func TestAddressesAreListedByCapacity(t *testing.T) {
	now := time.Unix(0, 0)
	options := berylmember.DefaultOptions()
	options.Open = true
	table := berylmember.NewTable(now, berylspoke.VM{ID: "small", FailureDomain: "a"}, 1, options)
	table.Announce("10.0.0.1:1", 19)
	table.HandleHeartbeat(now, berylmember.Heartbeat{Self: berylmember.Rumour{
		Process:    berylspoke.Process{VM: "large", Incarnation: 1},
		Attributes: berylmember.Attributes{FailureDomain: "a", CallAddress: "10.0.0.2:1", Capacity: 80},
	}})
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.2:1", "10.0.0.2:1", "10.0.0.2:1", "10.0.0.1:1"}, newEntries(now, table).byDomain["a"])
}
