package berylgate

// This file defines refusals and when a refused caller may come back.

import (
	"time"

	"berylspoke"
)

const (
	// shortWait is when a caller may come back after a refusal that says nothing
	// of the load.
	shortWait = 300 * time.Millisecond
	// waitMost bounds the time a caller is told to stay away.
	waitMost = 3 * time.Second
	// returnPart is the part of its objective after which a refused caller may come
	// back, overPart the same for one whose organisation is beyond its share. Up to as
	// much again is added at random. The objective runs from the caller's first
	// attempt, and one that returns after it can only be answered late.
	returnPart = 0.1
	overPart   = 0.2
)

// overloaded refuses a request for which no target has room. The caller is told
// to come back while it can still be answered in time, at a time drawn at random so
// that those refused together do not return together. If the queue is longer than
// that, it is told when the queue should have drained.
func (gate *Gate) overloaded(request *Request, best candidate, allowance allowance) *berylspoke.Refusal {
	part := returnPart
	if allowance.over {
		part = overPart
	}
	wait := time.Duration(part * float64(request.Objective))
	if !allowance.over {
		wait = max(wait, duration(best.expected-allowance.limit))
	}
	wait += time.Duration(gate.random.Float64() * float64(wait))
	return &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonOverload, RetryAfter: min(wait, waitMost),
	}
}

func refused(reason berylspoke.Reason, wait time.Duration) Decision {
	return Decision{Refusal: &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: reason, RetryAfter: wait}}
}
