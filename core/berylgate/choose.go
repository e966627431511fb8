package berylgate

// This file defines which target a request is sent to.

import (
	"math"
	"slices"
	"time"

	"berylspoke"
)

const (
	// recomputeWeight is the weight of the prefill time of uncached shared tokens in
	// the cost, relative to the expected time: capacity spent on computing them twice
	// is lost to all organisations.
	recomputeWeight = 20.0
	// errorPenaltyMillis is the extra cost of a target that fails every request over one
	// that fails none.
	errorPenaltyMillis = 2000.0
	// crossRegionPenaltyMillis is the extra cost of a target in another region in
	// addition to its network latency: the link is narrow and charged by volume.
	crossRegionPenaltyMillis = 10.0
	// crossDomainPenaltyMillis is the same for a target in another failure domain of the
	// region: traffic between them is charged too, at a third of the price.
	crossDomainPenaltyMillis = 4.0
	// evictionPenaltyMillis is added to the expected time at an engine that would have to
	// evict the KV cache of running requests, and at a plain target with a long queue.
	evictionPenaltyMillis = 400.0
)

// candidate is one target as evaluated for a request.
type candidate struct {
	target      *target
	addedMillis float64
	// unloadedMillis is the expected time to first byte without other requests at the
	// target.
	unloadedMillis float64
	expectedMillis float64
	costMillis     float64
	// idle is set if next to nothing is queued at the target.
	idle bool
	// cached counts the shared tokens that are assumed to be in the target's KV cache,
	// uncached the others.
	cached, uncached berylspoke.Tokens
}

// Decision says where a request is sent or why it is refused.
type Decision struct {
	// Target is where the request is sent; Refusal is set if it is not sent.
	Target  berylspoke.Target
	Refusal *berylspoke.Refusal
	// Build is the target's build, zero if it may have restarted with another.
	Build berylspoke.Build
	// CertainBefore is the time before which connections were opened that lead to this run of
	// the target.
	CertainBefore time.Time
	// Expected is the expected time to first byte.
	Expected time.Duration
	// Connections is how many connections this daemon may hold to the target.
	Connections int
	// The work in milliseconds estimated to be queued at the target, and the target's
	// slowdown: the actual time per millisecond of the model.
	QueueMillis, Slowdown float64
	// The number of tokens in the prompt's shared prefix segments, and how many of them
	// are assumed to be in the target's KV cache.
	Shared, Cached berylspoke.Tokens
	// The target from which the engine fetches the KV cache of shared segments that it
	// lacks, nil if none is assumed to have them.
	CacheSource *berylspoke.Target
	// Running and Tokens are the requests estimated to be at the target and the KV cache
	// tokens that they use.
	Running int
	Tokens  berylspoke.Tokens
	// The longest expected time to first byte at which the request would be sent, and
	// the ratio of the organisation's service to its max-min level.
	Limit   time.Duration
	Overuse float64
	// Share is the usage that the limit was derived from.
	Share Share
}

// Submit decides on a request that is new or whose last attempt ended.
func (gate *Gate) Submit(now time.Time, request *Request) Decision {
	pool := gate.pools[request.Service]
	if pool == nil {
		return refused(berylspoke.ReasonUnknownService, defaultRetryAfter)
	}
	retry := request.sends > 0
	if !retry && request.tried == nil {
		gate.countDemand(now, pool, request)
	}
	exhausted := retry && request.sends >= request.MaxAttempts
	if exhausted && request.givenUp == "" {
		return refused(berylspoke.ReasonTargetFailed, defaultRetryAfter)
	}
	allowance := gate.allow(now, pool, request, retry || request.Claimed)
	prompt := gate.prompt(pool, request)
	var best candidate
	found := false
	if !exhausted {
		best, found = gate.best(now, pool, request, prompt, allowance)
	}
	if !found {
		best, found = gate.returnToGivenUp(now, request, prompt)
	}
	if exhausted && !found {
		return refused(berylspoke.ReasonTargetFailed, defaultRetryAfter)
	}
	if !found {
		return gate.refuseUnplaced(now, pool, request)
	}
	decision := gate.newDecision(now, best, prompt, allowance)
	decision.Share = gate.share(now, request)
	if !allowance.admits(best) || !retry && !request.Claimed && gate.windowFull(now, pool, allowance.overLevel) {
		decision.Refusal = gate.refuseOverload(request, best, allowance)
		return decision
	}
	if retry && !request.retryReserved && !pool.budget.Spend(now, 1) {
		return refused(berylspoke.ReasonOverload, defaultRetryAfter)
	}
	request.retryReserved = false
	if source := gate.cacheSource(now, best.target, prompt); source != nil {
		decision.CacheSource = &source.Target
	}
	gate.startAttempt(now, request, best, prompt)
	if pool.service.Engine != nil {
		if request.sends == 1 {
			gate.shares.observeCached(best.cached, TokensOf(request))
		}
		gate.countServed(now, request.current)
	}
	return decision
}

