package berylsoak

// This file defines how the store returns from an older copy, and how what daemons do then is
// judged.

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"berylspoke/io/berylstand"
	"berylspoke/platform/beryldouble"
)

const (
	// maxAway bounds the time that the store is away before it returns.
	maxAway = 1500 * time.Millisecond
	// rewriteTime is the time within which targets write again what the store has lost.
	rewriteTime = 2 * time.Second
	// quietTime is how long nothing is written after some returns. All processes find the store
	// within it.
	quietTime = 3500 * time.Millisecond
	// maxOperatorDelay bounds the time until operators have written again what the store has
	// lost.
	maxOperatorDelay = 14 * time.Second
	// entryLifetime is how long the entry of an ended target stays in the store.
	entryLifetime = 3 * beryldouble.HeartbeatMillis * time.Millisecond
	// knownGracePeriod is the time after which every process follows a configuration that one
	// of them has followed.
	knownGracePeriod = 10 * time.Second
)

// returnFaults are drawn beside faults if the size has returns set.
var returnFaults = []*fault{
	{"returnStore", false, func(world *World, step step) { world.returnStore(step) }},
}

// returnStore makes the store return from a copy that is as old as the step lasts. Targets
// and operators write again what it has lost. In every other step nothing is written until
// the processes reach the store again, and then a target leaves, which only the store tells,
// and the revisions pass at once those that the processes know.
func (world *World) returnStore(step step) {
	older := world.store.Copy()
	world.judge.recordOutOfTouch(everyone, time.Now().Add(step.duration+maxAway+quietTime))
	world.publishNext()
	world.publishAgain()
	time.Sleep(step.duration)
	for _, process := range world.processes {
		process.store.SetImpairment(berylstand.Impairment{Refuse: true})
	}
	time.Sleep(time.Duration(step.chance * float64(maxAway)))
	world.store.ReturnFrom(older)
	for _, process := range world.processes {
		process.store.SetImpairment(sound)
	}
	operatorDelay := time.Duration(step.chance * float64(maxOperatorDelay))
	var writing sync.WaitGroup
	if step.index%2 == 0 {
		time.Sleep(quietTime)
		if leaving := world.beginDrain(step, (*beryldouble.Target).DrainQuietly); leaving != nil {
			writing.Go(func() { world.endDrain(leaving) })
		}
		world.publishAgain()
		operatorDelay = 0
	}
	for i, target := range world.startedTargets() {
		writing.Go(func() { writeAgain(target, rewriteTime*time.Duration(i%8)/8) })
	}
	writing.Go(func() {
		time.Sleep(operatorDelay)
		world.publishAgain()
	})
	writing.Wait()
}

// writeAgain makes a target write what the store has lost of its entry. The entry of one that
// has ended expires.
func writeAgain(target *beryldouble.Target, delay time.Duration) {
	time.Sleep(delay)
	target.WriteAgain()
	if !target.Ended() || !target.Published() {
		return
	}
	time.Sleep(entryLifetime)
	if target.Published() {
		target.Expire()
	}
}

// startedTargets returns the last run of each target that was ever started.
func (world *World) startedTargets() []*beryldouble.Target {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var started []*beryldouble.Target
	for _, target := range world.started {
		started = append(started, target)
	}
	return started
}

// publishAgain publishes the newest configuration again, with its version.
func (world *World) publishAgain() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if err := world.write(world.judge.newestPublished()); err != nil {
		panic(err) // the configuration is made by the soak and always encodes
	}
}

// followed is when a process first followed a change of the configuration.
type followed struct {
	addedRoute  observation
	revokedKeys [organisationCount + 1]observation
}

// recordSuspended records that a process is suspended until the given time.
func (judge *Judge) recordSuspended(name string, until time.Time) {
	judge.recordDisturbed(suspendedName(name), until)
}

func suspendedName(process string) string { return "suspended " + process }

// checkFollowed compares an answer with what any process has followed long before the request
// was sent: a configuration comes back at no process, also at one that started since.
func (judge *Judge) checkFollowed(attempt *attempt, answer beryldouble.Result) {
	addedRoute, revocable := strings.HasPrefix(attempt.path, pathAdded), revokedIndex(attempt.path)
	process := processName(attempt.processRun)
	late := func(first observation) bool {
		return first.before(attempt.sent.Add(-knownGracePeriod)) &&
			!judge.advice.disturbedBetween(suspendedName(process), attempt.sent.Add(-knownGracePeriod), attempt.sent)
	}
	if addedRoute && answer.Status == http.StatusNotFound && late(judge.followed.addedRoute) {
		judge.addViolation("configuration comes back at no process", "%s does not know the added route", attempt.processRun)
	}
	if answer.Succeeded() && late(judge.followed.revokedKeys[revocable]) {
		judge.addViolation("configuration comes back at no process", "%s accepts a revoked key", attempt.processRun)
	}
	switch {
	case addedRoute && answer.Succeeded():
		judge.followed.addedRoute = judge.followed.addedRoute.or(answer.Ended)
	case answer.Status == http.StatusUnauthorized:
		judge.followed.revokedKeys[revocable] = judge.followed.revokedKeys[revocable].or(answer.Ended)
	}
}
