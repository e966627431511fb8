package berylgate

// This file defines how targets rest: one that rejects a request may ask this daemon to send
// it nothing for some time.

import (
	"time"

	"berylspoke"
)

const (
	// restSpread is the fraction of a rest by which it is prolonged at most, maxRestSpread
	// the longest prolongation: rests that began together must not end together.
	restSpread    = 0.125
	maxRestSpread = 500 * time.Millisecond
	// restReturnSpread is the time over which callers that were refused while targets rest
	// return.
	restReturnSpread = 500 * time.Millisecond
)

// recovery limits the unanswered requests to a target whose rest has ended.
type recovery struct {
	// limit doubles with each answer until it reaches the target's slots; zero is no limit.
	limit int
	since time.Time
}

// accepts reports whether the target takes new requests from this daemon at all.
func (target *target) accepts() bool { return !target.Draining && !target.resting }

// RecordRest records that a run of a target asked this daemon to send it nothing until the
// given time. It reports whether the target did not rest before.
func (gate *Gate) RecordRest(now time.Time, run berylspoke.TargetRun, until time.Time) bool {
	known := gate.adviceOf(run)
	if !until.After(now) || !until.After(known.restUntil) {
		return false
	}
	before := known.restUntil
	spread := min(time.Duration(restSpread*float64(until.Sub(now))), maxRestSpread)
	known.restUntil = until.Add(time.Duration(gate.rng.Float64() * float64(spread)))
	if target := gate.targets[run.ID]; target != nil && target.Run() == run && !target.resting {
		gate.beginRest(target)
	}
	return !before.After(now)
}

// beginRest takes a target out of use until the rest of its run has ended.
func (gate *Gate) beginRest(target *target) {
	gate.reindex(target, func() { target.resting = true })
	gate.resting.add(target)
}

// endRests takes the targets whose rest has ended into use again.
func (gate *Gate) endRests(now time.Time) {
	gate.resting.update(func(target *target) bool {
		if now.Before(gate.adviceOf(target.Run()).restUntil) {
			return true
		}
		gate.reindex(target, func() { target.resting = false })
		target.recovery = recovery{limit: 1, since: now}
		gate.rested = append(gate.rested, target.Run())
		return false
	})
}

// TakeRested returns the runs of targets whose rest has ended since the last call.
func (gate *Gate) TakeRested() []berylspoke.TargetRun {
	rested := gate.rested
	gate.rested = nil
	return rested
}

// recovering reports whether another request to a target has to wait for answers to those
// sent since its rest.
func (target *target) recovering() bool {
	if target.recovery.limit == 0 {
		return false
	}
	unanswered := 0
	for attempt := range target.attempts {
		if !attempt.answerStarted && !attempt.sentAt.Before(target.recovery.since) {
			unanswered++
		}
	}
	return unanswered >= target.recovery.limit
}

// recordRecovery raises the limit of a target by an answer to a request that was sent since
// its rest.
func (target *target) recordRecovery(attempt *attempt) {
	if target.recovery.limit == 0 || attempt.sentAt.Before(target.recovery.since) {
		return
	}
	if target.recovery.limit *= 2; target.recovery.limit >= target.slots {
		target.recovery = recovery{}
	}
}

// refuseUnplaced refuses a request for which there is no candidate. If targets rest, the
// caller is told to return when the first of them is back; if all of the build that it needs
// have left, it is told no time.
func (gate *Gate) refuseUnplaced(now time.Time, pool *pool, request *Request) Decision {
	wait, found, gone := time.Duration(0), false, request.Continues
	for _, target := range pool.targets {
		gone = gone && !request.Build.Fits(target.build)
		if !gate.fits(target, request) || target.Draining || request.tried[target.ID] || !gate.allows(request.Regions, target) {
			continue
		}
		remaining := time.Duration(0)
		switch {
		case target.resting:
			remaining = gate.adviceOf(target.Run()).restUntil.Sub(now)
		case !target.recovering():
			continue
		}
		if !found || remaining < wait {
			wait, found = remaining, true
		}
	}
	if gone {
		// A build whose targets are gone does not return, so that there is no time to wait.
		return refused(berylspoke.ReasonBuildGone, 0)
	}
	if !found {
		return refused(berylspoke.ReasonNoTarget, defaultRetryAfter)
	}
	wait = max(wait, defaultRetryAfter) + time.Duration(gate.rng.Float64()*float64(restReturnSpread))
	return refused(berylspoke.ReasonTargetsResting, wait)
}
