package beryledge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylmember"
)

// Pattern: all callers of one organisation come to one VM of 0.19 cores with many
// times what it can take. Its decisions then wait for the processor for tens of
// milliseconds. Twenty such requests must show it, and it must be over soon after
// they end, or a VM would be shunned for one slow moment.
func TestStrainShowsAndPasses(t *testing.T) {
	var strain strain
	for range 50 {
		strain.observe(2 * time.Millisecond)
	}
	require.False(t, strain.high())
	for range 20 {
		strain.observe(60 * time.Millisecond)
	}
	require.True(t, strain.high())
	for range 40 {
		strain.observe(2 * time.Millisecond)
	}
	require.False(t, strain.high())
}

// Callers pick one of the addresses at random, so a VM with four times the
// processor time of the smallest is told four times, and equal ones once.
func TestAddressesAreToldByProcessorTime(t *testing.T) {
	now := time.Unix(0, 0)
	options := berylmember.DefaultOptions()
	options.Open = true
	table := berylmember.NewTable(now, berylspoke.VM{ID: "small", FailureDomain: "a"}, 1, options)
	table.Announce("10.0.0.1:1", 19)
	table.Hear(now, berylmember.Heartbeat{Self: berylmember.Rumour{
		Process: berylspoke.Process{VM: "large", Incarnation: 1},
		Place:   berylmember.Place{FailureDomain: "a", CallAddress: "10.0.0.2:1", Capacity: 80},
	}})
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.2:1", "10.0.0.2:1", "10.0.0.2:1", "10.0.0.1:1"}, newEntries(table).byDomain["a"])
}
