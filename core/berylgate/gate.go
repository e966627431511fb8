package berylgate

// This file defines the gate and what moves its state.

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"berylspoke"
	"berylspoke/core/berylroute"
)

// Options are the settings of a gate.
type Options struct {
	VM          berylspoke.VMID
	Incarnation berylspoke.Incarnation
	// FailureDomain is where this daemon stands; RegionOf maps failure domains to
	// their regions.
	FailureDomain berylspoke.FailureDomain
	RegionOf      map[berylspoke.FailureDomain]berylspoke.Region
	// RetryRatio and RetrySlack bound the sends beyond the first of each request
	// over all daemons: a part of the requests, and a number.
	RetryRatio, RetrySlack float64
}

// Request is one request of a caller.
type Request struct {
	ID           berylspoke.RequestID
	Service      berylspoke.ServiceID
	Organisation berylspoke.OrganisationID
	Kind         berylspoke.Kind
	Arrived      time.Time
	// Objective is the time to the first byte within which the answer counts.
	Objective time.Duration
	Deadline  time.Time
	// Attempts bounds the targets that the request may be sent to.
	Attempts      int
	Input, Output berylspoke.Tokens
	Parts         []berylspoke.Part
	// Regions are those whose targets may serve the request.
	Regions berylspoke.Regions
	// sends counts the targets that may have received the request; tried are
	// those that it must not be sent to again.
	sends int
	tried map[berylspoke.TargetID]bool
	live  *attempt
	// reserved is set once a retry was set aside for it.
	reserved bool
}

// attempt is one request at one target.
type attempt struct {
	request  *Request
	target   *target
	sent     time.Time
	expected float64
	queue    float64
	added    float64
	memory   berylspoke.Tokens
	began    bool
}

// pool is the targets and the retry budget of one service.
type pool struct {
	declared berylspoke.Service
	targets  []*target
	budget   *berylroute.Budget
	// pace is the mean pace of the service's targets.
	pace float64
}

// Gate is the state of one daemon's decisions.
type Gate struct {
	options  Options
	capacity berylspoke.Tokens
	services map[berylspoke.ServiceID]*pool
	targets  map[berylspoke.TargetID]*target
	// sorted are the targets in the order of their ids. Whatever is summed up or
	// reported goes by it, so equal inputs give equal decisions.
	sorted []*target
	hashes map[uint32]*target
	shares *shares
	peers  []*peer
	// collected is what a large fleet sums up of organisations.
	collected collected
	// live are the daemons known to be alive, daemons the most that ever were.
	live, daemons int
	// domains says where the live daemons stand.
	domains map[berylspoke.VMID]berylspoke.FailureDomain
	random  *rand.Rand
	ticked  time.Time
	// reported is when the last report was made, urgent whether a dispatch since then
	// must not wait for the next one.
	reported time.Time
	urgent   bool
}

// New returns a gate that knows no targets.
func New(options Options) *Gate {
	return &Gate{
		options:   options,
		services:  make(map[berylspoke.ServiceID]*pool),
		targets:   make(map[berylspoke.TargetID]*target),
		hashes:    make(map[uint32]*target),
		shares:    newShares(),
		collected: newCollected(),
		daemons:   leastDaemons,
		random:    rand.New(rand.NewPCG(uint64(options.Incarnation), 0)),
	}
}

// leastDaemons is how many daemons the retry budget is divided between before
// the members are known; the smallest deployments have eight.
const leastDaemons = 8

// SetDaemons tells how many daemons are alive. Bounds that all share are divided
// by the most that were ever known: the missing ones may only be out of reach.
func (gate *Gate) SetDaemons(now time.Time, live int) {
	gate.live = live
	if live <= gate.daemons {
		return
	}
	gate.daemons = live
	for _, pool := range gate.services {
		pool.budget = gate.newBudget(now, pool.budget.Left(now))
	}
}

