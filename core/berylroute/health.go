package berylroute

// This file defines which targets an entry daemon avoids after failures.

import (
	"time"

	"berylspoke"
)

const (
	firstPause = 500 * time.Millisecond
	maxPause   = 15 * time.Second
)

type failureRecord struct {
	failures int
	until    time.Time
}

// Health records the targets that recently failed for this entry daemon.
type Health struct {
	failing map[berylspoke.TargetID]*failureRecord
}

// NewHealth returns a health record without failures.
func NewHealth() *Health { return &Health{failing: make(map[berylspoke.TargetID]*failureRecord)} }

// Failed pauses a target, for longer after each consecutive failure.
func (health *Health) Failed(now time.Time, target berylspoke.TargetID) {
	record := health.failing[target]
	if record == nil {
		record = new(failureRecord)
		health.failing[target] = record
	}
	pause := min(firstPause<<min(record.failures, 8), maxPause)
	record.failures++
	record.until = now.Add(pause)
}

// Succeeded ends a target's pause.
func (health *Health) Succeeded(target berylspoke.TargetID) { delete(health.failing, target) }

// Usable reports whether a request may be sent to the target now.
func (health *Health) Usable(now time.Time, target berylspoke.TargetID) bool {
	record := health.failing[target]
	return record == nil || !now.Before(record.until)
}
