package berylsoak

// This file defines the faults and the plan of a soak.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"berylspoke/io/berylstand"
	"berylspoke/platform/beryldouble"
)

// fault is one kind of fault or planned operation.
type fault struct {
	name string
	// planned marks a planned operation, which must not interrupt any request.
	planned bool
	do      func(world *World, step step)
}

// step is one fault of a plan.
type step struct {
	at    time.Duration
	fault *fault
	// index selects the process or target, modulo their number; chance is a random
	// number from 0 to 1.
	index    int
	duration time.Duration
	chance   float64
}

func (step step) String() string {
	return fmt.Sprintf("%7.3f s %s %d for %s", step.at.Seconds(), step.fault.name, step.index, step.duration)
}

// sound and silent are impairments of a connection.
var sound, silent = berylstand.Impairment{}, berylstand.Impairment{DropForward: true, DropBackward: true}

var faults = []*fault{
	{"stop", true, func(world *World, step step) { world.restart(world.process(step), syscall.SIGTERM, step.duration/4) }},
	{"reload", true, func(world *World, step step) { world.process(step).signal(syscall.SIGHUP) }},
	{"declare", true, func(world *World, step step) { world.publishNext() }},
	{"leave", true, func(world *World, step step) { world.drainTarget(step) }},
	{"join", true, func(world *World, step step) {
		_, _ = world.addTarget([]string{engineService, deskService}[step.index%2])
	}},
	{"kill", false, func(world *World, step step) { world.restart(world.process(step), syscall.SIGKILL, step.duration/3) }},
	{"herdKill", false, func(world *World, step step) { world.killHalf(step) }},
	{"pause", false, func(world *World, step step) { world.suspend(world.process(step), step.duration) }},
	{"resetCallers", false, func(world *World, step step) { world.cutCallers(step, (*berylstand.StreamRelay).Reset) }},
	{"silenceCallers", false, func(world *World, step step) { world.cutCallers(step, (*berylstand.StreamRelay).Blackhole) }},
	{"slowStore", false, func(world *World, step step) {
		world.impairStore(step, berylstand.Impairment{Delay: 300 * time.Millisecond})
	}},
	{"refuseStore", false, func(world *World, step step) { world.impairStore(step, berylstand.Impairment{Refuse: true}) }},
	{"cutStoreForth", false, func(world *World, step step) { world.impairStore(step, berylstand.Impairment{DropForward: true}) }},
	{"cutStoreBack", false, func(world *World, step step) { world.impairStore(step, berylstand.Impairment{DropBackward: true}) }},
	{"silenceStore", false, func(world *World, step step) {
		world.judge.recordOutOfTouch(world.process(step).vm.Name, time.Now())
		world.process(step).store.Blackhole()
	}},
	{"loseHistory", false, func(world *World, step step) {
		world.judge.recordOutOfTouch(everyone, time.Now())
		world.store.Compact()
	}},
	{"slowTarget", false, func(world *World, step step) {
		world.impairTarget(step, berylstand.Impairment{Delay: 200 * time.Millisecond})
	}},
	{"cutTargetForth", false, func(world *World, step step) { world.impairTarget(step, berylstand.Impairment{DropForward: true}) }},
	{"cutTargetBack", false, func(world *World, step step) { world.impairTarget(step, berylstand.Impairment{DropBackward: true}) }},
	{"resetTarget", false, func(world *World, step step) { world.cutTarget(step, (*berylstand.StreamRelay).Reset) }},
	{"silenceTarget", false, func(world *World, step step) { world.cutTarget(step, (*berylstand.StreamRelay).Blackhole) }},
	{"hangTarget", false, func(world *World, step step) { world.hangTarget(step) }},
	{"crashTarget", false, func(world *World, step step) { world.crashTarget(step) }},
}

const (
	// plannedFraction is the initial fraction of a soak that has only planned
	// operations.
	plannedFraction = 0.35
	// minDuration and maxDuration bound the duration of a fault.
	minDuration, maxDuration = 500 * time.Millisecond, 4 * time.Second
	// meanInterval is the mean time between the starts of two faults; most faults
	// overlap.
	meanInterval = 700 * time.Millisecond
	// allProcessesProbability is the probability that a fault of the store affects all
	// processes instead of one.
	allProcessesProbability = 0.25
	// repeatProbability is the probability that a fault repeats the previous one.
	repeatProbability = 0.3
)