// newBudget returns a service's retry budget. Its bound holds over all daemons
// together although they do not speak about it: each may save up its part of
// the slack, and a daemon that starts has saved nothing, so restarts give none.
func (gate *Gate) newBudget(now time.Time, level float64) *berylroute.Budget {
	const reserve = 0.7
	most := reserve * gate.options.RetrySlack / float64(max(gate.daemons, leastDaemons))
	budget := berylroute.NewBudget(now, 0, most)
	budget.Charge(now, max(most-level, 0))
	return budget
}

// SetCatalog takes the declared services and the throughput to share.
func (gate *Gate) SetCatalog(now time.Time, catalog *berylspoke.Catalog) {
	gate.capacity = catalog.Limits.TokensPerSecond
	services := make(map[berylspoke.ServiceID]*pool, len(catalog.Services))
	for id, declared := range catalog.Services {
		kept := gate.services[id]
		if kept == nil {
			kept = &pool{budget: gate.newBudget(now, 0), pace: 1}
		}
		kept.declared = declared
		services[id] = kept
	}
	gate.services = services
	gate.arrange()
}

// SetTargets takes the targets that are published now. What is known of a
// target stays unless it started anew.
func (gate *Gate) SetTargets(now time.Time, declared []berylspoke.Target) {
	targets := make(map[berylspoke.TargetID]*target, len(declared))
	for _, item := range declared {
		kept := gate.targets[item.ID]
		if kept == nil || kept.Born != item.Born || kept.Address != item.Address || kept.Service != item.Service {
			kept = newTarget(now, item)
			kept.ColdFor = 0
		}
		coldBefore := kept.ColdFor
		kept.Target = item
		gate.heardCold(now, kept, coldBefore)
		kept.scope = gate.distance(gate.options.FailureDomain, item.FailureDomain)
		if kept.way == 0 {
			kept.way = nearWay
			if kept.scope == acrossRegions {
				kept.way = farWay
			}
		}
		targets[item.ID] = kept
	}
	gate.targets = targets
	gate.arrange()
}

// distance says how far apart two failure domains are.
func (gate *Gate) distance(one, other berylspoke.FailureDomain) scope {
	switch {
	case one == other:
		return withinDomain
	case gate.options.RegionOf[one] == gate.options.RegionOf[other]:
		return acrossDomains
	default:
		return acrossRegions
	}
}

// allows says whether a target stands in one of some regions.
func (gate *Gate) allows(regions berylspoke.Regions, target *target) bool {
	return regions.Allow(gate.options.RegionOf[target.FailureDomain])
}

// arrange derives the targets of each service and what is looked up.
func (gate *Gate) arrange() {
	gate.hashes = make(map[uint32]*target, len(gate.targets))
	for _, pool := range gate.services {
		pool.targets = nil
	}
	gate.sorted = slices.SortedFunc(maps.Values(gate.targets), func(one, other *target) int {
		return strings.Compare(string(one.ID), string(other.ID))
	})
	for _, target := range gate.sorted {
		gate.hashes[target.hash] = target
		pool := gate.services[target.Service]
		if pool == nil {
			continue
		}
		target.engine, target.slots, target.usual = pool.declared.Engine, target.Slots, &pool.pace
		if target.engine != nil && target.slots == 0 {
			target.slots = target.engine.Slots
		}
		pool.targets = append(pool.targets, target)
	}
}

// Rejected counts the tokens of requests that this daemon rejected, by organisation,
// as the processor of its VM is overloaded.
func (gate *Gate) Rejected(now time.Time, rejected map[berylspoke.OrganisationID]berylspoke.Tokens) {
	for organisation, tokens := range rejected {
		elsewhere := gate.shares.others[hashOf(string(organisation))].asked
		gate.shares.usageOf(organisation).reject(now, tokens, elsewhere)
	}
}

// RejectedOverCap counts the tokens of requests that this daemon rejected, by
// organisation, for want of an allowance.
func (gate *Gate) RejectedOverCap(now time.Time, rejected map[berylspoke.OrganisationID]berylspoke.Tokens) {
	for organisation, tokens := range rejected {
		gate.shares.usageOf(organisation).ask(now, tokens)
	}
}

