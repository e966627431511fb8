package berylgate

// This file defines how daemons of a large fleet share how long targets let requests wait.
// Engines report their running and waiting requests, which shows neither the prompts that
// are being prefilled nor that an engine is slow.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minSharedWait is the shortest wait that is passed on to other daemons.
	minSharedWait = 150 * time.Millisecond
	// maxWaits bounds the waits in one report, which is sent to some ten peers.
	maxWaits = 16
	// waitStep is the difference by which a request that still waits must exceed the known
	// wait.
	waitStep = 100 * time.Millisecond
	// maxWait bounds a wait that a peer reports.
	maxWait = 10 * time.Second
)

// WaitReport is how much longer than at an idle target a request waits for its first byte,
// and the age of the observation.
type WaitReport struct {
	Target    uint32
	Wait, Age time.Duration
}

// observedWait is the newest observation of the wait at a target, by any daemon.
type observedWait struct {
	at     time.Time
	millis float64
	// reported is set once it was in a report of this daemon.
	reported bool
}

// now returns the wait that is left at the given time if no work was added since.
func (wait *observedWait) now(now time.Time) float64 {
	return max(0, wait.millis-millis(now.Sub(wait.at)))
}

// lingering returns the extra cost of a target at which a request waited recently. The wait
// itself drains within seconds, after which a slow target looks idle again.
func (wait *observedWait) lingering(now time.Time) float64 {
	const share = 0.1
	if wait.millis == 0 {
		return 0
	}
	return share * wait.millis * math.Exp(-float64(now.Sub(wait.at))/float64(slowdownDecay))
}

// observeWait records how long a request waited at its target, or has waited so far.
func (gate *Gate) observeWait(now time.Time, attempt *attempt, answered bool) {
	target := attempt.target
	waitedMillis := millis(now.Sub(attempt.sentAt)) - attempt.unloadedMillis
	gate.observeWindow(attempt.pool, attempt, waitedMillis)
	if answered || waitedMillis > target.wait.now(now)+millis(waitStep) {
		target.wait = observedWait{at: now, millis: max(0, waitedMillis)}
		gate.waitNews.add(target)
		gate.meanLoadOf(target).observeWait(now, waitedMillis)
	}
}

// observeWaits records the waits of the requests whose answers have not started.
func (gate *Gate) observeWaits(now time.Time, target *target) {
	for attempt := range target.attempts {
		if !attempt.answerStarted {
			gate.observeWait(now, attempt, false)
		}
	}
}

// waitReports returns the longest waits that were not reported yet.
func (gate *Gate) waitReports(now time.Time) []WaitReport {
	gate.waitNews.update(func(target *target) bool {
		return target.engine != nil && !target.wait.reported && duration(target.wait.now(now)) >= minSharedWait
	})
	waiting := slices.Clone(gate.waitNews.targets)
	slices.SortStableFunc(waiting, func(one, other *target) int {
		return cmp.Compare(other.wait.now(now), one.wait.now(now))
	})
	var reports []WaitReport
	for _, target := range waiting[:min(len(waiting), maxWaits)] {
		target.wait.reported = true
		reports = append(reports, WaitReport{Target: target.hash, Wait: duration(target.wait.millis), Age: now.Sub(target.wait.at)})
	}
	return reports
}

// receiveWaits applies the waits that a peer reports.
func (gate *Gate) receiveWaits(now time.Time, reports []WaitReport) {
	for _, item := range reports {
		target := gate.byHash[item.Target]
		if target == nil {
			continue
		}
		if at := now.Add(-max(item.Age, 0)); at.After(target.wait.at.Add(evidenceResolution)) {
			target.wait = observedWait{at: at, millis: millis(min(max(item.Wait, 0), maxWait))}
			gate.waitNews.add(target)
		}
	}
}
