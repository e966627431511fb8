package berylgate

// This file defines how attempts end and what that says of their targets.

import (
	"time"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Succeeded answers came whole.
	Succeeded Outcome = iota
	// Turned says that the target did not run the request.
	Turned
	// Unreached says that no connection was made, so nothing was sent.
	Unreached
	// Crowded says that all connections to the target are in use.
	Crowded
	// Broken answers were cut, garbled or never came.
	Broken
	// Erred answers came whole and say that the target failed.
	Erred
	// Abandoned attempts were ended by the caller or by its time limit.
	Abandoned
	// Outcomes is the number of outcomes.
	Outcomes
)

// String returns the outcome as logged.
func (outcome Outcome) String() string {
	return [...]string{"succeeded", "turned", "unreached", "crowded", "broken", "erred", "abandoned"}[outcome]
}

// Ended notes the end of the live attempt of a request.
func (gate *Gate) Ended(now time.Time, request *Request, outcome Outcome) {
	attempt := request.live
	if attempt == nil {
		return
	}
	request.live = nil
	target := attempt.target
	delete(target.attempts, attempt)
	target.begun(attempt)
	target.running--
	if target.engine != nil {
		target.tokens -= attempt.memory
	}
	gate.judge(now, attempt, outcome)
	if outcome == Unreached || outcome == Crowded || outcome == Turned {
		gate.unsend(now, attempt, outcome)
	}
}

// judge takes what an outcome says of the target.
func (gate *Gate) judge(now time.Time, attempt *attempt, outcome Outcome) {
	target := attempt.target
	switch outcome {
	case Succeeded:
		target.worked(now)
		if target.engine == nil {
			const weight = 0.1
			target.mean += weight * (millis(now.Sub(attempt.sent)) - target.way - target.mean)
			target.mean = max(target.mean, 1)
		}
	case Unreached:
		target.failed(now)
		gate.maybeRestarted(now, target)
	case Broken:
		target.failed(now)
	case Erred:
		target.heard = now
		target.errors += errorWeight * (1 - target.errors)
	case Turned:
		target.heard = now
	}
}

// unsend takes back the work of a request that the target did not run. An
// engine that turns a request away is full whatever the model says, so the
// estimate of its queue rises by a step.
func (gate *Gate) unsend(now time.Time, attempt *attempt, outcome Outcome) {
	const step = 60.0
	target := attempt.target
	if outcome != Turned {
		attempt.request.sends--
	}
	if target.engine == nil {
		return
	}
	gate.shares.usage(hashOf(string(attempt.request.Organisation))).given.add(now, -TokensOf(attempt.request))
	target.drain(now)
	target.backlog = max(0, target.backlog-attempt.added)
	if outcome == Turned {
		target.backlog += step
	}
}