// Sampled says whether the fleet is so large that reports need not be frequent.
func (gate *Gate) Sampled() bool { return gate.sampled() }

// connections returns how many connections this daemon may hold to a target. An
// equal part of the declared bound is always its own. Callers of one hot
// organisation may all come to one daemon, so it may take more while the others
// use less; what is admitted at all is bounded by the target's slots.
func (gate *Gate) connections(target *target) int {
	const common = 0.6
	pool := gate.services[target.Service]
	if pool == nil {
		return 1
	}
	most := pool.declared.MaxConnections
	own := most / max(gate.daemons, 1)
	return max(1, own, int(common*float64(most))-target.others.running)
}

// Tick looks for targets that went silent and drops what is out of date.
func (gate *Gate) Tick(now time.Time) {
	elapsed := now.Sub(gate.ticked)
	gate.ticked = now
	for _, target := range gate.sorted {
		target.settleInflow(elapsed)
		target.watch(now)
		target.forget(now)
	}
	gate.sumOthers(now)
}

// TimedWay takes the time that a connection to a target took to open.
func (gate *Gate) TimedWay(id berylspoke.TargetID, taken time.Duration) {
	const weight = 0.2
	if target := gate.targets[id]; target != nil {
		target.way += weight * (millis(taken) - target.way)
	}
}

// start notes that a request goes to a target now.
func (gate *Gate) start(now time.Time, request *Request, candidate candidate, prompt prompt) {
	target := candidate.target
	attempt := &attempt{
		request: request, target: target, sent: now,
		expected: candidate.expected, queue: target.backlog, added: candidate.added,
		memory: request.Input + request.Output,
	}
	target.attempts[attempt] = true
	target.running++
	target.sendCold(now)
	request.live = attempt
	request.sends++
	if request.tried == nil {
		request.tried = make(map[berylspoke.TargetID]bool)
	}
	request.tried[target.ID] = true
	if target.engine == nil {
		return
	}
	target.tokens += attempt.memory
	target.drain(now)
	target.backlog += attempt.added
	target.pending += attempt.added
	target.sentWork += attempt.added
	gate.urgent = gate.urgent || attempt.added > urgentWork
	const meanWeight = 0.05
	target.meanAdded += meanWeight * (attempt.added - target.meanAdded)
	target.hold(now, prompt.shared)
}

// Began notes the first byte of an answer.
func (gate *Gate) Began(now time.Time, request *Request, told *berylspoke.EngineLoad) {
	attempt := request.live
	if attempt == nil || attempt.began {
		return
	}
	target := attempt.target
	target.begun(attempt)
	target.worked(now)
	if target.engine == nil {
		return
	}
	seen := millis(now.Sub(attempt.sent))
	gate.observe(now, attempt, seen)
	switch {
	case told == nil:
	case gate.sampled():
		target.toldHere = load{now, told.Running, told.Waiting}
		target.tell(now, target.toldHere)
		target.slots = told.Slots
	default:
		target.loaded(now, *told)
	}
}

// observe corrects the estimate of a target by the time that one request took
// to its first token: the queue by what it waited beyond the model, and the
// pace of the target by the ratio of the two.
func (gate *Gate) observe(now time.Time, attempt *attempt, seen float64) {
	target := attempt.target
	target.drain(now)
	ratio := max(seen-target.way, 1) / max(attempt.expected-target.way, 1)
	if attempt.queue > attempt.added+firstToken {
		// Behind a long queue the error is that of the queue, not of the target.
		ratio = 1
	}
	factor := min(ratio, 3) - 1
	target.pace = min(max(target.pace*(1+paceWeight*factor), paceLeast), paceMost)
	if target.usual != nil {
		*target.usual = min(max(*target.usual*(1+usualWeight*factor), paceLeast), usualMost)
	}
	excess := (seen - attempt.expected) / target.pace
	target.backlog = max(0, target.backlog+observerGain*min(excess, attempt.queue+attempt.added))
}
