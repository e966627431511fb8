package berylgate

// This file divides the declared throughput between organisations.

import (
	"math"
	"sort"
	"time"

	"berylspoke"
)

// shareWindow is the time constant of the rates from which shares are computed. It is
// shorter than the window over which shares are guaranteed, so that an organisation
// that begins to flood is noticed within a second.
const shareWindow = 1500 * time.Millisecond

// rate is an exponentially weighted rate in tokens per second.
type rate struct {
	value   float64
	updated time.Time
}

// now returns the rate at the given time.
func (rate *rate) now(now time.Time) float64 {
	if elapsed := now.Sub(rate.updated); elapsed > 0 {
		rate.value *= math.Exp(-float64(elapsed) / float64(shareWindow))
		rate.updated = now
	}
	return rate.value
}

// add counts tokens at the given time.
func (rate *rate) add(now time.Time, tokens berylspoke.Tokens) {
	rate.now(now)
	rate.value += float64(tokens) / shareWindow.Seconds()
}

// remove takes back tokens that were counted at an earlier time.
func (rate *rate) remove(now time.Time, tokens berylspoke.Tokens, added time.Time) {
	remaining := math.Exp(-float64(now.Sub(added)) / float64(shareWindow))
	rate.value = max(0, rate.now(now)-remaining*float64(tokens)/shareWindow.Seconds())
}

// usage is the demand and the service of one organisation at this daemon.
type usage struct {
	// organisation is empty until a request of the organisation was counted here.
	organisation   berylspoke.OrganisationID
	demand, served rate
	// rejected is the rate of the demand that was rejected before the gate saw it.
	rejected rate
	// cpuLimitedUntil is when the organisation stops counting as limited by the CPU of
	// this daemon's VM.
	cpuLimitedUntil time.Time
	// throttled is set while the organisation's demand exceeds its cap; credit is then
	// the number of tokens that it may still start here, as of creditUpdated.
	throttled     bool
	credit        float64
	creditUpdated time.Time
}

// creditWindow is the time over which a throttled organisation may save up credit. It
// covers a few of the largest requests, so that their admission does not depend on the
// moment at which they arrive.
const creditWindow = 500 * time.Millisecond

// throttle limits the organisation to rate tokens per second here and reports whether it
// may start another request.
func (usage *usage) throttle(now time.Time, rate float64) bool {
	if !usage.throttled {
		usage.throttled, usage.credit, usage.creditUpdated = true, rate*creditWindow.Seconds(), now
	}
	usage.credit = min(usage.credit+rate*now.Sub(usage.creditUpdated).Seconds(), rate*creditWindow.Seconds())
	usage.creditUpdated = now
	return usage.credit > 0
}

// countSent counts a request that is sent.
func (usage *usage) countSent(now time.Time, tokens berylspoke.Tokens) {
	usage.served.add(now, tokens)
	if usage.throttled {
		usage.credit -= float64(tokens)
	}
}

// undoSent takes back a request that was sent at an earlier time and did not run.
func (usage *usage) undoSent(now time.Time, tokens berylspoke.Tokens, sent time.Time) {
	usage.served.remove(now, tokens, sent)
	if usage.throttled {
		usage.credit += float64(tokens)
	}
}

const (
	// cpuLimitedShare is the minimum fraction of an organisation's demand that a VM
	// must reject for lack of CPU time for the organisation to count as limited by CPU.
	cpuLimitedShare = 0.15
	// cpuLimitedFor is how long an organisation counts as limited by CPU after its
	// requests were rejected: until two reports have reached the fleet.
	cpuLimitedFor = 2 * usageInterval
)

// addDemand counts the tokens of a request, whether or not it is sent.
func (usage *usage) addDemand(now time.Time, tokens berylspoke.Tokens) {
	usage.demand.add(now, tokens)
}

// addRejected counts the tokens of requests that were rejected before the gate saw
// them. Without them the organisation would seem to be served all its demand, and
// others would be served far more than it. If they are a small fraction of its demand
// in the fleet, this VM does not limit it, as its callers connect to other VMs too.
func (usage *usage) addRejected(now time.Time, tokens berylspoke.Tokens, elsewhere float64) {
	usage.demand.add(now, tokens)
	usage.rejected.add(now, tokens)
	if usage.rejected.now(now) >= cpuLimitedShare*(usage.demand.now(now)+elsewhere) {
		usage.cpuLimitedUntil = now.Add(cpuLimitedFor)
	}
}

// shares holds the usage of all organisations at this daemon and at the others.
type shares struct {
	own map[uint32]*usage
	// others is the usage at the other daemons as of the last computation.
	others map[uint32]total
	// restDemand is the demand of the organisations that the fleet's sum does not list.
	restDemand float64
	// covered is the number of daemons that the fleet's sum covers, zero if there is none.
	covered int
	// level is the max-min level, cap the most that an organisation beyond it may get.
	level, cap float64
	computed   time.Time
	// cachedShare is the mean fraction of a request's tokens that was assumed to be
	// cached, and sends the number of requests that were counted.
	cachedShare float64
	sends       int
}

