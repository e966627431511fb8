package berylsoak

// This file defines the faults and the plan of a soak.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"berylspoke/io/berylstand"
)

// fault is one thing that is done to the world.
type fault struct {
	name string
	// planned faults are planned work, around which no request may be cut.
	planned bool
	do      func(world *World, step step)
}

// step is one fault of a plan.
type step struct {
	at    time.Duration
	fault *fault
	// pick chooses what is hit, lasts is how long, draw is one more number.
	pick  int
	lasts time.Duration
	draw  float64
}

// String returns the step as it is printed.
func (step step) String() string {
	return fmt.Sprintf("%7.3f s %s %d for %s", step.at.Seconds(), step.fault.name, step.pick, step.lasts)
}

var faults = []*fault{
	{"stop", true, func(world *World, step step) { world.restart(world.process(step), syscall.SIGTERM, step.lasts/4) }},
	{"reload", true, func(world *World, step step) { world.process(step).signal(syscall.SIGHUP) }},
	{"declare", true, func(world *World, step step) { world.declareNext() }},
	{"leave", true, func(world *World, step step) { world.leave(step) }},
	{"join", true, func(world *World, step step) { _, _ = world.addTarget([]string{engines, desks}[step.pick%2]) }},
	{"kill", false, func(world *World, step step) { world.restart(world.process(step), syscall.SIGKILL, step.lasts/3) }},
	{"herdKill", false, func(world *World, step step) { world.herdKill(step) }},
	{"pause", false, func(world *World, step step) { world.pause(world.process(step), step.lasts) }},
	{"resetCallers", false, func(world *World, step step) { world.process(step).callers.Reset() }},
	{"silenceCallers", false, func(world *World, step step) { world.process(step).callers.Forget() }},
	{"slowStore", false, func(world *World, step step) { world.harmStore(step, berylstand.Harm{Delay: 300 * time.Millisecond}) }},
	{"refuseStore", false, func(world *World, step step) { world.harmStore(step, berylstand.Harm{Refuse: true}) }},
	{"cutStoreForth", false, func(world *World, step step) { world.harmStore(step, berylstand.Harm{SwallowForth: true}) }},
	{"cutStoreBack", false, func(world *World, step step) { world.harmStore(step, berylstand.Harm{SwallowBack: true}) }},
	{"silenceStore", false, func(world *World, step step) { world.process(step).store.Forget() }},
	{"loseHistory", false, func(world *World, step step) { world.store.Forget() }},
	{"slowTarget", false, func(world *World, step step) { world.harmTarget(step, berylstand.Harm{Delay: 200 * time.Millisecond}) }},
	{"cutTargetForth", false, func(world *World, step step) { world.harmTarget(step, berylstand.Harm{SwallowForth: true}) }},
	{"cutTargetBack", false, func(world *World, step step) { world.harmTarget(step, berylstand.Harm{SwallowBack: true}) }},
	{"resetTarget", false, func(world *World, step step) { world.target(step).relay.Reset() }},
	{"silenceTarget", false, func(world *World, step step) { world.target(step).relay.Forget() }},
	{"hangTarget", false, func(world *World, step step) { world.hang(step) }},
	{"crashTarget", false, func(world *World, step step) { world.crash(step) }},
}

const (
	// plannedShare is the part of a soak in which only planned work is done.
	plannedShare = 0.35
	// lastsLeast and lastsMost bound how long a fault lasts.
	lastsLeast, lastsMost = 500 * time.Millisecond, 4 * time.Second
	// pauseMean is the mean time between two faults; most overlap.
	pauseMean = 700 * time.Millisecond
	// allOf is the part of the faults of the store that hit all processes.
	allOf = 0.25
	// seriesOf is the chance that a fault is the same as the one before.
	seriesOf = 0.3
)

