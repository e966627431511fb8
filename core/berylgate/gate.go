package berylgate

// This file defines the gate and the events that change its state.

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
	"berylspoke/core/berylquarantine"
	"berylspoke/core/berylroute"
)

// Options are the settings of a gate.
type Options struct {
	VM          berylspoke.VMID
	Incarnation berylspoke.Incarnation
	// FailureDomain is the failure domain of this daemon; RegionOf maps failure domains
	// to their regions.
	FailureDomain berylspoke.FailureDomain
	RegionOf      map[berylspoke.FailureDomain]berylspoke.Region
	// RetryRatio and RetrySlack bound the retries of all daemons together: RetryRatio
	// times the number of requests, plus RetrySlack.
	RetryRatio, RetrySlack float64
}

// Request is one request of a caller.
type Request struct {
	ID berylspoke.RequestID
	// Digests identify what may crash the request's target: the parts of its prompt that other
	// prompts may have, and last the request as a whole.
	Digests []berylquarantine.Digest
	// Alone is set while the request is at a target as the only one with some of its digests.
	Alone        bool
	Service      berylspoke.ServiceID
	Organisation berylspoke.OrganisationID
	Kind         berylspoke.Kind
	Arrived      time.Time
	// Objective is the time to first byte within which the answer counts.
	Objective time.Duration
	Deadline  time.Time
	// The number of targets that the request may be sent to.
	MaxAttempts   int
	Input, Output berylspoke.Tokens
	// The segments of the prompt in order; the last is the request's own.
	Segments []berylspoke.PromptSegment
	// Regions are the regions whose targets may serve the request.
	Regions berylspoke.Regions
	// Continues is set if the request continues a stream. Only targets of the build that began the
	// stream may serve it, and none if that is not certain.
	Continues bool
	Build     berylspoke.Build
	// Claimed requests continue a stream that is known to have begun: they are not limited by
	// the queue at targets, nor by the usage of their organisation, which paid for the stream.
	Claimed bool
	// sends counts the targets that may have received the request; tried holds those that
	// it must not be sent to again.
	sends int
	tried map[berylspoke.TargetID]bool
	// served is set while an attempt is counted in the organisation's service.
	served bool
	// current is the attempt in progress, nil if there is none.
	current *attempt
	// retryReserved is set once a retry was reserved for the request.
	retryReserved bool
	// givenUp is the target whose attempt was ended because it was silent, empty if none was or the
	// request has been at another target since.
	givenUp berylspoke.TargetID
}

// attempt is one dispatch of a request to a target.
type attempt struct {
	request *Request
	target  *target
	// pool is that of the target's service when the attempt began.
	pool           *pool
	sentAt         time.Time
	expectedMillis float64
	// queueMillis is the work queued at the target when the request was sent, addedMillis
	// the work that the request added.
	queueMillis float64
	addedMillis float64
	// slotWaitMillis is the expected wait for a slot.
	slotWaitMillis float64
	kvTokens       berylspoke.Tokens
	answerStarted  bool
	// unloadedMillis is the expected time to first byte at an idle target.
	unloadedMillis float64
	// served is set if this attempt was counted in the organisation's service.
	served bool
	// windowObserved is set once the attempt closed the window.
	windowObserved bool
}

// pool holds the targets and the retry budget of one service.
type pool struct {
	service berylspoke.Service
	// targets lists all targets by id, index those that accept requests.
	targets []*target
	index   targetIndex
	budget  *berylroute.Budget
	// meanSlowdown is the mean slowdown of the service's targets, meanHoldMillis the mean
	// time for which a request holds a slot of an engine.
	meanSlowdown, meanHoldMillis float64
	mean                         meanLoad
	window                       window
}

// mostSlots returns the requests that a target of the service runs at most: those that an engine is
// declared to, or one on each connection. It is zero if neither is declared.
func (pool *pool) mostSlots() int {
	if pool.service.Engine != nil {
		return pool.service.Engine.Slots
	}
	return pool.service.MaxConnections
}

