package berylsoak

// This file defines the faults of worlds that a file describes, and their plan.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// shapeInterval is the mean time between the starts of two faults.
	shapeInterval = 1500 * time.Millisecond
	// unplannedFraction is the fraction of faults that are unplanned ones, where there are such.
	unplannedFraction = 0.4
	// rollGap and busyGap are the times between two stops of a series.
	rollGap, busyGap = 2 * time.Second, time.Second
	// hupFraction is the fraction of processes that a series of SIGHUP reaches.
	hupFraction = 0.6
	// stormTime is the time of a series of configurations, stormGap the least time between two.
	stormTime, stormGap = 3 * time.Second, 80 * time.Millisecond
	// maxAddedRoutes is the number of routes by which a configuration grows.
	maxAddedRoutes = 350
	// settingsFraction is the fraction of SIGHUPs with changed settings.
	settingsFraction = 0.5
	// handlingTimeout bounds the time until a process that has started handles signals.
	handlingTimeout = 5 * time.Second
	// releaseGap is the time between two targets that a release replaces.
	releaseGap = time.Second
	// maxBurst is the greatest factor by which the load grows for a while.
	maxBurst = 4
)

// shapeFaults are the planned operations of worlds that a file describes.
var shapeFaults = []*fault{
	{"rollAll", true, func(world *World, step step) { world.rollSeries(step, len(world.processes), rollGap) }},
	{"rollBusy", true, func(world *World, step step) { world.rollSeries(step, (len(world.processes)+2)/3, busyGap) }},
	{"stopOne", true, func(world *World, step step) {
		world.restart(world.process(step), syscall.SIGTERM, shapeDowntime(step))
	}},
	{"stopTogether", true, func(world *World, step step) { world.rollSeries(step, len(world.processes), 0) }},
	{"stopTwice", true, func(world *World, step step) { world.stopTwice(step) }},
	{"reloadSeries", true, func(world *World, step step) { world.reloadSeries(step, rollGap) }},
	{"reloadBurst", true, func(world *World, step step) { world.reloadSeries(step, time.Millisecond) }},
	{"reloadThenStop", true, func(world *World, step step) { world.reloadThenStop(step) }},
	{"configuration", true, func(world *World, step step) { world.publishShape(step.index) }},
	{"configurationStorm", true, func(world *World, step step) { world.configurationStorm(step) }},
	{"leave", true, func(world *World, step step) { world.drainTarget(step) }},
	{"releaseTargets", true, func(world *World, step step) { world.releaseTargets(step) }},
	{"burst", true, func(world *World, step step) { world.burst(step) }},
	{"joinTarget", true, func(world *World, step step) {
		_, _ = world.addTarget(world.size.Shape.Services[step.index%len(world.size.Shape.Services)].Name)
	}},
}

// unplannedShapeFaults are drawn beside them if the size has unplanned faults.
var unplannedShapeFaults = []*fault{
	{"killOne", false, func(world *World, step step) { world.kill(world.process(step), step) }},
	{"killMany", false, func(world *World, step step) { world.killHalf(step) }},
	{"killAll", false, func(world *World, step step) { world.killAll(step) }},
	{"crashTarget", false, func(world *World, step step) { world.crashTarget(step) }},
	{"hangTarget", false, func(world *World, step step) { world.hangTarget(step) }},
	{"pause", false, func(world *World, step step) { world.suspend(world.process(step), step.duration) }},
}

// newShapePlan draws the faults of a world that a file describes. The first is a series of stops.
func newShapePlan(random *rand.Rand, size Size) []step {
	var plan []step
	length := time.Duration(size.Seconds) * time.Second
	for at := time.Duration(0); at <= length; at += time.Duration(random.ExpFloat64() * float64(shapeInterval)) {
		chosen := shapeFaults[random.IntN(len(shapeFaults))]
		switch {
		case len(plan) == 0:
			chosen = shapeFaults[int(size.Seed%2)]
		case size.Unplanned && random.Float64() < unplannedFraction:
			chosen = unplannedShapeFaults[random.IntN(len(unplannedShapeFaults))]
		}
		plan = append(plan, step{
			at: at, fault: chosen, index: random.IntN(1 << 16), chance: random.Float64(),
			duration: minDuration + time.Duration(random.Float64()*float64(maxDuration-minDuration)),
		})
	}
	return plan
}

// shapeDowntime returns how long a process that was stopped is away.
func shapeDowntime(step step) time.Duration { return step.duration / 4 }