// newPlan draws the faults of a seed.
func newPlan(random *rand.Rand, size Size) []step {
	var plan []step
	var last *fault
	length := time.Duration(size.Seconds) * time.Second
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(pauseMean))
		if at > length {
			return plan
		}
		planned := float64(at) < plannedShare*float64(length)
		chosen := faults[random.IntN(len(faults))]
		for planned && !chosen.planned {
			chosen = faults[random.IntN(len(faults))]
		}
		if last != nil && random.Float64() < seriesOf && (last.planned || !planned) {
			chosen = last
		}
		last = chosen
		plan = append(plan, step{
			at: at, fault: chosen, pick: random.IntN(1 << 16), draw: random.Float64(),
			lasts: lastsLeast + time.Duration(random.Float64()*float64(lastsMost-lastsLeast)),
		})
	}
}

func (world *World) process(step step) *process {
	return world.processes[step.pick%len(world.processes)]
}

// target returns the target that a step picks among those of the world, in the
// order of their ids.
func (world *World) target(step step) *target {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.targets[world.targetIDs("")[step.pick%len(world.targets)]]
}

// targetIDs returns the ids of the targets of a service, or of all.
func (world *World) targetIDs(service string) []string {
	var ids []string
	for id, target := range world.targets {
		if service == "" || target.service == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// take removes a target from the world if others of its service are left.
func (world *World) take(step step) *target {
	chosen := world.target(step)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	const least = 2
	if len(world.targetIDs(chosen.service)) <= least {
		return nil
	}
	delete(world.targets, chosen.ID())
	return chosen
}

// leave makes a target leave as planned: it says so, and ends long after.
func (world *World) leave(step step) {
	chosen := world.take(step)
	if chosen == nil {
		return
	}
	chosen.Leave()
	world.judge.leaves(chosen.ID(), time.Now())
	const serveOn = leaveWithin + 2*time.Second
	time.Sleep(serveOn)
	chosen.Withdraw()
	chosen.relay.Close()
}

// crash ends a target without a word, and starts another one later.
func (world *World) crash(step step) {
	chosen := world.take(step)
	if chosen == nil {
		return
	}
	chosen.Crash()
	chosen.relay.Close()
	time.Sleep(step.lasts)
	chosen.Expire()
	_, _ = world.addTarget(chosen.service)
}

// hang makes a target take requests without answering for a while.
func (world *World) hang(step step) {
	chosen := world.target(step)
	chosen.Silence(true)
	time.Sleep(step.lasts)
	chosen.Silence(false)
}

func (world *World) harmTarget(step step, harm berylstand.Harm) {
	chosen := world.target(step)
	chosen.relay.SetHarm(harm)
	time.Sleep(step.lasts)
	chosen.relay.SetHarm(berylstand.Harm{})
}

// harmStore harms the way of one process to the store, or of all.
func (world *World) harmStore(step step, harm berylstand.Harm) {
	harmed := []*process{world.process(step)}
	if step.draw < allOf {
		harmed = world.processes
		world.judge.storeLost(time.Now().Add(step.lasts))
	}
	for _, process := range harmed {
		process.store.SetHarm(harm)
	}
	time.Sleep(step.lasts)
	for _, process := range harmed {
		process.store.SetHarm(berylstand.Harm{})
	}
}

// restart ends a process by a signal and starts it again after a while.
func (world *World) restart(process *process, signal syscall.Signal, pause time.Duration) {
	if !process.claim() {
		return
	}
	process.signal(signal)
	process.end((stopSeconds + 1) * time.Second)
	time.Sleep(pause)
	if err := world.start(process); err != nil {
		world.judge.exited(process.vm.Name, err)
	}
}

// herdKill kills half of the processes at once.
func (world *World) herdKill(step step) {
	for i, process := range world.processes {
		if i%2 == step.pick%2 {
			go world.restart(process, syscall.SIGKILL, step.lasts/3)
		}
	}
	time.Sleep(step.lasts)
}

// pause stops a process for a while, as a VM that is suspended.
func (world *World) pause(process *process, lasts time.Duration) {
	process.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	process.signal(syscall.SIGCONT)
}

// declareNext publishes the next version: first the added route, then one key
// less with each.
func (world *World) declareNext() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	next := world.judge.newestDeclared()
	if !next.added {
		next.added = true
	} else if next.revoked < organised-1 {
		next.revoked++
	}
	if err := world.publish(next); err != nil {
		panic(err) // the declaration is the soak's own and always encodes
	}
}
