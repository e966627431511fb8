package berylshare

// This file defines waiting requests and the estimate of their cost.

import (
	"time"

	"berylspoke"
)

// Waiting is one request that waits for a target.
type Waiting struct {
	Request      berylspoke.RequestID
	Organisation berylspoke.OrganisationID
	Hint         berylspoke.Tokens
	Prefix       uint64
	Arrived      time.Time
	Deadline     time.Time
}

// Started is a request that left the queue; it is charged until it finishes.
type Started struct {
	Waiting
	Reserved berylspoke.Tokens
	Charged  berylspoke.Tokens
	Tag      berylspoke.Tag
}

// estimator learns an organisation's cost a request; a hint counts only as far
// as it lies within a factor of the learnt cost, since hints are rough.
type estimator struct {
	mean  float64
	count int
}

const (
	estimateGain  = 0.1
	estimateStart = 4
	hintFactor    = 4
)

func (estimator *estimator) learn(cost berylspoke.Tokens) {
	estimator.count++
	gain := max(estimateGain, 1/float64(estimator.count))
	estimator.mean += gain * (float64(cost) - estimator.mean)
}

func (estimator *estimator) estimate(hint berylspoke.Tokens) berylspoke.Tokens {
	if estimator.count < estimateStart {
		return max(hint, berylspoke.Tokens(estimator.mean), 1)
	}
	mean := berylspoke.Tokens(estimator.mean)
	if hint == 0 {
		return max(mean, 1)
	}
	return max(min(max(hint, mean/hintFactor), mean*hintFactor), 1)
}
