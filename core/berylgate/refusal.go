package berylgate

// This file defines refusals and when a refused caller may retry.

import (
	"time"

	"berylspoke"
)

const (
	// defaultRetryAfter is the retry delay of refusals that do not depend on the load.
	defaultRetryAfter = 300 * time.Millisecond
	// maxRetryAfter bounds the retry delay.
	maxRetryAfter = 3 * time.Second
	// retryAfterShare is the fraction of its objective after which a refused caller may
	// retry, overLevelRetryAfterShare the same if its organisation is beyond its level.
	// A random delay of up to the same length is added. The objective runs from the
	// caller's first attempt, so a retry after it can only be answered late.
	retryAfterShare          = 0.1
	overLevelRetryAfterShare = 0.2
)

// refuseOverload refuses a request for which no target has room. The caller is told to
// retry while it can still be answered in time, after a random delay so that callers
// refused together do not retry together. If the queue takes longer to drain than that
// and the organisation is within its level, the delay covers the queue instead.
func (gate *Gate) refuseOverload(request *Request, best candidate, allowance allowance) *berylspoke.Refusal {
	share := retryAfterShare
	if allowance.overLevel {
		share = overLevelRetryAfterShare
	}
	wait := time.Duration(share * float64(request.Objective))
	if !allowance.overLevel {
		wait = max(wait, duration(best.expectedMillis-allowance.limitMillis))
	}
	wait += time.Duration(gate.rng.Float64() * float64(wait))
	return &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonOverload, RetryAfter: min(wait, maxRetryAfter),
	}
}

func refused(reason berylspoke.Reason, wait time.Duration) Decision {
	return Decision{Refusal: &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: reason, RetryAfter: wait}}
}
