package berylgate

// This file limits the unanswered requests of a daemon that has just started, so that engines
// are not flooded before their load is known.

import (
	"time"
)

const (
	// windowTime is how long after its start a daemon keeps to the window. By then it knows
	// the loads that engines report, and waits as long as objectives allow.
	windowTime = 4 * time.Second
	// initialWindowShare is the fraction of its part of all slots that a daemon may use
	// before any answer.
	initialWindowShare = 0.25
	minWindow          = 2.0
	// maxWindowFactor bounds the window to a multiple of the daemon's part of all slots.
	maxWindowFactor = 8.0
	// A window in use opens by one for each answer that waited less than openWaitMillis,
	// and closes by closeFactor for each request that waited more than closeWaitMillis
	// while the mean over all engines exceeds closeMeanMillis: a single slow engine is
	// avoided, it does not show that all are flooded.
	openWaitMillis  = 50.0
	closeWaitMillis = 120.0
	closeMeanMillis = 100.0
	closeFactor     = 0.9
	// overLevelWindowShare is the fraction of the window for organisations beyond their
	// level.
	overLevelWindowShare = 0.5
	// stuckAfter is the age at which an unanswered request no longer counts: its target
	// does not answer.
	stuckAfter = time.Second
)

// window bounds the requests to the engines of one service whose answers have not started.
// Like the congestion window of a transport it follows the delay: it finds out how much
// engines bear while the loads that they report are still unknown.
type window struct {
	// size is zero until the first request.
	size float64
	// unanswered is the number of requests whose answers have not started, stuck that of
	// those which are older than stuckAfter.
	unanswered, stuck int
}

// part returns this daemon's part of the slots of a service.
func (gate *Gate) part(pool *pool) float64 {
	slots := pool.index.count() * pool.service.Engine.Slots
	return float64(slots) / float64(max(gate.live, minDaemons))
}

// windowFull reports whether another request has to wait for answers.
func (gate *Gate) windowFull(now time.Time, pool *pool, overLevel bool) bool {
	if pool.service.Engine == nil || !gate.largeFleet() || now.Sub(gate.started) > windowTime {
		return false
	}
	window := &pool.window
	if window.size == 0 {
		window.size = max(minWindow, initialWindowShare*gate.part(pool))
	}
	size := window.size
	if overLevel {
		size = max(1, overLevelWindowShare*size)
	}
	return float64(window.unanswered-window.stuck) >= size
}

// observeWindow adapts the window to the wait of a request: when its answer starts, or
// before if it waits for long.
func (gate *Gate) observeWindow(pool *pool, attempt *attempt, waitedMillis float64) {
	window := &pool.window
	switch {
	case attempt.windowObserved:
	case waitedMillis > closeWaitMillis && pool.mean.waitMillis > closeMeanMillis:
		attempt.windowObserved = true
		window.size = max(minWindow, closeFactor*window.size)
	case attempt.answerStarted && waitedMillis < openWaitMillis && 2*float64(window.unanswered) >= window.size:
		window.size = min(window.size+1, max(minWindow, maxWindowFactor*gate.part(pool)))
	}
}

// countStuck counts the unanswered requests of a service that are too old to count.
func (gate *Gate) countStuck(now time.Time) {
	for _, pool := range gate.pools {
		pool.window.stuck = 0
	}
	for _, target := range gate.active.targets {
		pool := gate.pools[target.Service]
		if pool == nil {
			continue
		}
		for attempt := range target.attempts {
			if !attempt.answerStarted && now.Sub(attempt.sentAt) > stuckAfter {
				pool.window.stuck++
			}
		}
	}
}