const (
	// underServed is the ratio of service to demand below which an organisation counts
	// as backlogged in the fleet.
	underServed = 0.6
	// maxGap is the maximum ratio of the service of an organisation beyond its level to
	// that of an organisation limited by CPU, largeFleetMaxGap the same in a large
	// fleet. All callers of the limited organisation connect to one small VM, whose
	// processor bounds its service; others must not be served far more because of that.
	// Users tolerate a factor of two over six seconds. In a large fleet sums are a
	// second old, and a flood gets a quarter more than its cap before they show it.
	maxGap, largeFleetMaxGap = 1.7, 1.45
	// overcommit is the multiple of the declared throughput that caps are computed
	// from. The declared throughput is a mean over the day; queues bound what is sent
	// beyond it.
	overcommit = 1.3
	// maxLead is the ratio of the cap to the service of the least served backlogged
	// organisation if that gives a higher cap than the overcommitted level. Idle
	// engines then serve the least served first.
	maxLead = 1.1
	// cachedWeight is the weight of one request in the mean fraction of cached tokens,
	// and maxCachedShare bounds that mean.
	cachedWeight   = 0.01
	maxCachedShare = 0.7
)

func newShares() *shares {
	return &shares{own: make(map[uint32]*usage), level: math.Inf(1), cap: math.Inf(1)}
}

// usageOf returns the usage of an organisation and records its id there.
func (shares *shares) usageOf(organisation berylspoke.OrganisationID) *usage {
	found := shares.usage(hashOf(string(organisation)))
	found.organisation = organisation
	return found
}

func (shares *shares) usage(organisation uint32) *usage {
	found := shares.own[organisation]
	if found == nil {
		found = new(usage)
		shares.own[organisation] = found
	}
	return found
}

// observeCached updates the mean fraction of cached tokens with a request that is sent.
func (shares *shares) observeCached(cached, tokens berylspoke.Tokens) {
	part := float64(cached) / float64(max(tokens, 1))
	shares.sends++
	weight := max(cachedWeight, 1/float64(shares.sends))
	shares.cachedShare = min(shares.cachedShare+weight*(part-shares.cachedShare), maxCachedShare)
}

// levelInterval is the time between two computations of the levels.
const levelInterval = 100 * time.Millisecond

// refreshLevels computes the max-min level and the cap in tokens per second again if
// they are older than levelInterval.
func (gate *Gate) refreshLevels(now time.Time) {
	shares := gate.shares
	if now.Sub(shares.computed) < levelInterval {
		return
	}
	shares.computed = now
	totals := gate.totals(now)
	demands := make([]float64, 0, len(totals))
	for _, total := range totals {
		demands = append(demands, total.demand)
	}
	shares.level, shares.cap = math.Inf(1), math.Inf(1)
	if gate.capacity > 0 {
		capacity := float64(gate.capacity)
		shares.level = maxMinLevel(demands, capacity-shares.restDemand)
		// Cached tokens count in demand and service but cost the engines nothing.
		overcommitted := maxMinLevel(demands, overcommit*capacity/(1-shares.cachedShare)-shares.restDemand)
		shares.cap = capOf(shares.level, overcommitted, gate.maxGap(), totals)
	}
}

// maxGap returns the constant that applies to the size of the fleet.
func (gate *Gate) maxGap() float64 {
	if gate.largeFleet() {
		return largeFleetMaxGap
	}
	return maxGap
}

// capOf returns the most that an organisation beyond its level may get. It is the
// max-min level of what engines are expected to serve, the same for all organisations
// and as steady as their demand. It does not fall with the service of the least served:
// an organisation that is throttled to a cap gets somewhat less than the cap, so such a
// cap would decrease steadily and stay low while engines are idle. Only for an
// organisation that is limited by its VM's CPU are others limited to a multiple of its
// service.
func capOf(level, overcommitted, gap float64, totals map[uint32]total) float64 {
	leastServed, leastLimited := math.Inf(1), math.Inf(1)
	for _, total := range totals {
		if total.demand <= level || total.served >= underServed*total.demand {
			continue
		}
		leastServed = math.Min(leastServed, total.served)
		if total.cpuLimited {
			leastLimited = math.Min(leastLimited, total.served)
		}
	}
	if !math.IsInf(leastServed, 1) {
		overcommitted = math.Max(overcommitted, maxLead*leastServed)
	}
	return math.Max(level, math.Min(overcommitted, gap*leastLimited))
}

// maxMinLevel returns the max-min level: the service that each organisation may receive
// so that those with more demand share what the others leave. It is infinite if the
// capacity covers all demand.
func maxMinLevel(demands []float64, capacity float64) float64 {
	sort.Float64s(demands)
	remaining := capacity
	for i, demand := range demands {
		equal := remaining / float64(len(demands)-i)
		if demand > equal {
			return equal
		}
		remaining -= demand
	}
	return math.Inf(1)
}
