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
	asked, given rate
	// unseen says that the daemon turns callers away before it reads what they
	// ask, and that most of them are this organisation's.
	unseen bool
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
	// unseenFactor is how many times what it was given an organisation is taken to
	// ask for at a daemon that turns its callers away unread. Any factor above
	// 1/squeezed makes it count as backlogged, which it is.
	unseenFactor = 3.0
	// mostOf is the part of all that a daemon is asked for from which on one
	// organisation is taken to be the one whose callers are turned away.
	mostOf = 0.5
)

// demand returns the rate that the organisation asks for.
func (usage *usage) demand(now time.Time) float64 {
	asked := usage.asked.now(now)
	if usage.unseen {
		return max(asked, unseenFactor*usage.given.now(now))
	}
	return asked
}

// turnAway marks the organisation whose callers a strained daemon turns away. It
// would otherwise seem to be served all that it asks for, and others would run
// away from it.
func (shares *shares) turnAway(now time.Time, strained bool) {
	all := 0.0
	for _, usage := range shares.own {
		all += usage.asked.now(now)
	}
	for _, usage := range shares.own {
		usage.unseen = strained && usage.asked.now(now) > mostOf*all
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
}

const (
	// squeezed is the part of what an organisation asks for below which it counts
	// as backlogged in the fleet.
	squeezed = 0.6
	// mostGap is how many times what the least served backlogged organisation
	// gets another one beyond its level may get, sampledGap the same in a large
	// fleet. The callers of one organisation may all come to one small VM, whose
	// processor bounds what it gets; others must not run away from it for that.
	// Users bear twice as much over six seconds. In a large fleet sums are a second
	// old, and a flood gets a quarter more than its cap before they show it.
	mostGap, sampledGap = 1.7, 1.45
)

func newShares() *shares {
	return &shares{own: make(map[uint32]*usage), level: math.Inf(1), cap: math.Inf(1)}
}

func (shares *shares) usage(organisation uint32) *usage {
	found := shares.own[organisation]
	if found == nil {
		found = new(usage)
		shares.own[organisation] = found
	}
	return found
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
