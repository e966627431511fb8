package berylgate

// This file defines how long a request may be expected to wait, by the share of
// its organisation.

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
)

// allowance is how long a request may be expected to wait for its first byte.
type allowance struct {
	limit float64
	// idleLimit is the limit at a target where nobody waits.
	idleLimit float64
	// times is how many times its max-min level the organisation was given.
	times float64
	// over says that the organisation is beyond its share. Its prompts leave
	// their home only for a target where nobody waits: read elsewhere, they push
	// out what others' prompts share. Capped organisations got all that they may for
	// now, also at idle engines: what they get there beyond the cap, others lack once
	// they ask for it.
	over, capped bool
}

// admits says whether a candidate is good enough. A prompt so large that it
// alone exceeds the limit would never be served; it is sent where nobody waits.
// Whoever is over its share but not capped may use a target where nobody waits and
// its parts are kept up to the limit of all: with the shorter one, the least served
// of those beyond their level would be refused at idle engines.
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

// Share is what an organisation asks for and is given in the fleet, in tokens a
// second, and how much it may get: its max-min level, and the cap beyond which
// nothing more is sent for it.
type Share struct {
	Asked, Given, Level, Cap float64
}

// TokensOf returns what a request counts in its organisation's share.
func TokensOf(request *Request) berylspoke.Tokens {
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

// Allowances returns the tokens that each organisation beyond its cap may still begin
// here. Whoever is within it is not named.
func (gate *Gate) Allowances(now time.Time) map[berylspoke.OrganisationID]float64 {
	gate.refreshLevels(now)
	if math.IsInf(gate.shares.cap, 1) {
		return nil
	}
	allowances := make(map[berylspoke.OrganisationID]float64)
	for hash, usage := range gate.shares.own {
		switch {
		case usage.organisation == "":
		case gate.given(now, hash) > capGuard*gate.shares.cap:
			allowances[usage.organisation] = 0
		case !gate.thin(now, hash) || usage.thinned:
			allowances[usage.organisation] = max(usage.credit, 0)
		}
	}
	return allowances
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