// Gate holds the state by which one daemon decides where requests are sent.
type Gate struct {
	options Options
	// capacity is the throughput that organisations share in tokens per second, zero if
	// none is declared.
	capacity berylspoke.Tokens
	pools    map[berylspoke.ServiceID]*pool
	targets  map[berylspoke.TargetID]*target
	// sorted lists the targets by id.
	sorted []*target
	byHash map[uint32]*target
	// The targets that have something to update at the next tick or to tell in the next
	// report. The lists follow the order of events, so that equal inputs give equal
	// decisions.
	active, loadNews, silences, waitNews targetList
	// advice is what runs of targets asked for in their answers; leavingNews lists the
	// targets of which the next reports tell that they leave.
	advice      map[berylspoke.TargetRun]*advice
	leavingNews targetList
	// held maps builds to the time until which they get no new streams if others do.
	held map[berylspoke.Build]time.Time
	// targetsAsOf is the time as of which all published targets are known.
	targetsAsOf time.Time
	// resting lists the targets that rest, rested the runs whose rest has ended lately.
	resting targetList
	rested  []berylspoke.TargetRun
	// recentSends records, by shared segment, where this daemon sent it.
	recentSends map[uint64][]recentSend
	// decisions counts the searches for a target; marks on targets refer to one of them.
	decisions uint64
	shares    *shares
	peers     []*peer
	// collected is the usage of organisations that peers reported in a large fleet.
	collected collectedUsage
	// live is the number of daemons known to be alive, maxDaemons the highest number ever
	// known.
	live, maxDaemons int
	// domains maps the live daemons to their failure domains.
	domains map[berylspoke.VMID]berylspoke.FailureDomain
	// domainsVersion counts the changes of domains, and nearby caches the daemons nearest
	// to each failure domain.
	domainsVersion uint64
	nearby         map[berylspoke.FailureDomain][]berylspoke.VMID
	rng            *rand.Rand
	// offset is where this daemon begins to draw candidates: it keeps to the same targets,
	// so that it has connections to them and knows them, while daemons differ.
	offset uint64
	// started is when the first configuration was set.
	started  time.Time
	lastTick time.Time
	// lastExpiry is when expired segments were last dropped.
	lastExpiry time.Time
	// lastReport is when the last report was made; urgent is set if a dispatch since
	// then should be reported at once.
	lastReport time.Time
	urgent     bool
	// silenceNews is set if a target was found silent since the last report.
	silenceNews bool
	// lastNews is when such a target was last reported.
	lastNews time.Time
}

// New returns a gate without targets.
func New(options Options) *Gate {
	return &Gate{
		options:     options,
		pools:       make(map[berylspoke.ServiceID]*pool),
		targets:     make(map[berylspoke.TargetID]*target),
		byHash:      make(map[uint32]*target),
		advice:      make(map[berylspoke.TargetRun]*advice),
		held:        make(map[berylspoke.Build]time.Time),
		recentSends: make(map[uint64][]recentSend),
		nearby:      make(map[berylspoke.FailureDomain][]berylspoke.VMID),
		shares:      newShares(),
		collected:   newCollected(),
		maxDaemons:  minDaemons,
		offset:      xxhash.Sum64String(string(options.VM)) >> 1,
		rng:         rand.New(rand.NewPCG(uint64(options.Incarnation), 0)),
	}
}

// minDaemons is the number of daemons that the retry budget is divided between before the
// members are known; the smallest deployments have eight.
const minDaemons = 8

// SetDaemons sets the number of live daemons. Bounds that hold over all daemons are
// divided by the highest number ever known, because missing daemons may only be
// unreachable.
func (gate *Gate) SetDaemons(now time.Time, live int) {
	gate.live = live
	if live <= gate.maxDaemons {
		return
	}
	gate.maxDaemons = live
	for _, pool := range gate.pools {
		pool.budget = gate.newBudget(now, pool.budget.Remaining(now))
	}
}

// newBudget returns a service's retry budget that holds the given units. The bound on
// retries holds for all daemons together without any messages: each daemon may
// accumulate only its part of the slack, and it starts with nothing, so that restarts
// add no retries.
func (gate *Gate) newBudget(now time.Time, saved float64) *berylroute.Budget {
	const slackShare = 0.7
	capacity := slackShare * gate.options.RetrySlack / float64(max(gate.maxDaemons, minDaemons))
	budget := berylroute.NewBudget(now, 0, capacity)
	budget.Charge(now, max(capacity-saved, 0))
	return budget
}

