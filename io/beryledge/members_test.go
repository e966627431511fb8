package beryledge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
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