// ReserveRetry reports whether a request whose target is silent could be sent to another
// target if its attempt were ended, and reserves the retry for it.
func (gate *Gate) ReserveRetry(now time.Time, request *Request) bool {
	pool, current := gate.pools[request.Service], request.current
	if pool == nil || current == nil || current.answerStarted || request.sends >= request.MaxAttempts {
		return false
	}
	another := slices.ContainsFunc(pool.targets, func(target *target) bool {
		return target.usable(now) && gate.mayServe(now, target, request)
	})
	if !another {
		return false
	}
	request.retryReserved = request.retryReserved || pool.budget.Spend(now, 1)
	if request.retryReserved {
		request.givenUp = current.target.ID
	}
	return request.retryReserved
}

// returnToGivenUp returns the target whose attempt was ended because it was silent, if no other target has
// run the request since. The request returns there once: the target may have been slow only.
func (gate *Gate) returnToGivenUp(now time.Time, request *Request, prompt prompt) (candidate, bool) {
	target := gate.targets[request.givenUp]
	delete(request.tried, request.givenUp)
	request.givenUp = ""
	if target == nil || target.removed || !target.accepts() || !gate.mayServe(now, target, request) {
		return candidate{}, false
	}
	return gate.evaluate(now, target, request, prompt), true
}

// newDecision returns the decision to send a request to the best candidate, with the
// values that it is based on.
func (gate *Gate) newDecision(now time.Time, best candidate, prompt prompt, allowance allowance) Decision {
	target := best.target
	decision := Decision{
		Target: target.Target, Build: gate.certainBuild(target), CertainBefore: gate.certainBefore(), Connections: gate.connections(now, target),
		Expected: duration(best.expectedMillis), QueueMillis: target.queueMillis(now), Slowdown: target.slowdown,
		Shared: prompt.total, Cached: best.cached,
		Running: target.occupied(), Tokens: target.kvTokens + target.others.kvTokens,
		Overuse: allowance.overuse,
	}
	if !math.IsInf(allowance.limitMillis, 1) {
		decision.Limit = duration(allowance.limitMillis)
	}
	return decision
}

// countDemand counts a new request in its organisation's demand and in the retry
// budget, whether or not it is sent.
func (gate *Gate) countDemand(now time.Time, pool *pool, request *Request) {
	request.tried = make(map[berylspoke.TargetID]bool)
	pool.budget.Earn(retryEarnShare * gate.options.RetryRatio)
	if pool.service.Engine != nil {
		gate.shares.usageOf(request.Organisation).addDemand(now, TokensOf(request))
	}
}

// retryEarnShare is the fraction of the retry ratio that each request earns. The rest
// is a margin for requests that are counted at another daemon.
const retryEarnShare = 0.8

// choice is the outcome of a search for a target: the cheapest candidates among those that
// are expected to answer within the limit, the other usable ones, those that are held, and the
// unusable ones.
type choice struct {
	inTime, late, held, unusable candidate
}

// wantsMore reports whether more targets are drawn after the given number of draws.
func (found *choice) wantsMore(draws int) bool {
	if found.late.target == nil && found.unusable.target == nil && found.inTime.target == nil {
		return true
	}
	return draws == 0 || draws < maxDraws && found.inTime.target == nil
}