// SetCatalog sets the declared services and the throughput to share.
func (gate *Gate) SetCatalog(now time.Time, catalog *berylspoke.Catalog) {
	if gate.started.IsZero() {
		gate.started = now
	}
	gate.capacity = catalog.Limits.TokensPerSecond
	pools := make(map[berylspoke.ServiceID]*pool, len(catalog.Services))
	for id, declared := range catalog.Services {
		known := gate.pools[id]
		if known == nil {
			known = &pool{budget: gate.newBudget(now, 0), meanSlowdown: 1, meanHoldMillis: initialHoldMillis}
		}
		known.service = declared
		pools[id] = known
	}
	gate.pools = pools
	for _, pool := range pools {
		pool.targets, pool.index = nil, targetIndex{}
	}
	for _, target := range gate.sorted {
		gate.addToPool(target)
	}
}

// scopeBetween returns the smallest scope that contains both failure domains.
func (gate *Gate) scopeBetween(one, other berylspoke.FailureDomain) scope {
	switch {
	case one == other:
		return domainScope
	case gate.options.RegionOf[one] == gate.options.RegionOf[other]:
		return regionScope
	default:
		return fleetScope
	}
}

// allows reports whether a target is in one of the given regions.
func (gate *Gate) allows(regions berylspoke.Regions, target *target) bool {
	return regions.Allows(gate.options.RegionOf[target.FailureDomain])
}

// CountRejected counts the tokens, by organisation, of requests that this daemon rejected
// because the processor of its VM is overloaded.
func (gate *Gate) CountRejected(now time.Time, rejected map[berylspoke.OrganisationID]berylspoke.Tokens) {
	for organisation, tokens := range rejected {
		elsewhere := gate.shares.others[hashOf(string(organisation))].demand
		gate.shares.usageOf(organisation).addRejected(now, tokens, elsewhere)
	}
}

// CountRejectedOverCap counts the tokens, by organisation, of requests that this daemon
// rejected because their organisation has no allowance.
func (gate *Gate) CountRejectedOverCap(now time.Time, rejected map[berylspoke.OrganisationID]berylspoke.Tokens) {
	for organisation, tokens := range rejected {
		gate.shares.usageOf(organisation).addDemand(now, tokens)
	}
}

// LargeFleet reports whether the fleet is so large that reports need not be frequent.
func (gate *Gate) LargeFleet() bool { return gate.largeFleet() }

// connections returns how many connections this daemon may hold to a target: at least
// an equal part of the declared bound, and more while the other daemons use less, since
// all callers of a busy organisation may connect to one daemon. The target's slots
// bound what is admitted in any case.
func (gate *Gate) connections(now time.Time, target *target) int {
	const maxShare = 0.6
	pool := gate.pools[target.Service]
	if pool == nil {
		return 1
	}
	bound := pool.service.MaxConnections
	own := bound / max(gate.maxDaemons, 1)
	gate.refreshOthers(now, target)
	return max(1, own, int(maxShare*float64(bound))-target.others.running)
}

// HoldBuild keeps new streams from the targets of a build until the given time, as long as others
// can serve them.
func (gate *Gate) HoldBuild(build berylspoke.Build, until time.Time) { gate.held[build] = until }

// holds reports whether a target gets a request only if no other can serve it.
func (gate *Gate) holds(now time.Time, target *target, request *Request) bool {
	return request.Kind == berylspoke.Streaming && !request.Continues && now.Before(gate.held[target.build])
}

// expireHeld drops the builds that are no longer held.
func (gate *Gate) expireHeld(now time.Time) {
	for build, until := range gate.held {
		if !now.Before(until) {
			delete(gate.held, build)
		}
	}
}

// expiryInterval is the time between two removals of expired segments.
const expiryInterval = time.Second

// Tick updates the estimates of all targets, marks silent targets suspect and drops
// expired state.
func (gate *Gate) Tick(now time.Time) {
	elapsed := now.Sub(gate.lastTick)
	gate.lastTick = now
	gate.endRests(now)
	gate.active.update(func(target *target) bool {
		target.updateInflow(elapsed)
		gate.checkSilence(now, target)
		if gate.largeFleet() && target.engine != nil {
			gate.observeWaits(now, target)
		}
		return len(target.attempts) > 0 || target.inflowRate > 0
	})
	if now.Sub(gate.lastExpiry) >= expiryInterval {
		gate.lastExpiry = now
		gate.expireCached(now)
		gate.expireAdvice(now)
		gate.expireHeld(now)
	}
	gate.sumOthers(now)
	gate.countStuck(now)
}

