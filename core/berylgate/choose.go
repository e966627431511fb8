package berylgate

// This file defines which target a request goes to and who is refused.

import (
	"math"
	"time"

	"berylspoke"
)

const (
	// headroom is the part of the objective that the expected time to the first
	// token may take up: the rest covers the error of the model, whose spread at
	// full load is about a tenth.
	headroom = 0.9
	// overPower is how fast the part of the objective that an organisation may use
	// falls with the times that it was given its max-min level, and overLeast the
	// part that is always left, as nobody waits while targets have room.
	overPower = 1.0
	overLeast = 0.15
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

// allowance is how long a request may be expected to wait for its first byte.
type allowance struct {
	limit float64
	// idleLimit is the limit at a target where nobody waits.
	idleLimit float64
	// times is how many times its max-min level the organisation was given.
	times float64
	// over says that the organisation is beyond its share. Its prompts leave
	// their home only for a target where nobody waits: read elsewhere, they push
	// out what others' prompts share. Capped organisations are so far ahead of
	// another that waits that they get nothing more for now: what they got at idle
	// engines widened the gap to three times.
	over, capped bool
}

// admits says whether a candidate is good enough. A prompt so large that it
// alone exceeds the limit would never be served; it is sent where nobody waits.
// Whoever is over its share but not capped may use a target where nobody waits and
// its parts are kept up to the limit of all: with the shorter one, the least served
// of those beyond their level was refused at idle engines.
func (allowance allowance) admits(option candidate) bool {
	idle := option.target.idle()
	switch {
	case allowance.capped:
		return false
	case option.expected <= allowance.limit:
		return !allowance.over || option.lacks == 0 || idle
	case allowance.over:
		return idle && option.lacks == 0 && option.expected <= allowance.idleLimit
	default:
		return idle && option.alone > allowance.limit
	}
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

// Share is what an organisation asks for and is given in the fleet, in tokens a
// second, and how much it may get: its max-min level, and the cap beyond which
// nothing more is sent for it.
type Share struct {
	Asked, Given, Level, Cap float64
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
	prompt := gate.prompt(pool, request.Parts)
	best, found := gate.best(now, pool, request, prompt, allowance)
	if !found {
		return refused(berylspoke.ReasonNoTarget, shortWait)
	}
	decision := gate.describe(best, prompt, allowance)
	decision.Share = gate.share(now, request)
	if !allowance.admits(best) {
		decision.Refusal = gate.overloaded(best, allowance)
		return decision
	}
	if again && !pool.budget.Spend(now, 1) {
		return refused(berylspoke.ReasonOverload, shortWait)
	}
	if source := gate.source(now, pool, best.target, prompt); source != nil {
		decision.Source = &source.Target
	}
	gate.start(now, request, best, prompt)
	if pool.declared.Engine != nil && request.sends == 1 {
		gate.shares.usage(hashOf(string(request.Organisation))).begin(now, tokensOf(request))
	}
	return decision
}

// allow returns what a request may be expected to wait. One that goes on after a
// failure was let in already.
func (gate *Gate) allow(now time.Time, pool *pool, request *Request, again bool) allowance {
	if again {
		return allowance{limit: math.Inf(1), times: 1}
	}
	times := gate.over(now, pool, request)
	return allowance{
		limit: gate.limit(now, request, times), idleLimit: gate.limit(now, request, 1), times: times,
		over: times > 1, capped: math.IsInf(times, 1),
	}
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
		gate.shares.usage(hashOf(string(request.Organisation))).asked.add(now, tokensOf(request))
	}
}

// retryEarn is the part of the allowed ratio that requests earn; the rest is
// for requests that end up at another daemon's count.
const retryEarn = 0.8

// tokensOf returns what a request counts in its organisation's share.
func tokensOf(request *Request) berylspoke.Tokens {
	return tokensRead*request.Input + tokensMade*request.Output
}

// over returns how many times its max-min level an organisation was given, one
// at most for whoever is within it, and without bound for whoever is too far
// ahead of the others.
func (gate *Gate) over(now time.Time, pool *pool, request *Request) float64 {
	if pool.declared.Engine == nil {
		return 1
	}
	gate.refreshLevels(now)
	if math.IsInf(gate.shares.level, 1) {
		return 1
	}
	organisation := hashOf(string(request.Organisation))
	given := gate.given(now, organisation)
	if given > capGuard*gate.shares.cap || !gate.thin(now, organisation) {
		return math.Inf(1)
	}
	return max(1, given/gate.shares.level)
}

// share returns what a request's organisation is judged by.
func (gate *Gate) share(now time.Time, request *Request) Share {
	organisation := hashOf(string(request.Organisation))
	return Share{
		Asked: gate.shares.usage(organisation).asked.now(now) + gate.shares.others[organisation].asked,
		Given: gate.given(now, organisation), Level: gate.shares.level, Cap: gate.shares.cap,
	}
}

// capGuard is how many times its cap an organisation may have been given before
// all that it asks is refused. Thinning holds it near the cap by itself; this is
// for the second until the sums show that it began to flood.
const capGuard = 1.2

// thin says whether an organisation that asks for more than its cap may begin one
// more request here. Each daemon admits the same part of what it is asked for, so
// all together keep to the cap. Going by what was given alone, which is known a
// second late, it was let in whole and shut out whole by turns of some seconds:
// those shut out came back too late for their objective.
func (gate *Gate) thin(now time.Time, organisation uint32) bool {
	usage := gate.shares.usage(organisation)
	own := usage.asked.now(now)
	asked := own + gate.shares.others[organisation].asked
	if asked <= gate.shares.cap {
		usage.thinned = false
		return true
	}
	return usage.thin(now, own*gate.shares.cap/asked)
}

// limit returns the expected milliseconds up to which a request is sent.
func (gate *Gate) limit(now time.Time, request *Request, over float64) float64 {
	left := millis(request.Arrived.Add(request.Objective).Sub(now))
	if math.IsInf(over, 1) {
		return 0
	}
	factor := max(headroom*math.Pow(over, -overPower), overLeast)
	return left * factor
}

// best returns the target of the lowest cost among those that are expected to
// answer within the limit, or the lowest of all if none is.
func (gate *Gate) best(now time.Time, pool *pool, request *Request, prompt prompt, allowance allowance) (candidate, bool) {
	var best, late, spare candidate
	for _, target := range pool.targets {
		if target.Leaving || request.tried[target.ID] {
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

const (
	// shortWait is when a caller may come back after a refusal that says nothing
	// of the load.
	shortWait = 300 * time.Millisecond
	// overWait is when one beyond its share may come back: its share is counted
	// over some seconds.
	overWait = 1500 * time.Millisecond
	// waitMost bounds the time a caller is told to stay away.
	waitMost = 3 * time.Second
)

// overloaded refuses a request for which no target has room. The caller is told
// to come back when the queue should have drained, at a time drawn at random so
// that those refused together do not return together.
func (gate *Gate) overloaded(best candidate, allowance allowance) *berylspoke.Refusal {
	wait := shortWait + duration(max(best.expected-allowance.limit, 0))
	if allowance.over {
		wait += overWait
	}
	wait += time.Duration(gate.random.Float64() * float64(wait))
	return &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonOverload, RetryAfter: min(wait, waitMost),
	}
}

func refused(reason berylspoke.Reason, wait time.Duration) Decision {
	return Decision{Refusal: &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: reason, RetryAfter: wait}}
}