// best returns the target with the lowest cost among those that are expected to answer
// within the limit. If there is none, it returns the cheapest of the other usable
// targets or, failing that, of the unusable ones. The candidates are the homes of the
// prompt, the targets that were sent its shared segments, and some of all distances.
func (gate *Gate) best(now time.Time, pool *pool, request *Request, prompt prompt, allowance allowance) (candidate, bool) {
	var found choice
	consider := func(target *target) { gate.consider(now, &found, target, request, prompt, allowance) }
	holders := gate.markCached(now, prompt.shared)
	for _, home := range prompt.homes {
		if home != nil {
			consider(home)
		}
	}
	for _, send := range holders {
		if gate.cached(send.target) == prompt.total {
			consider(send.target)
		}
	}
	for draw := 0; draw < pool.index.draws() && found.wantsMore(draw); draw++ {
		for scope := range scopeCount {
			pool.index.draw(scope, gate.offset, draw, consider)
		}
	}
	for _, option := range []candidate{found.inTime, found.late, found.held, found.unusable} {
		// If all targets failed recently, one of them is tried: refusing everything
		// would turn an intermittent fault of the targets into an outage.
		if option.target != nil {
			return option, true
		}
	}
	return candidate{}, false
}

// consider evaluates a target for a request unless it was considered for the same decision.
func (gate *Gate) consider(now time.Time, found *choice, target *target, request *Request, prompt prompt, allowance allowance) {
	if target.considered == gate.decisions {
		return
	}
	target.considered = gate.decisions
	if target.removed || !target.accepts() || !gate.mayServe(now, target, request) {
		return
	}
	option := gate.evaluate(now, target, request, prompt)
	switch {
	case !gate.preferred(now, target, request):
		found.unusable = cheaper(found.unusable, option)
	case gate.holds(now, target, request):
		found.held = cheaper(found.held, option)
	case !allowance.admits(option):
		found.late = cheaper(found.late, option)
	default:
		found.inTime = cheaper(found.inTime, option)
	}
}

// mayServe reports whether a target that accepts requests may get this one now.
func (gate *Gate) mayServe(now time.Time, target *target, request *Request) bool {
	return gate.fits(target, request) && !request.tried[target.ID] && !target.recovering() &&
		gate.allows(request.Regions, target) && gate.withinColdBudget(now, target)
}

// fits reports whether a target may go on with the stream that the request continues, if any.
func (gate *Gate) fits(target *target, request *Request) bool {
	return !request.Continues || request.Build.Fits(gate.certainBuild(target))
}

// preferred reports whether a target is usable and, for a stream, not doubtful: if it breaks, a
// stream that began at a doubtful target cannot go on.
func (gate *Gate) preferred(now time.Time, target *target, request *Request) bool {
	return target.usable(now) && (request.Kind != berylspoke.Streaming || !gate.doubtful(target))
}

// cheaper returns the candidate with the lower cost.
func cheaper(one, other candidate) candidate {
	if one.target == nil || other.costMillis < one.costMillis {
		return other
	}
	return one
}

// evaluate returns a target as a candidate for a request, with its expected times and
// its cost.
func (gate *Gate) evaluate(now time.Time, target *target, request *Request, prompt prompt) candidate {
	cached := prompt.total
	if target != prompt.home {
		cached = gate.cached(target)
	}
	gate.refreshOthers(now, target)
	option := candidate{target: target, cached: cached, uncached: prompt.total - cached}
	if target.engine != nil {
		option.addedMillis = prefillMillis(request.Input, cached)
	}
	option.expectedMillis = target.expectedMillis(now, option.addedMillis)
	option.unloadedMillis = target.unloadedMillis(option.addedMillis)
	option.idle = target.idle(now)
	option.expectedMillis += max(0, gate.unknownWaitMillis(now, target)-target.slowdown*target.queueMillis(now))
	if target.evicts(request.Input + request.Output) {
		option.expectedMillis += evictionPenaltyMillis
	}
	option.costMillis = option.expectedMillis + errorPenaltyMillis*target.errorRate + target.wait.lingering(now)
	option.costMillis += recomputeWeight * float64(option.uncached) / prefillTokensPerMillis
	switch target.scope {
	case fleetScope:
		option.costMillis += crossRegionPenaltyMillis
	case regionScope:
		option.costMillis += crossDomainPenaltyMillis
	}
	return option
}
