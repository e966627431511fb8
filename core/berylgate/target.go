package berylgate

// This file defines what the gate believes of one target.

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

const (
	// pauseFirst is the time a target is left alone after a failure; it doubles
	// with each failure in a row up to pauseMost, which is what a crashed target
	// needs to return or to vanish from the list (three heartbeats).
	pauseFirst = 300 * time.Millisecond
	pauseMost  = 4 * time.Second
	// errorWeight is the part of one outcome in the error rate: about the last
	// twenty requests count.
	errorWeight = 0.05
	// paceWeight is the part of one observation in a target's pace.
	paceWeight = 0.08
	// usualWeight is the same for the pace of a whole service, and usualMost what
	// a service may differ from the model: it is a matter of the engines' kind,
	// not of their health.
	usualWeight = 0.004
	usualMost   = 2.0
	paceLeast   = 0.5
	paceMost    = 8.0
	// paceMemory is the time constant in which a pace returns to that of the
	// model. A target that was slow gets few requests, so their answers alone
	// would never show that it recovered.
	paceMemory = 4 * time.Second
	// observerGain is the part of the difference between the expected and the
	// seen queue that corrects the estimate: a full correction would follow the
	// noise of single steps.
	observerGain = 0.5
	// silentLeast is the shortest silence that makes a target suspect.
	silentLeast = 700 * time.Millisecond
	// silentFactor is how many times the expected time to the first byte may
	// pass in silence.
	silentFactor = 3
	// plainWork is the first guess of a plain service's time for one request.
	plainWork = 50.0
	// nearWay and farWay are the round trips in milliseconds within and between
	// regions that are assumed before any connection was timed.
	nearWay = 3.0
	farWay  = 60.0
)

// target is one back end as this daemon believes it to be.
type target struct {
	berylspoke.Target
	hash   uint32
	scope  scope
	engine *berylspoke.EngineSpec
	slots  int
	// backlog is the prefill work in milliseconds that lies before the target at
	// the time of asOf, at the pace of the model.
	backlog float64
	asOf    time.Time
	// pending is the part of the work that this daemon sent there whose requests
	// have not begun to answer.
	pending float64
	// sentWork is all work that this daemon ever sent there.
	sentWork float64
	// meanAdded is the mean work in milliseconds of one request.
	meanAdded float64
	// running and tokens are this daemon's requests there and their memory.
	running int
	tokens  berylspoke.Tokens
	others  occupancy
	// told is the newest load that the target told with an answer to any daemon
	// that was heard, toldHere the newest that it told this one.
	told, toldHere load
	// inflow is the work in milliseconds a millisecond that other daemons send
	// there, from what they reported in the last while.
	inflow   float64
	reported float64
	// hidden is the part of the queue that no daemon told of: requests of a
	// daemon that is gone go on at the target.
	hidden float64
	// pace is the time for a millisecond of the model; usual is the one of all
	// targets of the service, to which it returns.
	pace  float64
	usual *float64
	// mean is a plain service's mean time for one request.
	mean   float64
	way    float64
	errors float64
	// failures counts failures in a row; the target is left alone until paused.
	failures int
	paused   time.Time
	heard    time.Time
	suspect  bool
	attempts map[*attempt]bool
	held     map[uint64]time.Time
	cold     coldness
}

// scope says how far away a target stands.
type scope uint8

// The scopes, each of which holds those before it.
const (
	withinDomain scope = iota
	acrossDomains
	acrossRegions
	scopes
)

// occupancy is what other daemons have at a target.
type occupancy struct {
	running int
	tokens  berylspoke.Tokens
	pending float64
}

func newTarget(now time.Time, declared berylspoke.Target) *target {
	return &target{
		Target: declared, hash: hashOf(string(declared.ID)), asOf: now, pace: 1, mean: plainWork, heard: now,
		attempts: make(map[*attempt]bool), held: make(map[uint64]time.Time),
	}
}

// hashOf names a target or an organisation in reports.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// drain advances the estimate of the queue to the present. Whatever the model
// says, no more lies before the target than what was sent there and has not
// begun to answer.
func (target *target) drain(now time.Time) {
	elapsed := now.Sub(target.asOf)
	if elapsed <= 0 {
		return
	}
	target.asOf = now
	target.backlog = math.Max(0, target.backlog-millis(elapsed)/target.pace)
	target.hidden = math.Max(0, target.hidden-millis(elapsed)/target.pace)
	most := target.pending + target.others.pending + target.hidden
	target.backlog = math.Min(target.backlog, most)
	usual := target.usualPace()
	target.pace = usual + (target.pace-usual)*math.Exp(-float64(elapsed)/float64(paceMemory))
}

func (target *target) usualPace() float64 {
	if target.usual == nil {
		return 1
	}
	return *target.usual
}

// loaded takes the load that a target tells with an answer. What waits there
// beyond all that the daemons told each other was sent by someone who is gone.
func (target *target) loaded(now time.Time, told berylspoke.EngineLoad) {
	if told.Slots > 0 {
		target.slots = told.Slots
	}
	target.drain(now)
	excess := float64(told.Waiting)*target.meanAdded - target.backlog
	if excess > 0 {
		target.hidden += excess
		target.backlog += excess
	}
}