// rollSeries stops processes one after the other.
func (world *World) rollSeries(step step, count int, gap time.Duration) {
	for i := range count {
		next := world.processes[(i+step.index)%len(world.processes)]
		go world.restart(next, syscall.SIGTERM, shapeDowntime(step))
		time.Sleep(gap)
	}
	time.Sleep(step.duration)
}

// reload sends SIGHUP to a process, with settings that change if the chance is small. The platform has
// replaced them before.
func (world *World) reload(process *process, chance float64) {
	if chance < settingsFraction {
		process.mutex.Lock()
		slices.Reverse(process.vm.SeedHosts)
		settings, err := process.vm.Settings()
		process.mutex.Unlock()
		if err == nil {
			_ = os.WriteFile(process.path, settings, 0o600)
		}
	}
	for end := time.Now().Add(handlingTimeout); !process.handlesHangup() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	world.judge.recordEvent(process.vm.Name, "SIGHUP", time.Now())
	process.signal(syscall.SIGHUP)
}

// handlesHangup reports whether the current run of a process ignores or handles SIGHUP, or has ended. Nothing
// keeps the signal from ending a program that has not begun to run.
func (process *process) handlesHangup() bool {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.pid()))
	if err != nil {
		return true
	}
	for _, name := range []string{"SigIgn:", "SigCgt:"} {
		var mask uint64
		_, after, _ := strings.Cut(string(body), name)
		_, _ = fmt.Sscanf(after, "%x", &mask)
		if mask&(1<<(syscall.SIGHUP-1)) != 0 {
			return true
		}
	}
	return false
}

// reloadSeries sends SIGHUP to most processes, or several to one if the gap is short.
func (world *World) reloadSeries(step step, gap time.Duration) {
	for i := range int(hupFraction * float64(len(world.processes))) {
		index := step.index + i
		if gap < rollGap {
			index = step.index
		}
		world.reload(world.processes[index%len(world.processes)], step.chance)
		time.Sleep(gap)
	}
}

// reloadThenStop sends several SIGHUPs to a process that is stopped at once.
func (world *World) reloadThenStop(step step) {
	world.reloadSeries(step, time.Millisecond)
	world.restart(world.process(step), syscall.SIGTERM, shapeDowntime(step))
}

// publishShape publishes a version with other timeouts, another idle timeout, or more routes or keys.
func (world *World) publishShape(index int) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	random := rand.New(rand.NewPCG(world.size.Seed, uint64(index)))
	state := &world.shapeState
	switch index % 4 {
	case 0:
		state.timeoutFactor = 0.8 + 0.4*random.Float64()
	case 1:
		state.idleTimeout = time.Duration(2+random.IntN(14)) * time.Second
		world.idleTimeout.Store(int64(state.idleTimeout))
	case 2:
		state.added = random.IntN(maxAddedRoutes)
	case 3:
		state.keys = random.IntN(3)
	}
	if err := world.publish(world.judge.newestPublished()); err != nil {
		panic(err) // the configuration is made by the soak and always encodes
	}
}

// configurationStorm publishes versions in quick succession.
func (world *World) configurationStorm(step step) {
	for i, end := 0, time.Now().Add(stormTime); time.Now().Before(end); i++ {
		world.publishShape(step.index + i)
		time.Sleep(stormGap + time.Duration(step.chance*float64(4*stormGap)))
	}
}

// releaseTargets replaces half of the targets of a service, one after the other.
func (world *World) releaseTargets(step step) {
	service := world.size.Shape.Services[step.index%len(world.size.Shape.Services)].Name
	world.mutex.Lock()
	leaving := world.targetIDs(service)
	world.mutex.Unlock()
	for _, id := range leaving[:len(leaving)/2] {
		if _, err := world.addTarget(service); err != nil {
			return
		}
		time.Sleep(releaseGap)
		world.mutex.Lock()
		found := world.targets[id]
		delete(world.targets, id)
		world.mutex.Unlock()
		if found == nil {
			continue
		}
		found.Drain()
		world.judge.recordDraining(found.Name(), time.Now())
		go world.endDrain(found)
	}
}

// burst makes the load grow for a while.
func (world *World) burst(step step) {
	factor := int64(2 + step.index%(maxBurst-1))
	world.loadFactor.Add(factor - 1)
	time.Sleep(step.duration)
	world.loadFactor.Add(1 - factor)
}

// kill kills a process.
func (world *World) kill(process *process, step step) {
	world.restart(process, syscall.SIGKILL, shapeDowntime(step))
}
