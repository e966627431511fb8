package berylstop

// This file defines how the time that requests take is observed.

import (
	"math"
	"time"
)

const (
	// observationPeriod is how long an observation is kept at least; it is kept for up to twice
	// that.
	observationPeriod = time.Minute
	// minObservations is the number of requests of a route from which their duration is known.
	minObservations = 20
	// usualQuantile is the quantile of durations that counts as usual.
	usualQuantile = 0.9
	// bucketCount, smallestBucket and bucketRatio define the buckets of the histogram, of which the
	// last one has no upper bound.
	bucketCount    = 64
	smallestBucket = time.Millisecond
	bucketRatio    = 1.2
)

// Duration is how long requests take.
type Duration struct {
	// Usual is the time that nearly all requests take at most, Longest that of the longest. Both are
	// zero if they are not known.
	Usual, Longest time.Duration
}

// maxOverdue is the fraction of active requests that may be older than the usual duration before
// it counts as outdated.
const maxOverdue = 0.25

// WithActive returns the duration in view of the ages of the requests that are active: one that is
// older than the longest is taken to be half done, and if many are older than usual, targets have
// become slower.
func (duration Duration) WithActive(ages []time.Duration) Duration {
	overdue, oldest := 0, time.Duration(0)
	for _, age := range ages {
		oldest = max(oldest, age)
		if age > duration.Usual {
			overdue++
		}
	}
	if oldest > duration.Longest {
		duration.Longest = 2 * oldest
	}
	if float64(overdue) > maxOverdue*float64(len(ages)) {
		duration.Usual = duration.Longest
	}
	return duration
}

// histogram counts the requests of one route in one period.
type histogram struct {
	longest time.Duration
	count   int
	buckets [bucketCount]uint32
}

func bucketOf(took time.Duration) int {
	if took <= smallestBucket {
		return 0
	}
	return min(int(math.Log(float64(took)/float64(smallestBucket))/math.Log(bucketRatio))+1, bucketCount-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(smallestBucket) * math.Pow(bucketRatio, float64(bucket)))
}

// Durations holds the time that the requests of each route lately took.
type Durations struct {
	current, previous map[string]*histogram
	began             time.Time
}

// NewDurations returns a record without observations.
func NewDurations(now time.Time) *Durations {
	return &Durations{current: make(map[string]*histogram), began: now}
}

// Observe records the time that a request of a route took.
func (durations *Durations) Observe(now time.Time, route string, took time.Duration) {
	durations.rotate(now)
	seen := durations.current[route]
	if seen == nil {
		seen = new(histogram)
		durations.current[route] = seen
	}
	seen.longest = max(seen.longest, took)
	seen.count++
	seen.buckets[bucketOf(took)]++
}

// Of returns how long requests of a route lately took, zero if too few were observed.
func (durations *Durations) Of(now time.Time, route string) Duration {
	durations.rotate(now)
	var sum histogram
	for _, period := range []map[string]*histogram{durations.previous, durations.current} {
		if seen := period[route]; seen != nil {
			sum.longest = max(sum.longest, seen.longest)
			sum.count += seen.count
			for bucket, count := range seen.buckets {
				sum.buckets[bucket] += count
			}
		}
	}
	if sum.count < minObservations {
		return Duration{}
	}
	return Duration{Usual: min(sum.quantile(usualQuantile), sum.longest), Longest: sum.longest}
}

// quantile returns an upper bound of a quantile of the durations.
func (seen *histogram) quantile(fraction float64) time.Duration {
	rank := fraction * float64(seen.count)
	for bucket, count := range seen.buckets[:bucketCount-1] {
		if rank -= float64(count); rank <= 0 {
			return bucketEnd(bucket)
		}
	}
	return seen.longest
}

// rotate begins the next period if the current one has passed.
func (durations *Durations) rotate(now time.Time) {
	passed := now.Sub(durations.began)
	if passed < observationPeriod {
		return
	}
	durations.previous = nil
	if passed < 2*observationPeriod {
		durations.previous = durations.current
	}
	durations.current, durations.began = make(map[string]*histogram), now
}
