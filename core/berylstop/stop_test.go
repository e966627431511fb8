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
		Case              string
		Timeout, Deadline int
		Whole             *int
		Usual, Longest    int
		Uncertain         bool
		Latest            int
	}
	require.NoError(t, json.Unmarshal(text, &cases))
	for _, test := range cases {
		t.Run(test.Case, func(t *testing.T) {
			stop := New(epoch, millis(test.Timeout))
			work := Work{Deadline: epoch.Add(millis(test.Deadline)), Uncertain: test.Uncertain, Duration: Duration{millis(test.Usual), millis(test.Longest)}}
			if test.Whole != nil {
				work.Whole = epoch.Add(millis(*test.Whole))
			}
			if test.Latest < 0 {
				require.False(t, stop.Accepts(epoch, work))
				return
			}
			require.Equal(t, epoch.Add(millis(test.Latest)), stop.Latest(work))
		})
	}
}

// Guards against accepted work that might end after the stop, unless it was complete while its caller may
// not have known of the stop, nearly all before it would have ended in time, and its caller can tell that it
// was cut.
func TestAcceptedWorkEndsBeforeTheStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stop := New(epoch, millis(rapid.IntRange(1, 120_000).Draw(t, "timeout")))
		now := epoch.Add(millis(rapid.IntRange(0, 130_000).Draw(t, "now")))
		usual := millis(rapid.IntRange(0, 10_000).Draw(t, "usual"))
		work := Work{
			Deadline: now.Add(millis(rapid.IntRange(0, 130_000).Draw(t, "remaining"))), Uncertain: rapid.Bool().Draw(t, "uncertain"),
			Duration: Duration{usual, usual * time.Duration(rapid.IntRange(1, 3).Draw(t, "times"))},
		}
		whole := now
		if rapid.Bool().Draw(t, "whole") {
			whole = now.Add(-millis(rapid.IntRange(0, 10_000).Draw(t, "since")))
			work.Whole = whole
		}
		require.True(t, stop.End.Before(stop.Killed))
		require.True(t, stop.Answered().Before(stop.Exits()) && stop.Exits().Before(stop.Killed))
		if !stop.Accepts(now, work) || !work.Deadline.After(stop.End) {
			return
		}
		require.False(t, work.Uncertain)
		require.Positive(t, work.Duration.Longest)
		require.False(t, whole.After(epoch.Add(NoticePeriod)))
		require.False(t, now.Add(work.Duration.Usual).After(stop.End))
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

// Guards against a duration that is known from too few requests, forgotten too early, or kept for good,
// and against a usual one that a few long requests determine.
func TestDurationIsThatOfLateRequests(t *testing.T) {
	durations := NewDurations(epoch)
	for range minObservations - 1 {
		durations.Observe(epoch, "a", time.Second)
	}
	require.Zero(t, durations.Of(epoch, "a"))
	durations.Observe(epoch.Add(time.Second), "a", 9*time.Second)
	found := durations.Of(epoch.Add(time.Second), "a")
	require.Equal(t, 9*time.Second, found.Longest)
	require.GreaterOrEqual(t, found.Usual, time.Second)
	require.LessOrEqual(t, found.Usual, time.Duration(bucketRatio*float64(time.Second)))
	require.Zero(t, durations.Of(epoch.Add(time.Second), "b"))
	later := epoch.Add(observationPeriod + time.Second)
	durations.Observe(later, "a", time.Second)
	require.Equal(t, 9*time.Second, durations.Of(later, "a").Longest)
	require.Zero(t, durations.Of(later.Add(2*observationPeriod), "a"))
}

// Guards against a usual duration below that of the requests that it stands for.
func TestUsualDurationCoversNearlyAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		durations := NewDurations(epoch)
		millisOf := rapid.SliceOfN(rapid.IntRange(0, 200_000), minObservations, 200).Draw(t, "durations")
		for _, took := range millisOf {
			durations.Observe(epoch, "a", millis(took))
		}
		found, covered := durations.Of(epoch, "a"), 0
		for _, took := range millisOf {
			require.LessOrEqual(t, millis(took), found.Longest)
			if millis(took) <= found.Usual {
				covered++
			}
		}
		require.GreaterOrEqual(t, float64(covered), usualQuantile*float64(len(millisOf)))
	})
}

// Guards against a duration that ignores that targets have become slower since requests ended.
func TestOverdueRequestsLengthenTheDuration(t *testing.T) {
	known := Duration{Usual: time.Second, Longest: 4 * time.Second}
	require.Equal(t, known, known.WithActive(nil))
	require.Equal(t, known, known.WithActive([]time.Duration{millis(100), millis(200), millis(300), millis(3000)}))
	require.Equal(t, Duration{4 * time.Second, 4 * time.Second}, known.WithActive([]time.Duration{millis(100), millis(1100), millis(3000)}))
	require.Equal(t, Duration{time.Second, 10 * time.Second}, known.WithActive([]time.Duration{millis(100), millis(100), millis(100), millis(5000)}))
}
