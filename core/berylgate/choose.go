package berylgate

// This file defines which target a request goes to and who is refused.

import (
	"math"
	"slices"
	"time"

	"berylspoke"
)

const (
	// rereadWeight is how many times the work of reading a part again counts
	// beside the wait: what is read twice is lost to all.
	rereadWeight = 20.0
	// errorPenalty is the milliseconds that a target which fails every request
	// costs more than one that fails none.
	errorPenalty = 2000.0
	// farPenalty is the milliseconds by which a target in another region must be
	// better beyond the longer way: the link is narrow and paid by volume.
	farPenalty = 10.0
	// acrossPenalty is the same for a target in another failure domain of the
	// region: traffic between them is paid too, at a third of the price.
	acrossPenalty = 4.0
	// fullPenalty is the milliseconds that a target without a free slot costs.
	fullPenalty = 400.0
)

// candidate is one target as a request sees it.
type candidate struct {
	target *target
	added  float64
	// alone is what it would expect if no other request were there.
	alone    float64
	expected float64
	cost     float64
	// kept and lacks are the tokens of shared parts that the target is believed to
	// keep and to lack.
	kept, lacks berylspoke.Tokens
}

// Decision is what becomes of a request.
type Decision struct {
	// Target is where it goes; Refusal is set if it goes nowhere.
	Target   berylspoke.Target
	Refusal  *berylspoke.Refusal
	Expected time.Duration
	// Connections is how many connections this daemon may hold to the target.
	Connections int
	// Queue is the work in milliseconds believed to lie before the target, and
	// Pace the time that it takes for a millisecond of the model.
	Queue, Pace float64
	// Shared are the prompt's tokens that other prompts begin with too, Kept those
	// of them that the target is believed to keep.
	Shared, Kept berylspoke.Tokens
	// Source is the target from which the engine fetches what it lacks of them, nil
	// if nobody is believed to keep it.
	Source *berylspoke.Target
	// Running and Tokens are the requests and their memory believed to be there.
	Running int
	Tokens  berylspoke.Tokens
	// Limit is the expected time up to which the request would be sent, and Over
	// how far its organisation is beyond its share.
	Limit time.Duration
	Over  float64
	// Share is what that was judged by.
	Share Share
}

// Submit decides on a request that is new or whose last attempt ended.
func (gate *Gate) Submit(now time.Time, request *Request) Decision {
	pool := gate.services[request.Service]
	if pool == nil {
		return refused(berylspoke.ReasonUnknown, shortWait)
	}
	again := request.sends > 0
	if !again && request.tried == nil {
		gate.ask(now, pool, request)
	}
	if again && request.sends >= request.Attempts {
		return refused(berylspoke.ReasonTarget, shortWait)
	}
	allowance := gate.allow(now, pool, request, again)
	prompt := gate.prompt(pool, request)
	best, found := gate.best(now, pool, request, prompt, allowance)
	if !found {
		return refused(berylspoke.ReasonNoTarget, shortWait)
	}
	decision := gate.describe(best, prompt, allowance)
	decision.Share = gate.share(now, request)
	if !allowance.admits(best) {
		decision.Refusal = gate.overloaded(request, best, allowance)
		return decision
	}
	if again && !request.reserved && !pool.budget.Spend(now, 1) {
		return refused(berylspoke.ReasonOverload, shortWait)
	}
	request.reserved = false
	if source := gate.source(now, pool, best.target, prompt); source != nil {
		decision.Source = &source.Target
	}
	gate.start(now, request, best, prompt)
	if pool.declared.Engine != nil && request.sends == 1 {
		gate.shares.sent(best.kept, TokensOf(request))
		gate.shares.usage(hashOf(string(request.Organisation))).begin(now, TokensOf(request))
	}
	return decision
}

// Reserve says whether a request whose target is silent could be sent to another one
// if its attempt were ended, and sets the retry aside for it.
func (gate *Gate) Reserve(now time.Time, request *Request) bool {
	pool, live := gate.services[request.Service], request.live
	if pool == nil || live == nil || live.began || request.sends >= request.Attempts {
		return false
	}
	another := slices.ContainsFunc(pool.targets, func(target *target) bool {
		return target.usable(now) && target.bears(now) && !request.tried[target.ID] && gate.allows(request.Regions, target)
	})
	if !another {
		return false
	}
	request.reserved = request.reserved || pool.budget.Spend(now, 1)
	return request.reserved
}

// describe returns the decision for a target with the inputs that led to it.
func (gate *Gate) describe(best candidate, prompt prompt, allowance allowance) Decision {
	target := best.target
	decision := Decision{
		Target: target.Target, Connections: gate.connections(target),
		Expected: duration(best.expected), Queue: target.backlog, Pace: target.pace,
		Shared: prompt.total, Kept: best.kept,
		Running: target.occupied(), Tokens: target.tokens + target.others.tokens,
		Over: allowance.times,
	}
	if !math.IsInf(allowance.limit, 1) {
		decision.Limit = duration(allowance.limit)
	}
	return decision
}

// ask counts a request once, before anything is decided on it.
func (gate *Gate) ask(now time.Time, pool *pool, request *Request) {
	request.tried = make(map[berylspoke.TargetID]bool)
	pool.budget.Earn(retryEarn * gate.options.RetryRatio)
	if pool.declared.Engine != nil {
		gate.shares.usageOf(request.Organisation).ask(now, TokensOf(request))
	}
}

// retryEarn is the part of the allowed ratio that requests earn; the rest is
// for requests that end up at another daemon's count.
const retryEarn = 0.8

// best returns the target of the lowest cost among those that are expected to
// answer within the limit, or the lowest of all if none is.
func (gate *Gate) best(now time.Time, pool *pool, request *Request, prompt prompt, allowance allowance) (candidate, bool) {
	var best, late, spare candidate
	for _, target := range pool.targets {
		if target.Leaving || request.tried[target.ID] || !gate.allows(request.Regions, target) || !target.bears(now) {
			continue
		}
		option := gate.weigh(now, target, request, prompt)
		switch {
		case !target.usable(now):
			spare = cheaper(spare, option)
		case !allowance.admits(option):
			late = cheaper(late, option)
		default:
			best = cheaper(best, option)
		}
	}
	if best.target == nil {
		best = late
	}
	if best.target == nil {
		// All targets failed lately. Refusing everything until one is tried again
		// would turn a fault that hits each now and then into an outage.
		best = spare
	}
	return best, best.target != nil
}

// cheaper returns the candidate of the lower cost.
func cheaper(one, other candidate) candidate {
	if one.target == nil || other.cost < one.cost {
		return other
	}
	return one
}

// weigh returns what a request costs at one target.
func (gate *Gate) weigh(now time.Time, target *target, request *Request, prompt prompt) candidate {
	kept := prompt.total
	if target != prompt.home {
		kept = target.cached(now, prompt.shared)
	}
	option := candidate{target: target, kept: kept, lacks: prompt.total - kept}
	if target.engine != nil {
		option.added = work(request.Input, kept)
	}
	option.expected = target.expect(now, option.added)
	option.alone = target.alone(option.added)
	if target.full(request.Input + request.Output) {
		option.expected += fullPenalty
	}
	option.cost = option.expected + errorPenalty*target.errors
	option.cost += rereadWeight * float64(option.lacks) / prefillRate
	switch target.scope {
	case acrossRegions:
		option.cost += farPenalty
	case acrossDomains:
		option.cost += acrossPenalty
	}
	return option
}
