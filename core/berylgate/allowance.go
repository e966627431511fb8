package berylgate

// This file defines how long a request may be expected to wait, given the usage of its
// organisation.

import (
	"math"
	"time"

	"berylspoke"
)

const (
	// maxObjectiveShare is the part of the objective that the expected time to first
	// token may use. The rest covers the error of the model, whose spread at full load is
	// about a tenth.
	maxObjectiveShare = 0.9
	// overuseExponent is how fast the part of the objective that an organisation may use
	// falls with its overuse, and minObjectiveShare the part that always remains, as
	// nothing queues while targets have room.
	overuseExponent   = 1.0
	minObjectiveShare = 0.15
)

// allowance is how long a request may be expected to wait for its first byte.
type allowance struct {
	limitMillis float64
	// idleLimitMillis is the limit at an idle target.
	idleLimitMillis float64
	// overuse is how many times its max-min level the organisation was served.
	overuse float64
	// overLevel says that the organisation is beyond its level. Its prompts leave their
	// home target only for an idle one: prefilled elsewhere, they evict segments that
	// other prompts share. capped says that the organisation was served all that it may
	// get for now. That holds at idle engines too: what it gets there beyond the cap,
	// others lack once they have demand.
	overLevel, capped bool
}

// admits reports whether a candidate is good enough. A prompt so large that it exceeds
// the limit on an unloaded target would never be served; it is sent to an idle one. An
// organisation beyond its level but not capped may use an idle target that has the
// prompt's shared segments cached up to the limit of all: with its own shorter limit, the
// least served of those beyond their level would be refused at idle engines.
func (allowance allowance) admits(option candidate) bool {
	idle := option.target.idle()
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

// allow returns the allowance of a request. A retry has no limit, as the request was
// admitted before.
func (gate *Gate) allow(now time.Time, pool *pool, request *Request, retry bool) allowance {
	if retry {
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
// more is sent for it.
type Share struct {
	Demand, Served, Level, Cap float64
}

// TokensOf returns the weighted tokens that a request counts in its organisation's usage.
func TokensOf(request *Request) berylspoke.Tokens {
	return inputWeight*request.Input + outputWeight*request.Output
}

// overuse returns how many times its max-min level an organisation was served: one for an
// organisation within its level, infinity for one that may not start another request.
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

// share returns the usage that a request's organisation is judged by.
func (gate *Gate) share(now time.Time, request *Request) Share {
	organisation := hashOf(string(request.Organisation))
	return Share{
		Demand: gate.shares.usage(organisation).demand.now(now) + gate.shares.others[organisation].demand,
		Served: gate.served(now, organisation), Level: gate.shares.level, Cap: gate.shares.cap,
	}
}

// maxCapOverrun is how many times its cap an organisation may have been served before all
// its requests are refused. Throttling keeps it near the cap; this bound is for the
// second until the sums show that it has begun to flood.
const maxCapOverrun = 1.2

// mayStart reports whether an organisation may start another request here under its cap.
// If its demand exceeds the cap, each daemon admits the same part of its own demand, so
// that all together keep to the cap. Limiting by served tokens alone, which are known a
// second late, admitted all of the demand and rejected all of it by turns of some
// seconds, and the rejected callers came back too late for their objective.
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
