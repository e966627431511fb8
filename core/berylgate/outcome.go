package berylgate

// This file defines how attempts end and how that changes the state of their targets.

import (
	"time"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Succeeded means that the whole answer was received.
	Succeeded Outcome = iota
	// Rejected means that the target rejected the request without running it.
	Rejected
	// Misdirected means the same, as the target is not the one that the request was meant for, or
	// not what the request asks for.
	Misdirected
	// Unreachable means that no connection was made, so nothing was sent.
	Unreachable
	// NoConnection means that all connections to the target were in use, or that the
	// request was no longer wanted once one was available. Nothing was sent.
	NoConnection
	// Broken means that the answer was truncated or malformed, or never came.
	Broken
	// TargetFailed means that a whole answer reported a failure of the target.
	TargetFailed
	// Abandoned means that the caller or its time limit ended the attempt.
	Abandoned
	// Outcomes is the number of outcomes.
	Outcomes
)

// String returns the outcome as it appears in logs and metrics.
func (outcome Outcome) String() string {
	return [...]string{"succeeded", "turned", "misdirected", "unreached", "crowded", "broken", "erred", "abandoned"}[outcome]
}

// AttemptEnded records the end of a request's current attempt.
func (gate *Gate) AttemptEnded(now time.Time, request *Request, outcome Outcome) {
	attempt := request.current
	if attempt == nil {
		return
	}
	request.current = nil
	target := attempt.target
	delete(target.attempts, attempt)
	gate.markAnswerStarted(attempt)
	target.running--
	if target.engine != nil {
		target.kvTokens -= attempt.kvTokens
	}
	gate.applyOutcome(now, attempt, outcome)
	if outcome == Unreachable || outcome == NoConnection || outcome == Rejected || outcome == Misdirected {
		gate.undoSend(now, attempt, outcome)
	} else if target.ID != request.givenUp {
		request.givenUp = ""
	}
}

// applyOutcome updates the state of a target by the outcome of an attempt.
func (gate *Gate) applyOutcome(now time.Time, attempt *attempt, outcome Outcome) {
	target := attempt.target
	switch outcome {
	case Succeeded:
		target.recordSuccess(now)
		if target.engine == nil {
			const weight = 0.1
			target.meanMillis += weight * (millis(now.Sub(attempt.sentAt)) - target.latencyMillis - target.meanMillis)
			target.meanMillis = max(target.meanMillis, 1)
		} else {
			gate.observeHold(now, attempt)
		}
	case Unreachable:
		target.refusedAt = now
		target.recordFailure(now)
		gate.markUnreachableCold(now, target)
	case Broken:
		target.recordFailure(now)
	case TargetFailed:
		target.lastAnswer = now
		target.errorRate += errorWeight * (1 - target.errorRate)
	case Misdirected:
		target.lastAnswer = now
		if gate.sharesAddress(target) {
			target.recordFailure(now)
		}
	case Rejected:
		target.lastAnswer = now
	}
}

// undoSend removes the work of a request that the target did not run. An engine that
// rejects a request is full even if its estimated queue is short, so the estimate rises
// by a step. One that asks for rest instead need not be full.
func (gate *Gate) undoSend(now time.Time, attempt *attempt, outcome Outcome) {
	const stepMillis = 60.0
	target := attempt.target
	if outcome != Rejected && outcome != Misdirected {
		attempt.request.sends--
	}
	if target.engine == nil {
		return
	}
	gate.undoServed(now, attempt)
	target.drain(now)
	target.backlogMillis = max(0, target.backlogMillis-attempt.addedMillis)
	if outcome == Rejected && !target.resting {
		target.backlogMillis += stepMillis
	}
}

// sharesAddress reports whether another target is published with the address of a target. Only one of them
// can be there.
func (gate *Gate) sharesAddress(target *target) bool {
	for _, other := range gate.sorted {
		if other != target && other.Address == target.Address {
			return true
		}
	}
	return false
}

// countServed counts a request in its organisation's service unless an earlier attempt was
// counted.
func (gate *Gate) countServed(now time.Time, attempt *attempt) {
	request := attempt.request
	if request.served {
		return
	}
	request.served, attempt.served = true, true
	gate.shares.usage(hashOf(string(request.Organisation))).countSent(now, TokensOf(request))
}

// undoServed takes back what countServed counted for an attempt that did not run.
func (gate *Gate) undoServed(now time.Time, attempt *attempt) {
	request := attempt.request
	if !attempt.served {
		return
	}
	request.served = false
	gate.shares.usage(hashOf(string(request.Organisation))).undoSent(now, TokensOf(request), attempt.sentAt)
}
