package berylgate

// This file defines the state that the gate keeps of one target.

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

const (
	// firstPause is how long a target is avoided after a failure. It doubles with each
	// consecutive failure up to maxPause, the time in which a crashed target restarts
	// or is removed from the list of targets (three heartbeats).
	firstPause = 300 * time.Millisecond
	maxPause   = 4 * time.Second
	// errorWeight is the weight of one outcome in the error rate: about the last twenty
	// requests count.
	errorWeight = 0.05
	// slowdownWeight is the weight of one observation in a target's slowdown.
	slowdownWeight = 0.08
	// meanSlowdownWeight is the same for the mean slowdown of a service, and
	// maxMeanSlowdown bounds that mean, which depends on the type of the engines, not
	// on their health.
	meanSlowdownWeight = 0.004
	maxMeanSlowdown    = 2.0
	minSlowdown        = 0.5
	maxSlowdown        = 8.0
	// slowdownDecay is the time constant with which a target's slowdown returns to the
	// mean of its service. A target that was slow gets few requests, so their answers
	// alone would never show that it recovered.
	slowdownDecay = 4 * time.Second
	// queueGain is the fraction of the difference between the expected and the observed
	// queue by which the estimate is corrected. A full correction would follow the
	// noise of single engine steps.
	queueGain = 0.5
	// minSilence is the shortest silence that makes a target suspect.
	minSilence = 700 * time.Millisecond
	// silenceFactor is the multiple of the expected time to first byte after which a
	// silent target is suspect.
	silenceFactor = 3
	// initialMeanMillis is the assumed time of a request at a plain service before any
	// ended.
	initialMeanMillis = 50.0
	// sameRegionLatencyMillis and crossRegionLatencyMillis are the round trips assumed
	// within and between regions before any connection was timed.
	sameRegionLatencyMillis  = 3.0
	crossRegionLatencyMillis = 60.0
)

// target is the state that this daemon keeps of one target.
type target struct {
	berylspoke.Target
	build  berylspoke.Build
	hash   uint32
	scope  scope
	engine *berylspoke.EngineSpec
	slots  int
	// backlogMillis is the prefill work that is queued at the target at the time of asOf,
	// in milliseconds of the model.
	backlogMillis float64
	asOf          time.Time
	// pendingMillis is the work of this daemon's requests there whose answers have not
	// started.
	pendingMillis float64
	// sentMillis is all work that this daemon ever sent there.
	sentMillis float64
	// meanRequestMillis is the mean work of one request.
	meanRequestMillis float64
	// running and kvTokens are this daemon's requests there and the KV cache tokens that
	// they use.
	running  int
	kvTokens berylspoke.Tokens
	others   occupancy
	// latestLoad is the newest load that the target reported to this daemon or a peer,
	// directLoad the newest that it reported to this daemon.
	latestLoad, directLoad load
	// inflowRate is the work per millisecond that other daemons send there, a mean over
	// recent ticks; inflowMillis is what they reported since the last tick.
	inflowRate   float64
	inflowMillis float64
	// unreportedMillis is the part of the queue that no daemon reported: the target still
	// runs the requests of a daemon that is gone.
	unreportedMillis float64
	// slowdown is the actual time per millisecond of the model; meanSlowdown points to
	// the mean of the service's targets, to which it returns.
	slowdown     float64
	meanSlowdown *float64
	// meanMillis is a plain service's mean time for one request.
	meanMillis    float64
	latencyMillis float64
	errorRate     float64
	// failures counts consecutive failures; the target is avoided until pausedUntil.
	failures    int
	pausedUntil time.Time
	// refusedAt is when the target last refused a connection, zero if it never did.
	refusedAt  time.Time
	lastAnswer time.Time
	suspect    bool
	evidence   evidence
	wait       observedWait
	attempts   map[*attempt]bool
	cold       coldState
	// resting is set while the target has asked this daemon for rest.
	resting  bool
	recovery recovery
	// removed is set once the target is no longer published.
	removed bool
	// considered is the decision for which the target was last evaluated; prefix is what
	// it is assumed to have cached of that decision's prompt.
	considered uint64
	prefix     cachedPrefix
}

// scope says how far apart two failure domains are: it is the smallest area that contains
// both.
type scope uint8

// The scopes, each of which contains those before it.
const (
	domainScope scope = iota
	regionScope
	fleetScope
	scopeCount
)

// occupancy describes the requests of the other daemons at a target.
type occupancy struct {
	running       int
	kvTokens      berylspoke.Tokens
	pendingMillis float64
}

