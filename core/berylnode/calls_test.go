package berylnode

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylticket"
)

// deskFleet is a fleet in two regions before two desks, ready to serve.
func deskFleet(seed uint64) *fakeFleet {
	fleet := newFakeFleet(seed, fakeVMs("a1", "a2", "b1", "b1"))
	targets := map[berylspoke.TargetID]berylconfig.Target{
		"desk-a": {Service: "desk", FailureDomain: "a1"},
		"desk-b": {Service: "desk", FailureDomain: "b1"},
	}
	fleet.slots["desk-a"], fleet.slots["desk-b"] = 4, 4
	fleet.publish(fakePatch(targets, map[berylspoke.OrganisationID]berylspoke.Weight{"clergy": 1, "unions": 1}))
	fleet.startAll()
	fleet.run(6*time.Second, 20*time.Millisecond)
	return fleet
}

// filing is one id under test and what was said of it.
type filing struct {
	id       berylticket.CallID
	requests []berylspoke.RequestID
	tokens   []uint64
}

// callWorld draws calls and faults.
type callWorld struct {
	*fakeFleet
	filings []*filing
	tokens  uint64
	cuts    map[[2]berylspoke.VMID]bool
}

func (world *callWorld) vm(t *rapid.T) berylspoke.VMID {
	return world.vms[rapid.IntRange(0, len(world.vms)-1).Draw(t, "vm")].ID
}

// filing draws one of the filings, nil before the first.
func (world *callWorld) filing(t *rapid.T) *filing {
	if len(world.filings) == 0 {
		return nil
	}
	return world.filings[rapid.IntRange(0, len(world.filings)-1).Draw(t, "filing")]
}

// call brings an id to a daemon, as a caller or a caller's retry does.
func (world *callWorld) call(vm berylspoke.VMID, filing *filing) {
	node := world.nodes[vm]
	if filing == nil || node == nil || world.frozen[vm] || !node.Ready() {
		return
	}
	if !node.Owner().Owns(filing.id) {
		world.settle(vm, filing)
		return
	}
	if _, fresh := node.BeginCall(world.now, filing.id); !fresh {
		return
	}
	request := berylspoke.RequestID(fmt.Sprintf("%s#%d", filing.id, len(filing.requests)))
	filing.requests = append(filing.requests, request)
	world.submit(vm, "desk", "clergy", request, 4, &filing.id)
}

func (world *callWorld) settle(vm berylspoke.VMID, filing *filing) {
	node := world.nodes[vm]
	if filing == nil || node == nil || world.frozen[vm] {
		return
	}
	world.tokens++
	filing.tokens = append(filing.tokens, world.tokens)
	node.Settle(world.now, world.tokens, filing.id)
	world.carryOut(vm, node)
}

// saidNotRun says whether anyone was told that the id did not run.
func (world *callWorld) saidNotRun(filing *filing) bool {
	for _, token := range filing.tokens {
		if world.settled[token] == berylticket.StandsNotRun {
			return true
		}
	}
	for _, request := range filing.requests {
		if refusal := world.refused[request]; refusal != nil && refusal.Verdict == berylspoke.NotRun {
			return true
		}
	}
	return false
}

func (world *callWorld) check(t *rapid.T) {
	for _, filing := range world.filings {
		count := world.executions[filing.id]
		if count > 1 {
			t.Fatalf("%s ran %d times", filing.id, count)
		}
		if count > 0 && world.saidNotRun(filing) {
			t.Fatalf("%s ran and was reported as not run", filing.id)
		}
	}
}

func (world *callWorld) heal() {
	clear(world.cuts)
	clear(world.frozen)
	world.loss = 0
	for _, vm := range world.vms {
		if world.nodes[vm.ID] == nil {
			world.start(vm)
		}
	}
}

