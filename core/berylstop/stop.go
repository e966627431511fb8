package berylstop

// This file defines the planned stop and the decision on a request.

import "time"

const (
	// maxReserve bounds the time between the end of a stop and the kill of the process, in which
	// the last answers reach their callers; reserveFraction is the fraction of the time to stop
	// within that it takes if that is short.
	maxReserve      = 250 * time.Millisecond
	reserveFraction = 1. / 8
	// NoticePeriod is the time after the beginning in which callers may not know of the stop, as
	// they keep the addresses that they resolved.
	NoticePeriod = 2500 * time.Millisecond
)

// Stop is a planned stop of a process.
type Stop struct {
	// Began is when the process was asked to stop, End when its requests end at the latest, and
	// Killed when the process is killed.
	Began, End, Killed time.Time
}

// New returns a stop that begins now, of a process that is killed after a time.
func New(now time.Time, timeout time.Duration) Stop {
	reserve := min(maxReserve, time.Duration(reserveFraction*float64(timeout)))
	return Stop{Began: now, End: now.Add(timeout - reserve), Killed: now.Add(timeout)}
}

// Answered returns when the last answers must have been sent.
func (stop Stop) Answered() time.Time { return stop.End.Add(stop.Killed.Sub(stop.End) / 2) }

// exitFraction is the fraction of the time after Answered that remains for the exit of the process.
const exitFraction = 1. / 4

// Exits returns when the process ends at the latest. An answer that was held up may be sent until then.
func (stop Stop) Exits() time.Time {
	return stop.Killed.Add(-time.Duration(exitFraction * float64(stop.Killed.Sub(stop.Answered()))))
}

// Work is what is known of a request and of the time that it takes.
type Work struct {
	// Deadline is when the request is ended if it has no answer by then.
	Deadline time.Time
	// Whole is when the request was complete, zero if it is not yet.
	Whole time.Time
	// Uncertain is set if its caller could not tell whether the request took effect if it were cut.
	Uncertain bool
	// Duration is how long such requests take once they are whole.
	Duration Duration
}

// Latest returns the latest time at which work may be sent to a target, and by which it has to be
// whole, zero if it is not to be sent at all.
func (stop Stop) Latest(work Work) time.Time {
	if !work.Deadline.After(stop.End) {
		return work.Deadline
	}
	noticed := stop.Began.Add(NoticePeriod)
	if work.Uncertain || work.Duration.Longest == 0 || work.Whole.After(noticed) {
		return time.Time{}
	}
	latest := stop.End.Add(-work.Duration.Usual)
	if work.Whole.IsZero() && noticed.Before(latest) {
		return noticed
	}
	return latest
}

// Accepts reports whether work may be sent to a target now.
func (stop Stop) Accepts(now time.Time, work Work) bool { return !now.After(stop.Latest(work)) }

const (
	// elsewhereRetryAfter is the delay after which a rejected caller may retry at another daemon.
	elsewhereRetryAfter = 20 * time.Millisecond
	// startTime is about how long a daemon takes until it accepts requests.
	startTime = 500 * time.Millisecond
)

// RetryAfter returns the delay after which a rejected caller may retry: at another daemon at once,
// and at a daemon that has started again if there is no other. The chance is a random number from
// 0 to 1 that spreads such callers.
func (stop Stop) RetryAfter(now time.Time, others bool, chance float64) time.Duration {
	if others {
		return elsewhereRetryAfter
	}
	return max(stop.Killed.Sub(now), 0) + startTime + time.Duration(chance*float64(startTime))
}
