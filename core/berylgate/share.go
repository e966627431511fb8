package berylgate

// This file defines how the declared throughput is shared between organisations.

import (
	"math"
	"sort"
	"time"

	"berylspoke"
)

// shareWindow is the time constant of the rates that shares are judged by. It
// is shorter than the window in which shares are owed, so that an organisation
// that begins to flood is seen within a second.
const shareWindow = 1500 * time.Millisecond

// rate is an exponentially weighted rate in tokens a second.
type rate struct {
	value float64
	at    time.Time
}

// now returns the rate at the present.
func (rate *rate) now(now time.Time) float64 {
	if elapsed := now.Sub(rate.at); elapsed > 0 {
		rate.value *= math.Exp(-float64(elapsed) / float64(shareWindow))
		rate.at = now
	}
	return rate.value
}

// add counts tokens at the present.
func (rate *rate) add(now time.Time, tokens berylspoke.Tokens) {
	rate.now(now)
	rate.value += float64(tokens) / shareWindow.Seconds()
}

// usage is what one organisation asked for and was given.
type usage struct {
	// organisation is empty while nothing was asked for here.
	organisation berylspoke.OrganisationID
	asked, given rate
	// rejected is what was rejected before the gate saw it.
	rejected rate
	// short is until when the organisation counts as held back by the processor time
	// of this daemon's VM.
	short time.Time
	// thinned says that the organisation asks for more than its cap; credit is the
	// tokens that it may then still begin here, as of creditAt.
	thinned  bool
	credit   float64
	creditAt time.Time
}

// creditFor is the time over which a thinned organisation may save up credit: a
// few requests of the largest, which must not wait for one moment to pass.
const creditFor = 500 * time.Millisecond

// thin says whether an organisation that asks for more than its cap may begin one
// more request, where it may begin tokens at a rate a second.
func (usage *usage) thin(now time.Time, rate float64) bool {
	if !usage.thinned {
		usage.thinned, usage.credit, usage.creditAt = true, rate*creditFor.Seconds(), now
	}
	usage.credit = min(usage.credit+rate*now.Sub(usage.creditAt).Seconds(), rate*creditFor.Seconds())
	usage.creditAt = now
	return usage.credit > 0
}

// begin counts a request that is sent.
func (usage *usage) begin(now time.Time, tokens berylspoke.Tokens) {
	usage.given.add(now, tokens)
	if usage.thinned {
		usage.credit -= float64(tokens)
	}
}

const (
	// someOf is the part of what an organisation asks for from which on it counts as
	// held back when a VM rejects that for want of processor time.
	someOf = 0.15
	// shortFor is how long an organisation counts as held back after requests of it
	// were rejected: until two reports have told the fleet.
	shortFor = 2 * usageEvery
)

// ask counts a request that was read.
func (usage *usage) ask(now time.Time, tokens berylspoke.Tokens) {
	usage.asked.add(now, tokens)
}

// reject counts tokens of requests that were rejected before the gate saw them. The
// organisation would otherwise seem to be served all that it asks for, and others
// would run away from it. If that is a small part of what it asks for in the fleet,
// it is not held back by this VM, as its callers come to others too.
func (usage *usage) reject(now time.Time, tokens berylspoke.Tokens, elsewhere float64) {
	usage.asked.add(now, tokens)
	usage.rejected.add(now, tokens)
	if usage.rejected.now(now) >= someOf*(usage.asked.now(now)+elsewhere) {
		usage.short = now.Add(shortFor)
	}
}

// shares holds the usage of all organisations at this daemon and the others.
type shares struct {
	own map[uint32]*usage
	// others is what the other daemons have, as it was summed up last.
	others map[uint32]total
	// rest is what those ask that the fleet's sum does not name.
	rest float64
	// level is the max-min level, cap the most that anyone beyond it may get.
	level, cap float64
	levels     time.Time
	// kept is the part of the tokens of requests that engines are believed to keep,
	// over so many sends.
	kept  float64
	sends int
}

