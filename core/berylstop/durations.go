package berylstop

// This file defines how the time that requests take is observed.

import "time"

const (
	// observationPeriod is how long an observation is kept at least; it is kept for up to twice
	// that.
	observationPeriod = time.Minute
	// minObservations is the number of requests of a route from which the longest is known:
	// fewer seldom include a rare long one.
	minObservations = 100
)

// observed is what was observed of one route in one period.
type observed struct {
	longest time.Duration
	count   int
}

// Durations holds the time that the requests of each route lately took.
type Durations struct {
	current, previous map[string]observed
	began             time.Time
}

// NewDurations returns a record without observations.
func NewDurations(now time.Time) *Durations {
	return &Durations{current: make(map[string]observed), began: now}
}

// Observe records the time that a request of a route took.
func (durations *Durations) Observe(now time.Time, route string, took time.Duration) {
	durations.rotate(now)
	seen := durations.current[route]
	durations.current[route] = observed{max(seen.longest, took), seen.count + 1}
}

// Longest returns the longest time that requests of a route lately took, zero if too few were
// observed.
func (durations *Durations) Longest(now time.Time, route string) time.Duration {
	durations.rotate(now)
	current, previous := durations.current[route], durations.previous[route]
	if current.count+previous.count < minObservations {
		return 0
	}
	return max(current.longest, previous.longest)
}

// rotate begins the next period if the current one has passed.
func (durations *Durations) rotate(now time.Time) {
	passed := now.Sub(durations.began)
	if passed < observationPeriod {
		return
	}
	durations.previous = nil
	if passed < 2*observationPeriod {
		durations.previous = durations.current
	}
	durations.current, durations.began = make(map[string]observed), now
}
