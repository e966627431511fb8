package berylslot

// This file defines the limiter that finds a target's concurrency.

import (
	"time"

	"berylspoke"
)

// LimiterOptions bound the search for a target's concurrency.
type LimiterOptions struct {
	Start, Most int
	// Pace is the goal for the mean time between tokens.
	Pace time.Duration
	// ProbeEvery is the time before a raise after congestion was seen; it
	// doubles with each raise that leads to congestion, up to ProbeMost.
	ProbeEvery, ProbeMost time.Duration
}

// DefaultLimiterOptions aim below the time between tokens that callers want.
func DefaultLimiterOptions() LimiterOptions {
	return LimiterOptions{Start: 4, Most: 1024, Pace: 30 * time.Millisecond, ProbeEvery: 5 * time.Second, ProbeMost: 2 * time.Minute}
}

// reportWindow is the age up to which past use is compared with a late report.
const reportWindow = 3 * time.Second

// raiseDivisor makes a target count as full at seven eighths of its limit;
// idle slots that entries hold must not raise the limit.
const raiseDivisor = 8

type useSample struct {
	at   time.Time
	used int
}

// Limiter finds how many requests one target takes without queueing them.
//
// It grows by half while the target keeps up, steps back to the batch the target
// really ran when it reports a queue, and then probes one more from time to
// time. No fixed guess could fit a fleet of mixed hardware.
type Limiter struct {
	options   LimiterOptions
	limit     int
	congested bool
	raised    time.Time
	// probing is set from a raise until the next report shows whether it holds.
	probing bool
	wait    time.Duration
	samples []useSample
	foreign int
	pace    time.Duration
}

// NewLimiter returns a limiter at its start value.
func NewLimiter(options LimiterOptions) *Limiter {
	return &Limiter{options: options, limit: options.Start, wait: options.ProbeEvery}
}

// Limit returns the number of requests to run, less foreign ones.
func (limiter *Limiter) Limit() int { return max(limiter.limit-limiter.foreign, 0) }

// Foreign returns the load that other keepers put on the target.
func (limiter *Limiter) Foreign() int { return limiter.foreign }

// Use notes how many requests this keeper's entries run.
func (limiter *Limiter) Use(now time.Time, used int) {
	limiter.samples = append(limiter.samples, useSample{now, used})
	for len(limiter.samples) > 1 && now.Sub(limiter.samples[0].at) > reportWindow {
		limiter.samples = limiter.samples[1:]
	}
}

// Pace notes the time between tokens that an entry saw.
func (limiter *Limiter) Pace(pace time.Duration) {
	if pace > 0 {
		limiter.pace += (pace - limiter.pace) / 4
	}
}

// Report takes what the target says of itself; wanted says whether requests
// waited for it. Without need a raise would only queue requests in the target.
//
// Two keepers may lease the same target while their fleets are cut apart; the
// target then reports more than this keeper's entries used at any time within
// the report's lag. Only that excess is foreign: comparing with the present use
// would take requests that just ended for foreign ones and idle the target.
func (limiter *Limiter) Report(now time.Time, report berylspoke.LoadReport, wanted bool) {
	most := 0
	for _, sample := range limiter.samples {
		most = max(most, sample.used)
	}
	limiter.foreign = max(report.Running+report.Waiting-most, 0)
	slow := limiter.pace > limiter.options.Pace
	switch {
	case report.Waiting > 0 && report.Running > 0:
		limiter.congest(now, report.Running)
	case slow && limiter.limit > 1 && now.Sub(limiter.raised) > limiter.options.ProbeEvery/4:
		limiter.congest(now, limiter.limit-max(limiter.limit/10, 1))
	case wanted && report.Running*raiseDivisor >= limiter.limit*(raiseDivisor-1) && !slow:
		limiter.raise(now)
	}
}

func (limiter *Limiter) congest(now time.Time, limit int) {
	if limiter.probing {
		limiter.wait = min(2*limiter.wait, limiter.options.ProbeMost)
	}
	if limit < limiter.limit {
		limiter.limit = max(limit, 1)
	}
	limiter.congested, limiter.probing = true, false
	limiter.raised = now
}

func (limiter *Limiter) raise(now time.Time) {
	if !limiter.congested {
		limiter.limit = min(limiter.limit+max(limiter.limit/2, 1), limiter.options.Most)
		return
	}
	if limiter.probing && now.Sub(limiter.raised) >= limiter.options.ProbeEvery {
		// The raise held: the target grew, or the limit was too low.
		limiter.wait = limiter.options.ProbeEvery
	}
	if now.Sub(limiter.raised) >= limiter.wait {
		limiter.limit = min(limiter.limit+1, limiter.options.Most)
		limiter.raised, limiter.probing = now, true
	}
}
