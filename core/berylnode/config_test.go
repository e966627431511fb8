package berylnode

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

// configFleet is a fleet whose platform may go back.
func configFleet(seed uint64) *fakeFleet {
	fleet := newFakeFleet(seed, fakeVMs("a1", "a1", "a2", "b1"))
	fleet.publish(fakePatch(nil, map[berylspoke.OrganisationID]berylspoke.Weight{"clergy": 1}))
	fleet.startAll()
	fleet.run(5*time.Second, 20*time.Millisecond)
	return fleet
}

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

// The platform shows an old history, is down or comes back, daemons restart
// empty one at a time, and messages are lost and doubled. No VM ever serves a
// lower version than it served before, and after the failures stop every daemon
// serves the last version.
func TestServedVersionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := configFleet(rapid.Uint64().Draw(t, "seed"))
		fleet.loss, fleet.repeat = 0.1, 0.2
		served := make(map[berylspoke.VMID]berylspoke.ConfigVersion)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { fleet.publishWeight(1 + len(fleet.patches)%9) },
			"stale":   func(t *rapid.T) { fleet.shown = rapid.IntRange(1, len(fleet.patches)).Draw(t, "shown") },
			"down":    func(*rapid.T) { fleet.platform = false },
			"up":      func(*rapid.T) { fleet.platform = true },
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
		fleet.platform, fleet.loss, fleet.shown = true, 0, len(fleet.patches)
		fleet.run(10*time.Second, 50*time.Millisecond)
		for vm, node := range fleet.nodes {
			if node.Config().Number != berylspoke.EntryNumber(len(fleet.patches)) || !node.Ready() {
				t.Fatalf("%s is at number %d of %d, ready %v", vm, node.Config().Number, len(fleet.patches), node.Ready())
			}
		}
	})
}

// A change is in force everywhere within five seconds of its publication,
// though each failure domain has a daemon or two that watch and any of them may
// have just died.
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

// A VM restarts while it is cut off from all its peers and the platform shows an
// old history. It must not serve what it finds there, or a revoked key would
// work again; it serves once a peer has answered.
func TestCutOffRestartDoesNotServe(t *testing.T) {
	fleet := configFleet(1)
	fleet.publishWeight(5)
	fleet.run(3*time.Second, 20*time.Millisecond)
	lonely := fleet.vms[3]
	fleet.crash(lonely.ID)
	fleet.cut = func(from, to berylspoke.VMID) bool { return from == lonely.ID || to == lonely.ID }
	fleet.shown = 1
	fleet.start(lonely)
	fleet.run(30*time.Second, 20*time.Millisecond)
	require.False(t, fleet.nodes[lonely.ID].Ready())
	fleet.cut = func(berylspoke.VMID, berylspoke.VMID) bool { return false }
	fleet.run(8*time.Second, 20*time.Millisecond)
	require.True(t, fleet.nodes[lonely.ID].Ready())
	require.EqualValues(t, 2, fleet.nodes[lonely.ID].Config().Version)
}