// ObserveConnectTime updates the network latency of a target with the time that a
// connection took to open.
func (gate *Gate) ObserveConnectTime(id berylspoke.TargetID, taken time.Duration) {
	const weight = 0.2
	if target := gate.targets[id]; target != nil {
		target.latencyMillis += weight * (millis(taken) - target.latencyMillis)
	}
}

// startAttempt records that a request is sent to a target now.
func (gate *Gate) startAttempt(now time.Time, request *Request, candidate candidate, prompt prompt) {
	target := candidate.target
	attempt := &attempt{
		request: request, target: target, pool: gate.pools[target.Service], sentAt: now,
		expectedMillis: candidate.expectedMillis, queueMillis: target.queueMillis(now), addedMillis: candidate.addedMillis,
		unloadedMillis: candidate.unloadedMillis, slotWaitMillis: gate.slotWaitMillis(target),
		kvTokens: request.Input + request.Output,
	}
	target.attempts[attempt] = true
	gate.active.add(target)
	target.running++
	gate.chargeCold(now, target)
	request.current = attempt
	request.sends++
	if request.tried == nil {
		request.tried = make(map[berylspoke.TargetID]bool)
	}
	request.tried[target.ID] = true
	if target.engine == nil {
		return
	}
	attempt.pool.window.unanswered++
	target.kvTokens += attempt.kvTokens
	target.drain(now)
	target.backlogMillis += attempt.addedMillis
	target.wait.millis += attempt.addedMillis
	target.pendingMillis += attempt.addedMillis
	target.sentMillis += attempt.addedMillis
	gate.urgent = gate.urgent || attempt.addedMillis > urgentMillis
	const meanWeight = 0.05
	target.meanRequestMillis += meanWeight * (attempt.addedMillis - target.meanRequestMillis)
	gate.recordCached(now, target, prompt.shared)
}

// AnswerStarted records the first byte of an answer and the load that the target reported
// with it, nil if none.
func (gate *Gate) AnswerStarted(now time.Time, request *Request, reported *berylspoke.EngineLoad) {
	attempt := request.current
	if attempt == nil || attempt.answerStarted {
		return
	}
	target := attempt.target
	gate.markAnswerStarted(attempt)
	target.recordSuccess(now)
	target.recordRecovery(attempt)
	if target.engine == nil {
		return
	}
	observedMillis := millis(now.Sub(attempt.sentAt))
	if gate.largeFleet() {
		gate.observeWait(now, attempt, true)
	}
	gate.correctEstimate(now, attempt, observedMillis)
	switch {
	case reported == nil:
	case gate.largeFleet():
		target.directLoad = load{now, reported.Running, reported.Waiting}
		gate.loadNews.add(target)
		gate.adoptLoad(now, target, target.directLoad)
		target.slots = reported.Slots
	default:
		target.observeLoad(now, *reported)
	}
}

// correctEstimate corrects the estimate of a target by one request's time to first token:
// the queue by the difference between the observed and the expected time, the slowdown by
// their ratio.
func (gate *Gate) correctEstimate(now time.Time, attempt *attempt, observedMillis float64) {
	target := attempt.target
	target.drain(now)
	ratio := max(observedMillis-target.latencyMillis, 1) / max(attempt.expectedMillis-target.latencyMillis, 1)
	if attempt.queueMillis > attempt.addedMillis+firstTokenMillis {
		// Behind a long queue, the error is attributed to the queue estimate, not to
		// the slowdown.
		ratio = 1
	}
	factor := min(ratio, 3) - 1
	target.slowdown = min(max(target.slowdown*(1+slowdownWeight*factor), minSlowdown), maxSlowdown)
	if target.meanSlowdown != nil {
		*target.meanSlowdown = min(max(*target.meanSlowdown*(1+meanSlowdownWeight*factor), minSlowdown), maxMeanSlowdown)
	}
	excessMillis := (observedMillis - attempt.expectedMillis) / target.slowdown
	target.backlogMillis = max(0, target.backlogMillis+queueGain*min(excessMillis, attempt.queueMillis+attempt.addedMillis))
}
