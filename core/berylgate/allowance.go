package berylgate

// This file limits the expected time to first byte of a request by the usage of its
// organisation.

import (
	"math"
	"time"

	"berylspoke"
)

const (
	// maxObjectiveShare is the fraction of the objective that the expected time to
	// first token may use. The rest covers the error of the model, whose spread at full
	// load is about a tenth.
	maxObjectiveShare = 0.9
	// overuseExponent sets how fast the fraction of the objective that an organisation
	// may use falls with its overuse. minObjectiveShare is the lower bound, which still
	// admits requests while targets have room, since nothing is queued there then.
	overuseExponent   = 1.0
	minObjectiveShare = 0.15
)

// allowance limits the expected time to first byte at which a request is sent.
type allowance struct {
	limitMillis float64
	// idleLimitMillis is the limit at an idle target.
	idleLimitMillis float64
	// overuse is the ratio of the organisation's service to its max-min level, at least
	// one; it is infinite if the organisation may not start another request.
	overuse float64
	// overLevel is set if the organisation is beyond its level. Its prompts then leave
	// their home target only for an idle one, because a prefill elsewhere evicts
	// segments that other prompts share. capped is set if the organisation has used up
	// its cap. It is then refused at idle engines too, because others would lack what
	// it gets there beyond the cap once they have demand.
	overLevel, capped bool
}

// admits reports whether a request may be sent to a candidate. A prompt so large that
// it exceeds the limit even on an unloaded target is sent to an idle one, as it would
// otherwise never be served. For an organisation beyond its level but not capped, an
// idle target that has the prompt's shared segments cached counts with the longer limit
// of organisations within their level: with the shorter limit, even the least served
// organisation beyond its level would be refused at idle engines.
func (allowance allowance) admits(option candidate) bool {
	idle := option.idle
	switch {
	case allowance.capped:
		return false
	case option.expectedMillis <= allowance.limitMillis:
		return !allowance.overLevel || option.uncached == 0 || idle
	case allowance.overLevel:
		return idle && option.uncached == 0 && option.expectedMillis <= allowance.idleLimitMillis
	default:
		return idle && option.unloadedMillis > allowance.limitMillis
	}
}

// allow returns the allowance of a request. One that was admitted before, a retry or the
// continuation of a stream, has no limit.
func (gate *Gate) allow(now time.Time, pool *pool, request *Request, admitted bool) allowance {
	if admitted {
		return allowance{limitMillis: math.Inf(1), overuse: 1}
	}
	overuse := gate.overuse(now, pool, request)
	return allowance{
		limitMillis: gate.limitMillis(now, request, overuse), idleLimitMillis: gate.limitMillis(now, request, 1), overuse: overuse,
		overLevel: overuse > 1, capped: math.IsInf(overuse, 1),
	}
}

// Share is the demand and the service of an organisation in the fleet in tokens per
// second, and how much it may get: its max-min level, and the cap beyond which nothing
// more is sent for it. Covered is the number of daemons whose usage is summed up in a large fleet, zero if
// no recent sum is known.
type Share struct {
	Demand, Served, Level, Cap float64
	Covered                    int
}

// TokensOf returns the weighted tokens that a request counts in its organisation's usage.
func TokensOf(request *Request) berylspoke.Tokens {
	return inputWeight*request.Input + outputWeight*request.Output
}

// overuse returns the ratio of an organisation's service to its max-min level: one for
// an organisation within its level, infinity for one that may not start another
// request.
func (gate *Gate) overuse(now time.Time, pool *pool, request *Request) float64 {
	if pool.service.Engine == nil {
		return 1
	}
	gate.refreshLevels(now)
	if math.IsInf(gate.shares.level, 1) {
		return 1
	}
	organisation := hashOf(string(request.Organisation))
	served := gate.served(now, organisation)
	if served > maxCapOverrun*gate.shares.cap || !gate.mayStart(now, organisation) {
		return math.Inf(1)
	}
	return max(1, served/gate.shares.level)
}

// Allowances returns the tokens that each organisation beyond its cap may still start at
// this daemon. Organisations within their cap are not listed.
func (gate *Gate) Allowances(now time.Time) map[berylspoke.OrganisationID]float64 {
	gate.refreshLevels(now)
	if math.IsInf(gate.shares.cap, 1) {
		return nil
	}
	allowances := make(map[berylspoke.OrganisationID]float64)
	for hash, usage := range gate.shares.own {
		switch {
		case usage.organisation == "":
		case gate.served(now, hash) > maxCapOverrun*gate.shares.cap:
			allowances[usage.organisation] = 0
		case !gate.mayStart(now, hash) || usage.throttled:
			allowances[usage.organisation] = max(usage.credit, 0)
		}
	}
	return allowances
}

// share returns the demand, service, level and cap of a request's organisation.
func (gate *Gate) share(now time.Time, request *Request) Share {
	organisation := hashOf(string(request.Organisation))
	return Share{
		Demand: gate.shares.usage(organisation).demand.now(now) + gate.shares.others[organisation].demand,
		Served: gate.served(now, organisation), Level: gate.shares.level, Cap: gate.shares.cap,
		Covered: gate.shares.covered,
	}
}

// maxCapOverrun is the multiple of its cap up to which an organisation may be served
// before all its requests are refused. Throttling keeps it near the cap; this bound
// covers the second that passes before the sums show the start of a flood.
const maxCapOverrun = 1.2

// mayStart reports whether an organisation may start another request here under its
// cap. If its demand exceeds the cap, each daemon admits the same fraction of its own
// demand, so that together they keep to the cap. A limit on served tokens alone, which
// are known a second late, alternated every few seconds between admitting and rejecting
// all of the demand, and the rejected callers retried too late for their objective.
func (gate *Gate) mayStart(now time.Time, organisation uint32) bool {
	usage := gate.shares.usage(organisation)
	own := usage.demand.now(now)
	demand := own + gate.shares.others[organisation].demand
	if demand <= gate.shares.cap {
		usage.throttled = false
		return true
	}
	return usage.throttle(now, own*gate.shares.cap/demand)
}

// limitMillis returns the longest expected time to first byte at which a request is sent.
func (gate *Gate) limitMillis(now time.Time, request *Request, overuse float64) float64 {
	remaining := millis(request.Arrived.Add(request.Objective).Sub(now))
	if math.IsInf(overuse, 1) {
		return 0
	}
	factor := max(maxObjectiveShare*math.Pow(overuse, -overuseExponent), minObjectiveShare)
	return remaining * factor
}
