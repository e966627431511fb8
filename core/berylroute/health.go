package berylroute

// This file defines which targets an entry avoids after failures.

import (
	"time"

	"berylspoke"
)

const (
	firstPause = 500 * time.Millisecond
	longPause  = 15 * time.Second
)

type ailment struct {
	failures int
	until    time.Time
}

// Health remembers the targets that failed for this entry lately.
type Health struct {
	ailing map[berylspoke.TargetID]*ailment
}

// NewHealth returns a health record without failures.
func NewHealth() *Health { return &Health{ailing: make(map[berylspoke.TargetID]*ailment)} }

// Failed pauses a target, longer with each failure in a row.
func (health *Health) Failed(now time.Time, target berylspoke.TargetID) {
	found := health.ailing[target]
	if found == nil {
		found = new(ailment)
		health.ailing[target] = found
	}
	pause := min(firstPause<<min(found.failures, 8), longPause)
	found.failures++
	found.until = now.Add(pause)
}

// Worked ends a target's pause.
func (health *Health) Worked(target berylspoke.TargetID) { delete(health.ailing, target) }

// Usable says whether a request may go to the target now.
func (health *Health) Usable(now time.Time, target berylspoke.TargetID) bool {
	found := health.ailing[target]
	return found == nil || !now.Before(found.until)
}