func newTarget(now time.Time, declared berylspoke.Target) *target {
	return &target{
		Target: declared, hash: hashOf(string(declared.ID)), asOf: now, slowdown: 1, meanMillis: initialMeanMillis, lastAnswer: now,
		attempts: make(map[*attempt]bool),
	}
}

// hashOf returns the hash by which reports identify a target or an organisation.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// drain advances the estimate of the queue to the given time. Whatever the model
// predicts, the queue is bounded by the work whose answers have not started.
func (target *target) drain(now time.Time) {
	elapsed := now.Sub(target.asOf)
	if elapsed <= 0 {
		return
	}
	target.asOf = now
	target.backlogMillis = math.Max(0, target.backlogMillis-millis(elapsed)/target.slowdown)
	target.unreportedMillis = math.Max(0, target.unreportedMillis-millis(elapsed)/target.slowdown)
	bound := target.pendingMillis + target.others.pendingMillis + target.unreportedMillis
	target.backlogMillis = math.Min(target.backlogMillis, bound)
	mean := target.serviceSlowdown()
	target.slowdown = mean + (target.slowdown-mean)*math.Exp(-float64(elapsed)/float64(slowdownDecay))
}

func (target *target) serviceSlowdown() float64 {
	if target.meanSlowdown == nil {
		return 1
	}
	return *target.meanSlowdown
}

// observeLoad applies the load that a target reported with an answer. Waiting requests
// in excess of those that daemons reported are attributed to a daemon that is gone.
func (target *target) observeLoad(now time.Time, reported berylspoke.EngineLoad) {
	if reported.Slots > 0 {
		target.slots = reported.Slots
	}
	target.drain(now)
	excessMillis := float64(reported.Waiting)*target.meanRequestMillis - target.backlogMillis
	if excessMillis > 0 {
		target.unreportedMillis += excessMillis
		target.backlogMillis += excessMillis
	}
}

// load is the load that a target reported, with the time of the report.
type load struct {
	at               time.Time
	running, waiting int
}

// adoptLoad replaces the estimate of the queue by the load that the target reported to
// this daemon or another one, if it is newer than the last.
func (target *target) adoptLoad(now time.Time, reported load) {
	if !reported.at.After(target.latestLoad.at) {
		return
	}
	target.latestLoad = reported
	target.drain(now)
	queueMillis := float64(reported.waiting)*math.Max(target.meanRequestMillis, minRequestMillis) - millis(now.Sub(reported.at))/target.slowdown
	queueMillis = math.Max(queueMillis, 0)
	// Requests that this daemon sent since are not in the reported load.
	for attempt := range target.attempts {
		if !attempt.answerStarted && attempt.sentAt.After(reported.at) {
			queueMillis += attempt.addedMillis
		}
	}
	target.backlogMillis, target.unreportedMillis = queueMillis, queueMillis
}

// minRequestMillis is the minimum work assumed for a waiting request; the mean work is
// zero before any was sent.
const minRequestMillis = 20.0

// loadMaxAge is how long a reported load counts for the occupancy of a target.
const loadMaxAge = 1500 * time.Millisecond

// othersFromLoad returns the occupancy by other daemons that follows from the target's
// load, and the older that is, from the mean over the engines of its service.
func (target *target) othersFromLoad(now time.Time, mean *meanLoad) occupancy {
	if target.engine == nil && now.Sub(target.latestLoad.at) > loadMaxAge {
		return occupancy{}
	}
	running := float64(target.latestLoad.running + target.latestLoad.waiting)
	for attempt := range target.attempts {
		if attempt.sentAt.Before(target.latestLoad.at) {
			running--
		}
	}
	if target.engine != nil {
		mean.decay(now)
		usual := mean.occupancy*float64(target.slots) - float64(target.running)
		running += unknownShare(now.Sub(target.latestLoad.at)) * (usual - running)
	}
	others := occupancy{running: max(int(running+0.5), 0)}
	if target.running > 0 {
		others.kvTokens = target.kvTokens / berylspoke.Tokens(target.running) * berylspoke.Tokens(others.running)
	}
	return others
}

// occupied returns the number of requests of all daemons that run or wait at the
// target.
func (target *target) occupied() int { return target.running + target.others.running }

// expectedMillis returns the expected time to first byte of a request that adds the given
// work.
func (target *target) expectedMillis(now time.Time, addedMillis float64) float64 {
	target.drain(now)
	if target.engine != nil {
		return target.latencyMillis + target.slowdown*(firstTokenMillis+target.queueMillis(now)+reportLagMillis*target.inflowRate+addedMillis)
	}
	waiting := math.Max(0, float64(target.occupied()+1-target.slots))
	return target.latencyMillis + target.meanMillis*(1+waiting/float64(max(target.slots, 1)))
}