// load is what a target told of itself at a time.
type load struct {
	at               time.Time
	running, waiting int
}

// tell takes a load that the target told to this daemon or another one, if it
// is news, as the truth about its queue.
func (target *target) tell(now time.Time, told load) {
	if !told.at.After(target.told.at) {
		return
	}
	target.told = told
	target.drain(now)
	queue := float64(told.waiting)*math.Max(target.meanAdded, workUnknown) - millis(now.Sub(told.at))/target.pace
	queue = math.Max(queue, 0)
	// What this daemon sent after that is not in it.
	for attempt := range target.attempts {
		if !attempt.began && attempt.sent.After(told.at) {
			queue += attempt.added
		}
	}
	target.backlog, target.hidden = queue, queue
}

// workUnknown is the work in milliseconds of a request before any was sent.
const workUnknown = 20.0

// toldFor is how long a told load says how full a target is.
const toldFor = 1500 * time.Millisecond

// toldOthers returns what others have at the target by its own word.
func (target *target) toldOthers(now time.Time) occupancy {
	if now.Sub(target.told.at) > toldFor {
		return occupancy{}
	}
	running := target.told.running + target.told.waiting
	for attempt := range target.attempts {
		if attempt.sent.Before(target.told.at) {
			running--
		}
	}
	others := occupancy{running: max(running, 0)}
	if target.running > 0 {
		others.tokens = target.tokens / berylspoke.Tokens(target.running) * berylspoke.Tokens(others.running)
	}
	return others
}

// occupied returns the requests that run or wait there, of all daemons.
func (target *target) occupied() int { return target.running + target.others.running }

// expect returns the expected milliseconds to the first byte of a request that
// adds the given work.
func (target *target) expect(now time.Time, added float64) float64 {
	target.drain(now)
	if target.engine != nil {
		return target.way + target.pace*(firstToken+target.backlog+unheard*target.inflow+added)
	}
	waiting := math.Max(0, float64(target.occupied()+1-target.slots))
	return target.way + target.mean*(1+waiting/float64(max(target.slots, 1)))
}

// unheard is the mean age in milliseconds of what this daemon knows of the
// others' dispatches: half the time between two reports, and their way.
const unheard = 110.0

// settleInflow takes what was reported in the last while as the rate of inflow.
func (target *target) settleInflow(elapsed time.Duration) {
	const weight = 0.3
	target.inflow += weight * (target.reported/max(millis(elapsed), 1) - target.inflow)
	target.reported = 0
}

// alone returns the expected milliseconds to the first byte at an empty target.
func (target *target) alone(added float64) float64 {
	if target.engine != nil {
		return target.way + target.pace*(firstToken+added)
	}
	return target.way + target.mean
}

// idle says whether nobody waits there and less than half of the slots are used.
func (target *target) idle() bool {
	const nobody = 10.0
	return target.backlog < nobody && 2*target.occupied() < target.slots
}

// full says whether one more request would have to wait for a slot or would
// push others out of the engine's memory.
func (target *target) full(need berylspoke.Tokens) bool {
	if target.engine == nil {
		return target.occupied() >= 3*target.slots
	}
	if target.occupied() >= target.slots {
		return true
	}
	const memoryShare = 0.9
	memory := berylspoke.Tokens(memoryShare * float64(target.engine.Memory))
	return memory > 0 && target.tokens+target.others.tokens+need > memory
}

// usable says whether a request may go there.
func (target *target) usable(now time.Time) bool { return !target.Leaving && target.answers(now) }

// answers says whether the target is believed to answer; one that leaves does for
// a while.
func (target *target) answers(now time.Time) bool {
	return !target.suspect && !now.Before(target.paused)
}

// failed leaves the target alone for a while, longer with each failure in a row.
func (target *target) failed(now time.Time) {
	target.paused = now.Add(min(pauseFirst<<min(target.failures, 8), pauseMost))
	target.failures++
	target.errors += errorWeight * (1 - target.errors)
}

// worked ends the pause.
func (target *target) worked(now time.Time) {
	target.failures, target.paused, target.heard, target.suspect = 0, time.Time{}, now, false
	target.errors -= errorWeight * target.errors
}

// begun notes that an attempt no longer waits for its first byte.
func (target *target) begun(attempt *attempt) {
	if attempt.began {
		return
	}
	attempt.began = true
	if target.engine != nil {
		target.pending = math.Max(0, target.pending-attempt.added)
	}
}

// watch makes the target suspect while requests wait there in silence for much
// longer than expected: an engine that went dark takes connections and says
// nothing, and only this shows it before the callers' time is up.
func (target *target) watch(now time.Time) {
	target.suspect = false
	for attempt := range target.attempts {
		patience := max(silentLeast, silentFactor*duration(attempt.expected))
		if !attempt.began && now.Sub(attempt.sent) > patience && target.heard.Before(attempt.sent.Add(patience/2)) {
			target.suspect = true
			return
		}
	}
}
