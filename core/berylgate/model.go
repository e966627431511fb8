package berylgate

// This file models an engine's time to first token.

import (
	"math"
	"time"

	"berylspoke"
)

const (
	// prefillTokensPerMillis is the number of prompt tokens that an engine prefills in a
	// millisecond between the decode steps of its running requests. The slowdown of each
	// target, learnt from its answers, corrects the difference.
	prefillTokensPerMillis = 110.0
	// attentionMillis is the time of attention for a million pairs of tokens.
	attentionMillis = 0.3
	// firstTokenMillis is the time from the end of the prefill to the first event on an
	// idle engine.
	firstTokenMillis = 53.0
	// inputWeight and outputWeight are the weights of a prompt token and a generated
	// token in an organisation's usage, as the declared throughput counts them.
	inputWeight, outputWeight = 1, 2
)

// prefillMillis returns the prefill time of a prompt whose first cached tokens are in the
// engine's KV cache.
func prefillMillis(input, cached berylspoke.Tokens) float64 {
	uncached := float64(max(input-cached, 0))
	const million = 1e6
	pairs := uncached * (float64(cached) + uncached/2) / million
	return uncached/prefillTokensPerMillis + pairs*attentionMillis
}

// millis converts a duration to milliseconds.
func millis(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

// duration converts milliseconds to a duration, at most maxSpan.
func duration(millis float64) time.Duration {
	return time.Duration(min(max(millis*float64(time.Millisecond), -float64(maxSpan)), float64(maxSpan)))
}

// maxSpan bounds the durations of the model, so that multiples of them do not overflow.
const maxSpan = 365 * 24 * time.Hour

// saturated returns a value as it is told to peers, at most the largest that fits.
func saturated(value float64) uint32 { return uint32(min(max(value, 0), math.MaxUint32)) }