// queueMillis returns the work that is estimated to be queued at the target, in
// milliseconds of the model.
func (target *target) queueMillis(now time.Time) float64 {
	return max(target.backlogMillis, target.wait.now(now)/target.slowdown)
}

// reportLagMillis is the mean age of what this daemon knows of the others' dispatches:
// half the time between two reports, plus their network latency.
const reportLagMillis = 110.0

// inflowWindow is the time constant of the rate of inflow.
const inflowWindow = 140 * time.Millisecond

// negligibleInflow is the rate of inflow that is rounded down to zero.
const negligibleInflow = 1e-4

// updateInflow updates the rate of inflow with the work that was reported since the last
// tick.
func (target *target) updateInflow(elapsed time.Duration) {
	weight := 1 - math.Exp(-float64(elapsed)/float64(inflowWindow))
	target.inflowRate += weight * (target.inflowMillis/max(millis(elapsed), 1) - target.inflowRate)
	if target.inflowMillis == 0 && target.inflowRate < negligibleInflow {
		target.inflowRate = 0
	}
	target.inflowMillis = 0
}

// unloadedMillis returns the expected time to first byte at an empty target.
func (target *target) unloadedMillis(addedMillis float64) float64 {
	if target.engine != nil {
		return target.latencyMillis + target.slowdown*(firstTokenMillis+addedMillis)
	}
	return target.latencyMillis + target.meanMillis
}

// idle reports whether next to nothing is queued at the target and less than half of
// its slots are used.
func (target *target) idle(now time.Time) bool {
	// Observed waits include the error of the model.
	const negligibleMillis, negligibleWaitMillis = 10.0, 50.0
	return target.backlogMillis < negligibleMillis && target.wait.now(now) < negligibleWaitMillis && 2*target.occupied() < target.slots
}

// evicts reports whether a request that needs the given tokens would evict others from the
// engine's KV cache. A plain service is as full at three requests per slot.
func (target *target) evicts(needed berylspoke.Tokens) bool {
	if target.engine == nil {
		return target.occupied() >= 3*target.slots
	}
	const usableShare = 0.9
	usable := berylspoke.Tokens(usableShare * float64(target.engine.CacheCapacity))
	return usable > 0 && target.kvTokens+target.others.kvTokens+needed > usable
}

// usable reports whether a request may be sent to the target.
func (target *target) usable(now time.Time) bool { return target.accepts() && target.responsive(now) }

// responsive reports whether the target is neither suspect nor paused after a failure.
// A draining target remains responsive for a while.
func (target *target) responsive(now time.Time) bool {
	return !target.suspect && !now.Before(target.pausedUntil) && !target.avoided(now)
}

// recordFailure pauses the target, for longer after each consecutive failure.
func (target *target) recordFailure(now time.Time) {
	target.pausedUntil = now.Add(min(firstPause<<min(target.failures, 8), maxPause))
	target.failures++
	target.errorRate += errorWeight * (1 - target.errorRate)
}

// recordSuccess ends the pause and lowers the error rate.
func (target *target) recordSuccess(now time.Time) {
	target.failures, target.pausedUntil, target.lastAnswer, target.suspect = 0, time.Time{}, now, false
	target.errorRate -= errorWeight * target.errorRate
}

// markAnswerStarted records that an attempt no longer waits for its first byte.
func (gate *Gate) markAnswerStarted(attempt *attempt) {
	if attempt.answerStarted {
		return
	}
	attempt.answerStarted = true
	if target := attempt.target; target.engine != nil {
		target.pendingMillis = math.Max(0, target.pendingMillis-attempt.addedMillis)
		attempt.pool.window.unanswered--
	}
}

// checkSilence marks the target suspect while a request has waited for its answer for
// much longer than expected and the target has not answered any other recently. An
// engine that hangs accepts connections and sends nothing; without this check it would
// be detected only by the callers' timeouts. It returns the time of the newest evidence
// of silence, zero if there is none.
func (target *target) checkSilence(now time.Time) time.Time {
	target.suspect = false
	var newest time.Time
	for attempt := range target.attempts {
		maxSilence := max(minSilence, silenceFactor*duration(attempt.expectedMillis))
		at := attempt.sentAt.Add(maxSilence / 2)
		if attempt.answerStarted || now.Sub(attempt.sentAt) <= maxSilence || !target.latestAnswer().Before(at) {
			continue
		}
		target.suspect = true
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}
