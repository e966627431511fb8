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
}

// shares holds the usage of all organisations at this daemon and the others.
type shares struct {
	own map[uint32]*usage
	// others is what the other daemons have, as it was summed up last.
	others map[uint32]total
	// level is the max-min level, cap the most that anyone beyond it may get.
	level, cap float64
	levels     time.Time
}

const (
	// squeezed is the part of what an organisation asks for below which it counts
	// as backlogged in the fleet.
	squeezed = 0.6
	// mostGap is how many times what the least served backlogged organisation
	// gets another one beyond its level may get. The callers of one organisation
	// may all come to one small VM, whose processor bounds what it gets; others
	// must not run away from it for that. Twice as much is what users bear.
	mostGap = 1.7
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