// newPlan draws the faults of a soak at random.
func newPlan(random *rand.Rand, size Size) []step {
	if size.Scenes {
		return newScenePlan(random, size)
	}
	if size.Shape != nil {
		return newShapePlan(random, size)
	}
	var plan []step
	var last *fault
	kinds, plannedFraction := faults, plannedFraction
	if size.Stops {
		kinds, plannedFraction = slices.Concat(faults, stopFaults, stopFaults, stopFaults), 1
	}
	if size.Advice {
		kinds = slices.Concat(faults, adviceFaults, adviceFaults)
	}
	if size.Returns {
		kinds = slices.Concat(kinds, returnFaults, returnFaults, returnFaults)
	}
	if size.Versions {
		kinds = slices.Concat(kinds, versionFaults, versionFaults)
	}
	if size.Odd {
		kinds = slices.Concat(kinds, oddFaults, oddFaults, oddFaults)
	}
	length := time.Duration(size.Seconds) * time.Second
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanInterval))
		if at > length {
			if size.Odd {
				plan = oddPlan(plan, size)
			}
			return plan
		}
		planned := float64(at) < plannedFraction*float64(length)
		chosen := kinds[random.IntN(len(kinds))]
		for planned && !chosen.planned {
			chosen = kinds[random.IntN(len(kinds))]
		}
		if last != nil && random.Float64() < repeatProbability && (last.planned || !planned) {
			chosen = last
		}
		last = chosen
		plan = append(plan, step{
			at: at, fault: chosen, index: random.IntN(1 << 16), chance: random.Float64(),
			duration: minDuration + time.Duration(random.Float64()*float64(maxDuration-minDuration)),
		})
	}
}

func (world *World) process(step step) *process {
	return world.processes[step.index%len(world.processes)]
}

// target returns the target that a step selects from those of the world, ordered
// by id.
func (world *World) target(step step) *target {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.targets[world.targetIDs("")[step.index%len(world.targets)]]
}

// targetIDs returns the sorted ids of the targets of a service, or of all targets if
// service is empty.
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

// removeTarget removes a target from the world. It returns nil if the service would
// have fewer than two targets remaining.
func (world *World) removeTarget(step step) *target {
	chosen := world.target(step)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	const minTargets = 2
	if len(world.targetIDs(chosen.service)) <= minTargets {
		return nil
	}
	delete(world.targets, chosen.ID())
	return chosen
}

// drainDuration is the time from the announcement that a target drains to its exit.
const drainDuration = drainGracePeriod + 2*time.Second

// drainTarget drains a target as planned: it is published as draining and stops only
// after the grace period.
func (world *World) drainTarget(step step) {
	drain := (*beryldouble.Target).Drain
	if world.size.Returns {
		drain = (*beryldouble.Target).DrainQuietly
	}
	if chosen := world.beginDrain(step, drain); chosen != nil {
		world.endDrain(chosen)
	}
}

// beginDrain publishes that a target is draining. It returns nil if there is none to drain.
func (world *World) beginDrain(step step, drain func(*beryldouble.Target)) *target {
	chosen := world.removeTarget(step)
	if chosen != nil {
		drain(chosen.Target)
		world.judge.recordDraining(chosen.Name(), time.Now())
	}
	return chosen
}

// endDrain stops a draining target after the grace period.
func (world *World) endDrain(draining *target) {
	time.Sleep(drainDuration)
	world.judge.recordTargetEnd(draining.Name(), time.Now())
	draining.Deregister()
	draining.closeRelay()
}

// crashTarget crashes a target, whose entry stays in the store for a while, and then
// starts another one.
func (world *World) crashTarget(step step) {
	chosen := world.removeTarget(step)
	if chosen == nil {
		return
	}
	world.judge.recordTargetEnd(chosen.Name(), time.Now())
	chosen.Crash()
	chosen.closeRelay()
	time.Sleep(step.duration)
	chosen.Expire()
	_, _ = world.addTarget(chosen.service)
}

