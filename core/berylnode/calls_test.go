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

// plainServiceFleet returns a running fleet in two regions with two targets of a plain
// service.
func plainServiceFleet(seed uint64) *fakeFleet {
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

// testCall is an ID under test with the requests and settlements made for it.
type testCall struct {
	id       berylticket.CallID
	requests []berylspoke.RequestID
	tokens   []uint64
}

// callSimulation draws non-idempotent calls and faults in a fake fleet.
type callSimulation struct {
	*fakeFleet
	calls  []*testCall
	tokens uint64
	cuts   map[[2]berylspoke.VMID]bool
}

func (sim *callSimulation) drawVM(t *rapid.T) berylspoke.VMID {
	return sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(t, "vm")].ID
}

// drawCall draws one of the calls made so far, nil if there is none.
func (sim *callSimulation) drawCall(t *rapid.T) *testCall {
	if len(sim.calls) == 0 {
		return nil
	}
	return sim.calls[rapid.IntRange(0, len(sim.calls)-1).Draw(t, "call")]
}

// submitCall submits an ID at a daemon, as a caller's first attempt or retry does. A
// daemon that does not own the ID settles it.
func (sim *callSimulation) submitCall(vm berylspoke.VMID, call *testCall) {
	node := sim.nodes[vm]
	if call == nil || node == nil || sim.frozen[vm] || !node.Ready() {
		return
	}
	if !node.Owner().Owns(call.id) {
		sim.settle(vm, call)
		return
	}
	if _, fresh := node.BeginCall(sim.now, call.id); !fresh {
		return
	}
	request := berylspoke.RequestID(fmt.Sprintf("%s#%d", call.id, len(call.requests)))
	call.requests = append(call.requests, request)
	sim.submit(vm, "desk", "clergy", request, 4, &call.id)
}

func (sim *callSimulation) settle(vm berylspoke.VMID, call *testCall) {
	node := sim.nodes[vm]
	if call == nil || node == nil || sim.frozen[vm] {
		return
	}
	sim.tokens++
	call.tokens = append(call.tokens, sim.tokens)
	node.Settle(sim.now, sim.tokens, call.id)
	sim.applyEffects(vm, node)
}

// reportedNotRun reports whether any answer said that the ID did not run.
func (sim *callSimulation) reportedNotRun(call *testCall) bool {
	for _, token := range call.tokens {
		if sim.settled[token] == berylticket.StatusNotRun {
			return true
		}
	}
	for _, request := range call.requests {
		if refusal := sim.refused[request]; refusal != nil && refusal.Verdict == berylspoke.NotRun {
			return true
		}
	}
	return false
}

func (sim *callSimulation) check(t *rapid.T) {
	for _, call := range sim.calls {
		count := sim.executions[call.id]
		if count > 1 {
			t.Fatalf("%s ran %d times", call.id, count)
		}
		if count > 0 && sim.reportedNotRun(call) {
			t.Fatalf("%s ran and was reported as not run", call.id)
		}
	}
}

func (sim *callSimulation) heal() {
	clear(sim.cuts)
	clear(sim.frozen)
	sim.loss = 0
	for _, vm := range sim.vms {
		if sim.nodes[vm.ID] == nil {
			sim.start(vm)
		}
	}
}

