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
	// overWait is when one beyond its share may come back: its share is counted
	// over some seconds.
	overWait = 1500 * time.Millisecond
	// waitMost bounds the time a caller is told to stay away.
	waitMost = 3 * time.Second
)

// overloaded refuses a request for which no target has room. The caller is told
// to come back when the queue should have drained, at a time drawn at random so
// that those refused together do not return together.
func (gate *Gate) overloaded(best candidate, allowance allowance) *berylspoke.Refusal {
	wait := shortWait + duration(max(best.expected-allowance.limit, 0))
	if allowance.over {
		wait += overWait
	}
	wait += time.Duration(gate.random.Float64() * float64(wait))
	return &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonOverload, RetryAfter: min(wait, waitMost),
	}
}

func refused(reason berylspoke.Reason, wait time.Duration) Decision {
	return Decision{Refusal: &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: reason, RetryAfter: wait}}
}
