package berylnode

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

// configFleet returns a running fleet with one accepted patch.
func configFleet(seed uint64) *fakeFleet {
	fleet := newFakeFleet(seed, fakeVMs("a1", "a1", "a2", "b1"))
	fleet.publish(fakePatch(nil, map[berylspoke.OrganisationID]berylspoke.Weight{"clergy": 1}))
	fleet.startAll()
	fleet.run(5*time.Second, 20*time.Millisecond)
	return fleet
}

// highest returns the highest configuration version of all nodes.
func (fleet *fakeFleet) highest() berylspoke.ConfigVersion {
	var highest berylspoke.ConfigVersion
	for _, node := range fleet.nodes {
		highest = max(highest, node.Config().Version)
	}
	return highest
}

func (fleet *fakeFleet) publishWeight(weight int) {
	fleet.publishBody([]byte(fmt.Sprintf(
		`{"base":%d,"organisations":{"clergy":{"weight":%d,"keyDigests":[]}}}`, fleet.highest(), weight)))
}

// The platform shows a stale history, fails and recovers, daemons restart without state
// one at a time, and messages are lost and duplicated. Guards against a VM that serves a
// lower version than before, and against a daemon that does not reach the latest version
// once the faults stop.
func TestServedVersionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := configFleet(rapid.Uint64().Draw(t, "seed"))
		fleet.loss, fleet.duplication = 0.1, 0.2
		served := make(map[berylspoke.VMID]berylspoke.ConfigVersion)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { fleet.publishWeight(1 + len(fleet.patches)%9) },
			"stale":   func(t *rapid.T) { fleet.visiblePatches = rapid.IntRange(1, len(fleet.patches)).Draw(t, "shown") },
			"down":    func(*rapid.T) { fleet.platformUp = false },
			"up":      func(*rapid.T) { fleet.platformUp = true },
			"restart": func(t *rapid.T) {
				for _, node := range fleet.nodes {
					if !node.Ready() {
						return
					}
				}
				vm := fleet.vms[rapid.IntRange(0, len(fleet.vms)-1).Draw(t, "vm")]
				fleet.crash(vm.ID)
				fleet.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "down"))*time.Millisecond, 50*time.Millisecond)
				fleet.start(vm)
			},
			"wait": func(t *rapid.T) {
				fleet.run(time.Duration(rapid.SampledFrom([]int{20, 500, 4000}).Draw(t, "millis"))*time.Millisecond, 20*time.Millisecond)
			},
			"": func(t *rapid.T) {
				for vm, node := range fleet.nodes {
					if !node.Ready() {
						continue
					}
					version := node.Config().Version
					if version < served[vm] {
						t.Fatalf("%s serves version %d after %d", vm, version, served[vm])
					}
					served[vm] = version
				}
			},
		})
		fleet.platformUp, fleet.loss, fleet.visiblePatches = true, 0, len(fleet.patches)
		fleet.run(10*time.Second, 50*time.Millisecond)
		for vm, node := range fleet.nodes {
			if node.Config().Number != berylspoke.PatchNumber(len(fleet.patches)) || !node.Ready() {
				t.Fatalf("%s is at number %d of %d, ready %v", vm, node.Config().Number, len(fleet.patches), node.Ready())
			}
		}
	})
}

// Only one or two daemons in each failure domain watch the platform, and one of them may
// have just died. Guards against a published change that takes longer than five seconds
// to be in force on every daemon.
func TestChangeIsInForceWithinSeconds(t *testing.T) {
	for seed := range uint64(40) {
		fleet := configFleet(seed)
		fleet.crash(fleet.vms[seed%4].ID)
		fleet.publishWeight(7)
		fleet.run(5*time.Second, 20*time.Millisecond)
		for vm, node := range fleet.nodes {
			require.EqualValues(t, 2, node.Config().Version, "%s with seed %d", vm, seed)
		}
	}
}

// A VM restarts while it is partitioned from all its peers and the platform shows a stale
// history. If it served that configuration, a revoked key would work again. It must serve
// only after a peer has answered.
func TestCutOffRestartDoesNotServe(t *testing.T) {
	fleet := configFleet(1)
	fleet.publishWeight(5)
	fleet.run(3*time.Second, 20*time.Millisecond)
	isolated := fleet.vms[3]
	fleet.crash(isolated.ID)
	fleet.cut = func(from, to berylspoke.VMID) bool { return from == isolated.ID || to == isolated.ID }
	fleet.visiblePatches = 1
	fleet.start(isolated)
	fleet.run(30*time.Second, 20*time.Millisecond)
	require.False(t, fleet.nodes[isolated.ID].Ready())
	fleet.cut = func(berylspoke.VMID, berylspoke.VMID) bool { return false }
	fleet.run(8*time.Second, 20*time.Millisecond)
	require.True(t, fleet.nodes[isolated.ID].Ready())
	require.EqualValues(t, 2, fleet.nodes[isolated.ID].Config().Version)
}