// A caller files a letter, loses its daemon and asks another one, while daemons
// crash, freeze past every timeout, wake up and are cut from each other, and
// messages are lost, doubled and delayed. The letter is filed once or never,
// "not run" stays true, and once the failures stop every question is answered.
func TestCallsUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := &callWorld{fakeFleet: deskFleet(rapid.Uint64().Draw(t, "seed")), cuts: make(map[[2]berylspoke.VMID]bool)}
		world.cut = func(from, to berylspoke.VMID) bool { return world.cuts[[2]berylspoke.VMID{from, to}] }
		world.loss, world.repeat = 0.05, 0.2
		t.Repeat(map[string]func(*rapid.T){
			"mint": func(t *rapid.T) {
				vm := world.vm(t)
				if node := world.nodes[vm]; node != nil && !world.frozen[vm] && node.Ready() {
					_, ticket := node.Resolve("clergy")
					world.filings = append(world.filings, &filing{id: berylticket.CallID{Ticket: ticket}})
					world.call(vm, world.filings[len(world.filings)-1])
				}
			},
			"retry":  func(t *rapid.T) { world.call(world.vm(t), world.filing(t)) },
			"settle": func(t *rapid.T) { world.settle(world.vm(t), world.filing(t)) },
			"crash":  func(t *rapid.T) { world.crash(world.vm(t)) },
			"restart": func(t *rapid.T) {
				vm := world.vms[rapid.IntRange(0, len(world.vms)-1).Draw(t, "vm")]
				world.crash(vm.ID)
				world.start(vm)
			},
			"freeze": func(t *rapid.T) { world.frozen[world.vm(t)] = true },
			"thaw":   func(t *rapid.T) { delete(world.frozen, world.vm(t)) },
			"cut":    func(t *rapid.T) { world.cuts[[2]berylspoke.VMID{world.vm(t), world.vm(t)}] = true },
			"rejoin": func(*rapid.T) { clear(world.cuts) },
			"wait": func(t *rapid.T) {
				millis := rapid.SampledFrom([]int{2, 20, 200, 1500, 5000}).Draw(t, "millis")
				world.run(time.Duration(millis)*time.Millisecond, time.Duration(min(millis, 20))*time.Millisecond)
			},
			"": world.check,
		})
		world.heal()
		world.run(12*time.Second, 20*time.Millisecond)
		world.check(t)
		for _, filing := range world.filings {
			world.settle(world.vms[0].ID, filing)
		}
		world.run(4*time.Second, 20*time.Millisecond)
		world.check(t)
		for _, filing := range world.filings {
			last := filing.tokens[len(filing.tokens)-1]
			if _, answered := world.settled[last]; !answered {
				t.Fatalf("%s is not settled after the failures stopped", filing.id)
			}
		}
	})
}

// The owner obtains the permit and freezes before it dispatches. A caller that
// asks elsewhere must hear "may have run", since the owner wakes up and runs it.
func TestFrozenOwnerWithPermit(t *testing.T) {
	world := &callWorld{fakeFleet: deskFleet(3)}
	owner := world.vms[0].ID
	_, ticket := world.nodes[owner].Resolve("clergy")
	held := &filing{id: berylticket.CallID{Ticket: ticket}}
	world.call(owner, held)
	world.run(time.Second, 10*time.Millisecond)
	require.Equal(t, 1, world.executions[held.id])
	world.frozen[owner] = true
	world.settle(world.vms[3].ID, held)
	world.run(4*time.Second, 10*time.Millisecond)
	require.Equal(t, berylticket.StandsMayHaveRun, world.settled[world.tokens])
}

// The owner freezes before its witness hears of the id. A caller that asks
// elsewhere hears "not run" and files anew; the owner wakes up and must not run
// the old id.
func TestFrozenOwnerWithoutPermit(t *testing.T) {
	world := &callWorld{fakeFleet: deskFleet(4)}
	owner := world.vms[0].ID
	_, ticket := world.nodes[owner].Resolve("clergy")
	held := &filing{id: berylticket.CallID{Ticket: ticket}}
	world.cut = func(from, to berylspoke.VMID) bool { return from == owner && to == ticket.Witness.VM }
	world.call(owner, held)
	world.frozen[owner] = true
	world.settle(world.vms[3].ID, held)
	world.run(4*time.Second, 10*time.Millisecond)
	require.Equal(t, berylticket.StandsNotRun, world.settled[world.tokens])
	world.cut = func(berylspoke.VMID, berylspoke.VMID) bool { return false }
	delete(world.frozen, owner)
	world.run(4*time.Second, 10*time.Millisecond)
	require.Zero(t, world.executions[held.id])
}
