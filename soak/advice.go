package berylsoak

// This file defines targets that ask for something in their answers: that they leave, or
// that they want rest, and how what daemons do then is judged.

import (
	"strings"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// leavingBound is the time after an answer was passed on that said that its target
	// leaves, after which callers' requests no longer reach that target.
	leavingBound = 3 * time.Second
	// restGrace is the time after a rejection in which requests that were on their way may
	// still arrive, restAllowance the number of requests that may arrive after that.
	restGrace     = 500 * time.Millisecond
	restAllowance = 2
	// unheardTime is how long at least a target says that it leaves before its entry
	// changes.
	unheardTime = 4 * time.Second
	// minRest and restRange are the rests that targets ask for.
	minRest, restRange = time.Second, 2 * time.Second
	// shedAllProbability is the probability that all targets of a service shed requests.
	shedAllProbability = 0.25
)

// adviceFaults are drawn beside faults if the size has advice set.
var adviceFaults = []*fault{
	{"leaveUnheard", true, func(world *World, step step) { world.leaveUnheard(step) }},
	{"shed", true, func(world *World, step step) { world.shed(step) }},
	{"silenceAllStores", false, func(world *World, step step) { world.silenceStores(step) }},
}

// leaveUnheard makes a target say in its answers that it leaves, while the store says that
// it is ready. It exits later, and its address is used again: by its own next run, or by a
// target of the other service.
func (world *World) leaveUnheard(step step) {
	chosen := world.removeTarget(step)
	if chosen == nil {
		return
	}
	chosen.Leave()
	time.Sleep(unheardTime + step.duration)
	if step.chance < 0.5 {
		chosen.Drain()
	} else {
		chosen.Expire()
	}
	world.judge.recordDraining(chosen.Name(), time.Now())
	time.Sleep(drainDuration)
	chosen.Deregister()
	next := &target{service: chosen.service, relay: chosen.relay}
	options := chosen.Options()
	if step.index%2 == 0 {
		options.Boot++
	} else {
		next.service = otherService(chosen.service)
		world.mutex.Lock()
		options = world.targetOptions(next)
		world.mutex.Unlock()
		options.Address = chosen.Options().Address
	}
	// Another process of the machine may have taken the address meanwhile; the world then
	// has one target less.
	_ = world.startTarget(next, options)
}

func otherService(service string) string {
	if service == engineService {
		return deskService
	}
	return engineService
}

// shed makes a target, or all of its service, reject requests and ask for rest.
func (world *World) shed(step step) {
	first := world.target(step)
	chosen := []*target{first}
	if step.chance < shedAllProbability {
		chosen = chosen[:0]
		world.mutex.Lock()
		for _, id := range world.targetIDs(first.service) {
			chosen = append(chosen, world.targets[id])
		}
		world.mutex.Unlock()
	}
	for _, target := range chosen {
		target.Shed(minRest + time.Duration(step.chance*float64(restRange)))
	}
	time.Sleep(step.duration)
	for _, target := range chosen {
		target.Shed(0)
	}
}

// silenceStores cuts all processes from the store without closing a connection.
func (world *World) silenceStores(step step) {
	world.judge.recordStoreOutage(time.Now().Add(step.duration))
	world.judge.recordOutOfTouch(everyone, time.Now().Add(step.duration))
	for _, process := range world.processes {
		process.store.SetImpairment(silent)
	}
	time.Sleep(step.duration)
	for _, process := range world.processes {
		process.store.SetImpairment(sound)
	}
}

// pair is a run of a process and a run of a target.
type pair struct{ process, target string }

// arrival is a request that its caller sent and that reached a target.
type arrival struct{ sent, at time.Time }

// interval is a time in which a process or a target was disturbed.
type interval struct{ from, to time.Time }

// adviceRecord holds what targets asked of processes and the requests that reached them.
type adviceRecord struct {
	arrivals map[pair][]arrival
	// told holds when an answer was first passed on that said that its target leaves.
	told  map[pair]time.Time
	rests map[pair][]interval
	// disturbed holds the restarts and suspensions of processes by name, and the cuts of
	// targets.
	disturbed map[string][]interval
}

func newAdviceRecord() adviceRecord {
	return adviceRecord{
		arrivals: make(map[pair][]arrival), told: make(map[pair]time.Time), rests: make(map[pair][]interval),
		disturbed: make(map[string][]interval),
	}
}

// recordDisturbed records that a process, or the connections of a target, are disturbed
// until the given time.
func (judge *Judge) recordDisturbed(name string, until time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.advice.disturbed[name] = append(judge.advice.disturbed[name], interval{time.Now(), until})
}

// recordArrival records that a request reached a target.
func (judge *Judge) recordArrival(reached beryldouble.Arrival) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	attempt := judge.attempts[reached.RequestID]
	if attempt == nil {
		return
	}
	judge.recordReached(attempt, reached.At)
	between := pair{attempt.processRun, reached.Target}
	judge.advice.arrivals[between] = append(judge.advice.arrivals[between], arrival{attempt.sent, reached.At})
	if reached.Rest > 0 {
		judge.advice.rests[between] = append(judge.advice.rests[between], interval{reached.At, reached.At.Add(reached.Rest)})
	}
}

// recordLeavingTold records an answer that said that its target leaves.
func (judge *Judge) recordLeavingTold(attempt *attempt, answer beryldouble.Result) {
	between := pair{attempt.processRun, answer.Target}
	at := answer.Sent.Add(answer.TimeToHeaders)
	if first, known := judge.advice.told[between]; !known || at.Before(first) {
		judge.advice.told[between] = at
	}
}

// excused reports whether the process was restarted or suspended between two times.
func (record *adviceRecord) excused(between pair, from, to time.Time) bool {
	return record.disturbedBetween(processName(between.process), from, to)
}

// processName returns the name of the process of a run.
func processName(processRun string) string {
	process, _, _ := strings.Cut(processRun, " ")
	return process
}

func (record *adviceRecord) disturbedBetween(name string, from, to time.Time) bool {
	for _, disturbance := range record.disturbed[name] {
		if disturbance.from.Before(to) && disturbance.to.After(from) {
			return true
		}
	}
	return false
}

// checkAdvice checks that processes followed what targets asked for.
func (judge *Judge) checkAdvice() {
	record := &judge.advice
	for between, told := range record.told {
		for _, reached := range record.arrivals[between] {
			if late := reached.sent.Sub(told); late > leavingBound && !record.excused(between, told, reached.at) {
				judge.addViolation("no request at a target that said it leaves", "%s reached %s, sent %s after its answer was passed on", between.process, between.target, late)
				break
			}
		}
	}
	for between, rests := range record.rests {
		for _, rest := range rests {
			count := 0
			for _, reached := range record.arrivals[between] {
				if reached.at.Sub(rest.from) > restGrace && reached.at.Before(rest.to) {
					count++
				}
			}
			cut := record.disturbedBetween(between.target, rest.from, rest.to)
			if count > restAllowance && !cut && !record.excused(between, rest.from, rest.to) {
				judge.addViolation("no requests at a target that rests", "%d of %s reached %s in the %s of rest that it asked for", count, between.process, between.target, rest.to.Sub(rest.from))
				break
			}
		}
	}
}