// Callers retry and settle non-idempotent requests at several daemons, while daemons
// crash, freeze beyond every timeout and resume, links are cut, and messages are lost,
// duplicated and delayed. Guards against a request that runs twice or runs after "not
// run" was reported, and against a settlement without an answer once the faults stop.
func TestCallsUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &callSimulation{fakeFleet: plainServiceFleet(rapid.Uint64().Draw(t, "seed")), cuts: make(map[[2]berylspoke.VMID]bool)}
		sim.cut = func(from, to berylspoke.VMID) bool { return sim.cuts[[2]berylspoke.VMID{from, to}] }
		sim.loss, sim.duplication = 0.05, 0.2
		t.Repeat(map[string]func(*rapid.T){
			"mint": func(t *rapid.T) {
				vm := sim.drawVM(t)
				if node := sim.nodes[vm]; node != nil && !sim.frozen[vm] && node.Ready() {
					_, ticket := node.Resolve("clergy")
					sim.calls = append(sim.calls, &testCall{id: berylticket.CallID{Ticket: ticket}})
					sim.submitCall(vm, sim.calls[len(sim.calls)-1])
				}
			},
			"retry":  func(t *rapid.T) { sim.submitCall(sim.drawVM(t), sim.drawCall(t)) },
			"settle": func(t *rapid.T) { sim.settle(sim.drawVM(t), sim.drawCall(t)) },
			"crash":  func(t *rapid.T) { sim.crash(sim.drawVM(t)) },
			"restart": func(t *rapid.T) {
				vm := sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(t, "vm")]
				sim.crash(vm.ID)
				sim.start(vm)
			},
			"freeze": func(t *rapid.T) { sim.frozen[sim.drawVM(t)] = true },
			"thaw":   func(t *rapid.T) { delete(sim.frozen, sim.drawVM(t)) },
			"cut":    func(t *rapid.T) { sim.cuts[[2]berylspoke.VMID{sim.drawVM(t), sim.drawVM(t)}] = true },
			"rejoin": func(*rapid.T) { clear(sim.cuts) },
			"wait": func(t *rapid.T) {
				millis := rapid.SampledFrom([]int{2, 20, 200, 1500, 5000}).Draw(t, "millis")
				sim.run(time.Duration(millis)*time.Millisecond, time.Duration(min(millis, 20))*time.Millisecond)
			},
			"": sim.check,
		})
		sim.heal()
		sim.run(12*time.Second, 20*time.Millisecond)
		sim.check(t)
		for _, call := range sim.calls {
			sim.settle(sim.vms[0].ID, call)
		}
		sim.run(4*time.Second, 20*time.Millisecond)
		sim.check(t)
		for _, call := range sim.calls {
			last := call.tokens[len(call.tokens)-1]
			if _, answered := sim.settled[last]; !answered {
				t.Fatalf("%s is not settled after the failures stopped", call.id)
			}
		}
	})
}

// The owner obtains a permit and freezes. Another daemon that settles the ID must report
// "may have run", since the owner may have dispatched it or may do so when it resumes.
func TestFrozenOwnerWithPermit(t *testing.T) {
	sim := &callSimulation{fakeFleet: plainServiceFleet(3)}
	owner := sim.vms[0].ID
	_, ticket := sim.nodes[owner].Resolve("clergy")
	call := &testCall{id: berylticket.CallID{Ticket: ticket}}
	sim.submitCall(owner, call)
	sim.run(time.Second, 10*time.Millisecond)
	require.Equal(t, 1, sim.executions[call.id])
	sim.frozen[owner] = true
	sim.settle(sim.vms[3].ID, call)
	sim.run(4*time.Second, 10*time.Millisecond)
	require.Equal(t, berylticket.StatusMayHaveRun, sim.settled[sim.tokens])
}

// The owner freezes before its permit request reaches the witness. Another daemon settles
// the ID as "not run", so the caller may submit a new one. When the owner resumes it must
// not run the old ID.
func TestFrozenOwnerWithoutPermit(t *testing.T) {
	sim := &callSimulation{fakeFleet: plainServiceFleet(4)}
	owner := sim.vms[0].ID
	_, ticket := sim.nodes[owner].Resolve("clergy")
	call := &testCall{id: berylticket.CallID{Ticket: ticket}}
	sim.cut = func(from, to berylspoke.VMID) bool { return from == owner && to == ticket.Witness.VM }
	sim.submitCall(owner, call)
	sim.frozen[owner] = true
	sim.settle(sim.vms[3].ID, call)
	sim.run(4*time.Second, 10*time.Millisecond)
	require.Equal(t, berylticket.StatusNotRun, sim.settled[sim.tokens])
	sim.cut = func(berylspoke.VMID, berylspoke.VMID) bool { return false }
	delete(sim.frozen, owner)
	sim.run(4*time.Second, 10*time.Millisecond)
	require.Zero(t, sim.executions[call.id])
}
