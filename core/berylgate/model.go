package berylgate

// This file defines the model of a model engine's time to first token.

import (
	"time"

	"berylspoke"
)

const (
	// prefillRate is the number of prompt tokens that an engine reads in a
	// millisecond between the steps of its running requests. The pace of each target,
	// learnt from its answers, corrects the difference.
	prefillRate = 110.0
	// attentionCost is the time in milliseconds for a million pairs of tokens.
	attentionCost = 0.3
	// firstToken is the time in milliseconds from the end of the prefill to the
	// first event on an idle engine.
	firstToken = 53.0
	// tokensRead and tokensMade weigh a token read and one generated in an
	// organisation's share, as the declared throughput counts them.
	tokensRead, tokensMade = 1, 2
)

// work returns the milliseconds of prefill for a prompt of which the engine
// keeps the first cached tokens.
func work(input, cached berylspoke.Tokens) float64 {
	lacking := float64(max(input-cached, 0))
	const million = 1e6
	pairs := lacking * (float64(cached) + lacking/2) / million
	return lacking/prefillRate + pairs*attentionCost
}

// millis converts a duration.
func millis(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

// duration converts milliseconds.
func duration(millis float64) time.Duration { return time.Duration(millis * float64(time.Millisecond)) }
