package berylstop

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func millis(number int) time.Duration { return time.Duration(number) * time.Millisecond }

// Guards against work that is accepted though a stop might cut it, and against work that is rejected
// though it would end in time.
func TestLatestTimeToSend(t *testing.T) {
	text, err := os.ReadFile("testdata/latest.hujson")
	require.NoError(t, err)
	text, err = hujson.Standardize(text)
	require.NoError(t, err)
	var cases []struct {
		Case                       string
		Timeout, Deadline, Longest int
		Repeatable                 bool
		Latest                     int
	}
	require.NoError(t, json.Unmarshal(text, &cases))
	for _, test := range cases {
		t.Run(test.Case, func(t *testing.T) {
			stop := New(epoch, millis(test.Timeout))
			work := Work{Deadline: epoch.Add(millis(test.Deadline)), Repeatable: test.Repeatable, Longest: millis(test.Longest)}
			if test.Latest < 0 {
				require.False(t, stop.Accepts(epoch, work))
				return
			}
			require.Equal(t, epoch.Add(millis(test.Latest)), stop.Latest(work))
		})
	}
}

// Guards against accepted work that ends after the stop, unless it is safe to repeat and takes longer
// than any before it.
func TestAcceptedWorkEndsBeforeTheStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stop := New(epoch, millis(rapid.IntRange(1, 120_000).Draw(t, "timeout")))
		now := epoch.Add(millis(rapid.IntRange(0, 130_000).Draw(t, "now")))
		work := Work{
			Deadline:   now.Add(millis(rapid.IntRange(0, 130_000).Draw(t, "remaining"))),
			Repeatable: rapid.Bool().Draw(t, "repeatable"), Longest: millis(rapid.IntRange(0, 10_000).Draw(t, "longest")),
		}
		if !stop.Accepts(now, work) {
			return
		}
		ends := work.Deadline
		if seen := now.Add(work.Longest); work.Repeatable && work.Longest > 0 && seen.Before(ends) {
			ends = seen
		}
		require.False(t, ends.After(stop.End))
		require.True(t, stop.End.Before(stop.Killed))
	})
}

// Guards against callers that return before a daemon has started again, and against those that wait
// though another daemon is there.
func TestRejectedCallersReturnWhenTheyAreServed(t *testing.T) {
	stop := New(epoch, 8*time.Second)
	now := epoch.Add(6 * time.Second)
	require.Less(t, stop.RetryAfter(now, true, 1), 100*time.Millisecond)
	require.Greater(t, stop.RetryAfter(now, false, 0), 2*time.Second)
	require.Greater(t, stop.RetryAfter(now, false, 1), stop.RetryAfter(now, false, 0))
}

// Guards against a longest time that is known from too few requests, forgotten too early, or kept
// for good.
func TestLongestDurationIsThatOfLateRequests(t *testing.T) {
	durations := NewDurations(epoch)
	for range minObservations - 1 {
		durations.Observe(epoch, "a", time.Second)
	}
	require.Zero(t, durations.Longest(epoch, "a"))
	durations.Observe(epoch.Add(time.Second), "a", 3*time.Second)
	require.Equal(t, 3*time.Second, durations.Longest(epoch.Add(time.Second), "a"))
	require.Zero(t, durations.Longest(epoch.Add(time.Second), "b"))
	later := epoch.Add(observationPeriod + time.Second)
	durations.Observe(later, "a", time.Second)
	require.Equal(t, 3*time.Second, durations.Longest(later, "a"))
	require.Zero(t, durations.Longest(later.Add(2*observationPeriod), "a"))
}