const (
	// squeezed is the part of what an organisation asks for below which it counts
	// as backlogged in the fleet.
	squeezed = 0.6
	// mostGap is how many times what an organisation gets that is held back by a VM
	// others beyond their level may get, sampledGap the same in a large fleet. All its
	// callers come to one small VM, whose processor bounds what it gets; others must
	// not run away from it for that. Users bear twice as much over six seconds. In a
	// large fleet sums are a second old, and a flood gets a quarter more than its cap
	// before they show it.
	mostGap, sampledGap = 1.7, 1.45
	// surplus is how many times the declared throughput engines may be asked for. It
	// is a mean over the day; queues bound what is sent beyond it.
	surplus = 1.3
	// ahead is how many times what the least served backlogged organisation gets
	// another one may get beyond that, as idle engines serve the least served first.
	ahead = 1.1
	// keptWeight is the part of one request in the share of tokens that engines keep,
	// and keptMost bounds it.
	keptWeight = 0.01
	keptMost   = 0.7
)

func newShares() *shares {
	return &shares{own: make(map[uint32]*usage), level: math.Inf(1), cap: math.Inf(1)}
}

// usageOf returns the usage of an organisation by its name.
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

// sent notes how much of a request that is sent its target keeps.
func (shares *shares) sent(kept, tokens berylspoke.Tokens) {
	part := float64(kept) / float64(max(tokens, 1))
	shares.sends++
	weight := max(keptWeight, 1/float64(shares.sends))
	shares.kept = min(shares.kept+weight*(part-shares.kept), keptMost)
}

// levelEvery is the time between two computations of the levels.
const levelEvery = 100 * time.Millisecond

// refreshLevels computes the max-min level and the cap in tokens a second.
func (gate *Gate) refreshLevels(now time.Time) {
	shares := gate.shares
	if now.Sub(shares.levels) < levelEvery {
		return
	}
	shares.levels = now
	totals := gate.totals(now)
	asked := make([]float64, 0, len(totals))
	for _, total := range totals {
		asked = append(asked, total.asked)
	}
	shares.level, shares.cap = math.Inf(1), math.Inf(1)
	if gate.capacity > 0 {
		capacity := float64(gate.capacity)
		shares.level = waterLevel(asked, capacity-shares.rest)
		// What engines keep counts in what is asked for and given, and costs them
		// nothing.
		beyond := waterLevel(asked, surplus*capacity/(1-shares.kept)-shares.rest)
		shares.cap = capOf(shares.level, beyond, gate.mostGap(), totals)
	}
}

// mostGap returns how far an organisation may be ahead of one that a VM holds back.
func (gate *Gate) mostGap() float64 {
	if gate.sampled() {
		return sampledGap
	}
	return mostGap
}

// capOf returns the most that an organisation beyond its level may get. It is the
// max-min level of what engines are expected to serve, the same for all and as
// steady as what is asked for. It does not follow what the least served gets: who
// is thinned to a cap gets somewhat less, so such a cap sinks by itself, and stays
// low with engines idle. Only for the sake of one that its VM holds back others are
// held to a multiple of what that one gets.
func capOf(level, beyond, gap float64, totals map[uint32]total) float64 {
	least, held := math.Inf(1), math.Inf(1)
	for _, total := range totals {
		if total.asked <= level || total.given >= squeezed*total.asked {
			continue
		}
		least = math.Min(least, total.given)
		if total.short {
			held = math.Min(held, total.given)
		}
	}
	if !math.IsInf(least, 1) {
		beyond = math.Max(beyond, ahead*least)
	}
	return math.Max(level, math.Min(beyond, gap*held))
}

// waterLevel returns the max-min level: the service that each organisation may
// receive so that those who ask for more share what the others leave.
func waterLevel(asked []float64, capacity float64) float64 {
	sort.Float64s(asked)
	left := capacity
	for i, want := range asked {
		even := left / float64(len(asked)-i)
		if want > even {
			return even
		}
		left -= want
	}
	return math.Inf(1)
}
