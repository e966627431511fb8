package berylslot

// This file defines the limiter that finds a target's concurrency.

import (
	"time"

	"berylspoke"
)

// LimiterOptions bound the search for a target's concurrency.
type LimiterOptions struct {
	Initial, Max int
	// TokenInterval is the goal for the mean time between tokens.
	TokenInterval time.Duration
	// ProbeInterval is the time from a change of the limit to the next raise, once
	// congestion was seen; it doubles with each raise that leads to congestion, up to
	// MaxProbeInterval.
	ProbeInterval, MaxProbeInterval time.Duration
}

// DefaultLimiterOptions aims below the time between tokens that callers want.
func DefaultLimiterOptions() LimiterOptions {
	return LimiterOptions{Initial: 4, Max: 1024, TokenInterval: 30 * time.Millisecond, ProbeInterval: 5 * time.Second, MaxProbeInterval: 2 * time.Minute}
}

// reportWindow is the period over which past use is compared with a load report, which
// may be late.
const reportWindow = 3 * time.Second

// raiseDivisor makes a target count as full at seven eighths of its limit; idle slots
// that entry daemons hold must not raise the limit.
const raiseDivisor = 8

type useSample struct {
	at   time.Time
	used int
}

// Limiter finds how many requests one target can run without queueing.
//
// The limit grows by half while the target keeps up, drops to the batch that the target
// actually ran when it reports a queue, and after that is raised by one from time to
// time. No constant could fit a fleet of mixed hardware.
type Limiter struct {
	options    LimiterOptions
	limit      int
	congested  bool
	lastChange time.Time
	// probing is set from a raise to the next congestion, which then counts as caused by
	// the raise.
	probing       bool
	probeInterval time.Duration
	samples       []useSample
	foreign       int
	tokenInterval time.Duration
}

// NewLimiter returns a limiter at its initial limit.
func NewLimiter(options LimiterOptions) *Limiter {
	return &Limiter{options: options, limit: options.Initial, probeInterval: options.ProbeInterval}
}

// Limit returns the number of requests that this lessor may run on the target: the limit
// less the foreign load.
func (limiter *Limiter) Limit() int { return max(limiter.limit-limiter.foreign, 0) }

// Foreign returns the load that other lessors put on the target.
func (limiter *Limiter) Foreign() int { return limiter.foreign }

// RecordUse records how many requests this lessor's entry daemons run.
func (limiter *Limiter) RecordUse(now time.Time, used int) {
	limiter.samples = append(limiter.samples, useSample{now, used})
	for len(limiter.samples) > 1 && now.Sub(limiter.samples[0].at) > reportWindow {
		limiter.samples = limiter.samples[1:]
	}
}

// RecordTokenInterval averages a time between tokens that an entry daemon measured.
func (limiter *Limiter) RecordTokenInterval(interval time.Duration) {
	if interval > 0 {
		limiter.tokenInterval += (interval - limiter.tokenInterval) / 4
	}
}

// Report applies a load report of the target; backlogged tells whether requests waited
// for a slot. Without a backlog a raise would only queue requests in the target.
//
// During a network partition two lessors may lease the same target, which then reports
// more requests than this lessor's entry daemons used at any time within the lag of the
// report. Only that excess is foreign: comparing with the present use would count
// requests that just ended as foreign and leave the target idle.
func (limiter *Limiter) Report(now time.Time, report berylspoke.LoadReport, backlogged bool) {
	peak := 0
	for _, sample := range limiter.samples {
		peak = max(peak, sample.used)
	}
	limiter.foreign = max(report.Running+report.Waiting-peak, 0)
	slow := limiter.tokenInterval > limiter.options.TokenInterval
	switch {
	case report.Waiting > 0 && report.Running > 0:
		limiter.reduce(now, report.Running)
	case slow && limiter.limit > 1 && now.Sub(limiter.lastChange) > limiter.options.ProbeInterval/4:
		limiter.reduce(now, limiter.limit-max(limiter.limit/10, 1))
	case backlogged && report.Running*raiseDivisor >= limiter.limit*(raiseDivisor-1) && !slow:
		limiter.raise(now)
	}
}

func (limiter *Limiter) reduce(now time.Time, limit int) {
	if limiter.probing {
		limiter.probeInterval = min(2*limiter.probeInterval, limiter.options.MaxProbeInterval)
	}
	if limit < limiter.limit {
		limiter.limit = max(limit, 1)
	}
	limiter.congested, limiter.probing = true, false
	limiter.lastChange = now
}

func (limiter *Limiter) raise(now time.Time) {
	if !limiter.congested {
		limiter.limit = min(limiter.limit+max(limiter.limit/2, 1), limiter.options.Max)
		return
	}
	if limiter.probing && now.Sub(limiter.lastChange) >= limiter.options.ProbeInterval {
		// The target sustained the raise: it grew, or the limit was too low.
		limiter.probeInterval = limiter.options.ProbeInterval
	}
	if now.Sub(limiter.lastChange) >= limiter.probeInterval {
		limiter.limit = min(limiter.limit+1, limiter.options.Max)
		limiter.lastChange, limiter.probing = now, true
	}
}
