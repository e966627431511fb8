package berylshare

// This file defines queued requests and the estimation of their cost.

import (
	"time"

	"berylspoke"
)

// QueuedRequest is a request that waits for a slot at a target.
type QueuedRequest struct {
	Request      berylspoke.RequestID
	Organisation berylspoke.OrganisationID
	// Hint is the expected cost, or zero if unknown.
	Hint berylspoke.Tokens
	// Prefix is the hash of the prompt prefix, or zero if there is none to match.
	Prefix   uint64
	Arrived  time.Time
	Deadline time.Time
}

// StartedRequest is a request that left the queue and has not finished. Reserved is its
// estimated cost, Charged what the organisation was charged for it so far, and Tag the
// organisation's tag at the start.
type StartedRequest struct {
	QueuedRequest
	Reserved berylspoke.Tokens
	Charged  berylspoke.Tokens
	Tag      berylspoke.Tag
}

// estimator estimates the cost of an organisation's next request from the mean cost of
// its earlier ones. Hints are imprecise, so they count only within a factor of the mean.
type estimator struct {
	mean  float64
	count int
}

const (
	// minGain is the lowest weight of a new cost in the mean.
	minGain = 0.1
	// minSamples is the number of costs from which on the mean bounds hints.
	minSamples = 4
	// maxHintFactor bounds the ratio between a hint and the mean, in both directions.
	maxHintFactor = 4
)

func (estimator *estimator) observe(cost berylspoke.Tokens) {
	estimator.count++
	gain := max(minGain, 1/float64(estimator.count))
	estimator.mean += gain * (float64(cost) - estimator.mean)
}

func (estimator *estimator) estimate(hint berylspoke.Tokens) berylspoke.Tokens {
	if estimator.count < minSamples {
		return max(hint, berylspoke.Tokens(estimator.mean), 1)
	}
	mean := berylspoke.Tokens(estimator.mean)
	if hint == 0 {
		return max(mean, 1)
	}
	return max(min(max(hint, mean/maxHintFactor), mean*maxHintFactor), 1)
}
