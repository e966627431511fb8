package berylmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

func tableOf(count int, now time.Time) *Table {
	var vms []berylspoke.VM
	for i := range count {
		vms = append(vms, berylspoke.VM{ID: berylspoke.VMID(fmt.Sprintf("vm-%d", i)), FailureDomain: "a"})
	}
	table := NewTable(now, vms[0], 1, DefaultOptions())
	table.SetListed(now, vms)
	return table
}

// A daemon's links grow with the logarithm of the fleet's size, and every daemon is
// monitored by as many daemons as it sends heartbeats to.
func TestLinksAreFewAndMutual(t *testing.T) {
	for _, count := range []int{2, 3, 8, 64, 340, 1000} {
		var vms []berylspoke.VMID
		for i := range count {
			vms = append(vms, berylspoke.VMID(fmt.Sprintf("vm-%d", i)))
		}
		senders := make(map[berylspoke.VMID]int)
		for _, vm := range vms {
			out, in := links(vm, vms)
			require.LessOrEqual(t, len(out), len(linkDistances))
			require.Len(t, in, len(out))
			for _, to := range out {
				senders[to]++
			}
		}
		for _, vm := range vms {
			out, _ := links(vm, vms)
			require.Equal(t, len(out), senders[vm], "%d VMs", count)
		}
	}
}

// When one VM of many is lost, only the keys that it held move.
func TestOnlyKeysOfLostVMMove(t *testing.T) {
	var vms []berylspoke.VMID
	for i := range 40 {
		vms = append(vms, berylspoke.VMID(fmt.Sprintf("vm-%d", i)))
	}
	moved := 0
	for key := range 1000 {
		name := fmt.Sprint(key)
		if before := TopRanked(name, vms); before != vms[7] && before != TopRanked(name, append(append([]berylspoke.VMID(nil), vms[:7]...), vms[8:]...)) {
			moved++
		}
	}
	require.Zero(t, moved, "only the keys of the lost VM move")
}

func BenchmarkTick(b *testing.B) {
	for _, count := range []int{8, 64, 340, 1000} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			now := time.Unix(0, 0)
			table := tableOf(count, now)
			b.ReportAllocs()
			for range b.N {
				table.Tick(now)
			}
		})
	}
}

func BenchmarkRelink(b *testing.B) {
	for _, count := range []int{8, 64, 340, 1000} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			now := time.Unix(0, 0)
			table := tableOf(count, now)
			b.ReportAllocs()
			for i := range b.N {
				table.apply(now, Rumour{Process: berylspoke.Process{VM: "vm-1", Incarnation: berylspoke.Incarnation(i + 1)}})
			}
		})
	}
}