// hangTarget makes a target accept requests without answering for a while.
func (world *World) hangTarget(step step) {
	chosen := world.target(step)
	world.judge.recordOutOfTouch(chosen.Name(), time.Now().Add(step.duration))
	world.judge.recordTargetEnd(chosen.Name(), time.Now())
	chosen.SetHanging(true)
	time.Sleep(step.duration)
	chosen.SetHanging(false)
}

func (world *World) impairTarget(step step, impairment berylstand.Impairment) {
	chosen := world.target(step)
	world.judge.recordDisturbed(chosen.Name(), time.Now().Add(step.duration))
	chosen.relay.SetImpairment(impairment)
	time.Sleep(step.duration)
	chosen.relay.SetImpairment(berylstand.Impairment{})
}

// cutCallers cuts the open connections of callers to a process.
func (world *World) cutCallers(step step, cut func(*berylstand.StreamRelay) int) {
	process := world.process(step)
	world.judge.recordOutOfTouch(process.vm.Name, time.Now())
	cut(process.callers)
}

// cutTarget cuts the open connections of a target.
func (world *World) cutTarget(step step, cut func(*berylstand.StreamRelay) int) {
	chosen := world.target(step)
	world.judge.recordDisturbed(chosen.Name(), time.Now())
	cut(chosen.relay)
}

// impairStore impairs the connections of one process or of all processes to the store.
func (world *World) impairStore(step step, impairment berylstand.Impairment) {
	impaired := []*process{world.process(step)}
	if step.chance < allProcessesProbability {
		impaired = world.processes
		world.judge.recordStoreOutage(time.Now().Add(step.duration))
	}
	for _, process := range impaired {
		world.judge.recordOutOfTouch(process.vm.Name, time.Now().Add(step.duration))
		process.store.SetImpairment(impairment)
	}
	time.Sleep(step.duration)
	for _, process := range impaired {
		process.store.SetImpairment(berylstand.Impairment{})
	}
}

// restart stops a process by a signal and starts it again after a while.
func (world *World) restart(process *process, signal syscall.Signal, downtime time.Duration) {
	if !process.claimStop() {
		return
	}
	grace := process.grace()
	world.judge.recordDisturbed(process.vm.Name, time.Now().Add(grace+killSlack+downtime))
	if signal != syscall.SIGTERM {
		world.judge.recordUnplanned(process.vm.Name, time.Now())
	} else {
		world.judge.recordEvent(process.vm.Name, "SIGTERM", time.Now())
		world.judge.recordStop(world.currentRun(process.vm.CallersAddress()), time.Now(), grace)
	}
	process.signal(signal)
	killAfter := grace + killSlack
	if world.size.Stops || world.size.Shape != nil {
		killAfter = grace
	}
	if !process.awaitExit(killAfter) && signal == syscall.SIGTERM {
		world.judge.recordLateExit()
	}
	time.Sleep(downtime)
	if err := world.start(process); err != nil {
		world.judge.recordExit(process.vm.Name, err)
	}
}

// killHalf kills half of the processes at once.
func (world *World) killHalf(step step) {
	for i, process := range world.processes {
		if i%2 == step.index%2 {
			go world.restart(process, syscall.SIGKILL, step.duration/3)
		}
	}
	time.Sleep(step.duration)
}

// suspend suspends a process for a while, as the suspension of its VM would.
func (world *World) suspend(process *process, duration time.Duration) {
	world.judge.recordDisturbed(process.vm.Name, time.Now().Add(duration))
	world.judge.recordSuspended(process.vm.Name, time.Now().Add(duration))
	world.judge.recordUnplanned(process.vm.Name, time.Now().Add(duration))
	process.suspended.Store(true)
	process.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	process.suspended.Store(false)
	process.signal(syscall.SIGCONT)
}

// publishNext publishes the next version: the first adds a route, each later one
// revokes a key.
func (world *World) publishNext() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	next := world.judge.newestPublished()
	if !next.addedRoute {
		next.addedRoute = true
	} else if next.revokedKeys < organisationCount-1 {
		next.revokedKeys++
	}
	if err := world.publish(next); err != nil {
		panic(err) // the configuration is made by the soak and always encodes
	}
}
