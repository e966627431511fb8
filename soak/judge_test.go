package berylsoak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/platform/beryldouble"
)

// event records one event with a judge.
type event func(judge *Judge, now time.Time)

func sentEvent(id, path string) event {
	return func(judge *Judge, now time.Time) {
		judge.recordSent(id, &attempt{path: path, organisation: "o", processRun: "vm-1 run 1", sent: now})
	}
}

func runEvent(id, path, target string) event {
	return func(judge *Judge, now time.Time) {
		judge.recordRun(beryldouble.Run{RequestID: id, Organisation: "o", Path: path, Target: target, Started: now})
	}
}

func answerEvent(id string, status int, sealed bool, body string, err error) event {
	return func(judge *Judge, now time.Time) {
		judge.recordAnswer(beryldouble.Result{
			Request: beryldouble.Request{ID: id}, Status: status, Sealed: sealed, Body: []byte(body), Err: err, Ended: now,
		})
	}
}

// Guards against a judge that misses violations, which would let every soak pass, or
// that reports allowed behaviour.
func TestJudgeDetectsViolations(t *testing.T) {
	cut := errors.New("cut")
	drain := func(judge *Judge, now time.Time) { judge.recordDraining("t-1", now.Add(-drainGracePeriod-time.Second)) }
	drainSoon := func(judge *Judge, now time.Time) { judge.recordDraining("t-1", now.Add(-drainBound-time.Second)) }
	drainNow := func(judge *Judge, now time.Time) { judge.recordDraining("t-1", now.Add(-drainBound+time.Second)) }
	// reach records a request that is sent and reaches a target after a time since the start.
	start := time.Now()
	reach := func(after, rest time.Duration, target string) event {
		return func(judge *Judge, _ time.Time) {
			id := fmt.Sprint(target, after)
			judge.recordSent(id, &attempt{path: pathLook, organisation: "o", processRun: "vm-1 run 1", sent: start.Add(after)})
			judge.recordArrival(beryldouble.Arrival{RequestID: id, Target: target, At: start.Add(after), Rest: rest})
		}
	}
	told := func(judge *Judge, _ time.Time) {
		sentEvent("told", pathLook)(judge, start)
		judge.recordAnswer(beryldouble.Result{
			Request: beryldouble.Request{ID: "told"}, Status: 200, Sealed: true, Body: []byte("answer to told"), Sent: start, Leaving: true, Target: "t-1#1",
		})
	}
	disturbed := func(name string) event {
		return func(judge *Judge, _ time.Time) { judge.recordDisturbed(name, start.Add(time.Minute)) }
	}
	fault := func(judge *Judge, _ time.Time) { judge.recordUnplannedFault() }
	// ask records a request to a process and its answer, some time after the start.
	ask := func(processRun, path string, after time.Duration, status int) event {
		return func(judge *Judge, _ time.Time) {
			id := fmt.Sprint(processRun, path, after)
			judge.recordSent(id, &attempt{path: path, organisation: "o", processRun: processRun, sent: start.Add(after)})
			answerEvent(id, status, true, "answer to "+id, nil)(judge, start.Add(after))
		}
	}
	const late = knownGracePeriod + time.Second
	revocable := pathLook + revocableMarker + "2/"
	suspended := func(judge *Judge, _ time.Time) { judge.recordSuspended("vm-2", start.Add(late)) }
	cases := map[string]struct {
		events   []event
		violated string
	}{
		"served":                        {[]event{sentEvent("1", pathBook), runEvent("1", pathBook, "t-1"), answerEvent("1", 200, true, "answer to 1", nil)}, ""},
		"runs twice":                    {[]event{sentEvent("1", pathBook), runEvent("1", pathBook, "t-1"), runEvent("1", pathBook, "t-2")}, "runs at most once"},
		"may run twice":                 {[]event{sentEvent("1", pathLook), runEvent("1", pathLook, "t-1"), runEvent("1", pathLook, "t-2")}, ""},
		"refused and ran":               {[]event{sentEvent("1", pathBook), runEvent("1", pathBook, "t-1"), answerEvent("1", 503, false, "", nil)}, "no run before notRun"},
		"refused, then ran":             {[]event{sentEvent("1", pathDraft), answerEvent("1", 503, false, "", nil), runEvent("1", pathDraft, "t-1")}, "no run after notRun"},
		"not sealed":                    {[]event{sentEvent("1", pathBook), answerEvent("1", 200, false, "answer to 1", nil)}, "complete answer to the right request"},
		"another's answer":              {[]event{sentEvent("1", pathBook), answerEvent("1", 200, true, "answer to 2", nil)}, "complete answer to the right request"},
		"other path":                    {[]event{sentEvent("1", pathBook), runEvent("1", pathLook, "t-1")}, "runs as sent"},
		"never sent":                    {[]event{runEvent("1", pathBook, "t-1")}, "only sent requests run"},
		"draining target":               {[]event{disturbed("vm-1"), drain, sentEvent("1", pathBook), runEvent("1", pathBook, "t-1")}, "no new request at a draining target"},
		"draining target, in touch":     {[]event{drainSoon, sentEvent("1", pathBook), runEvent("1", pathBook, "t-1")}, "no new request at a draining target from a process in touch"},
		"draining target, disturbed":    {[]event{drainSoon, disturbed("vm-1"), sentEvent("1", pathBook), runEvent("1", pathBook, "t-1")}, ""},
		"draining target, soon":         {[]event{drainNow, sentEvent("1", pathBook), runEvent("1", pathBook, "t-1")}, ""},
		"cut by planned operation":      {[]event{sentEvent("1", pathBook), runEvent("1", pathBook, "t-1"), answerEvent("1", 0, false, "", cut)}, "planned operations cut no request"},
		"own deadline exceeded":         {[]event{sentEvent("1", pathBook), runEvent("1", pathBook, "t-1"), answerEvent("1", 0, false, "", context.DeadlineExceeded)}, ""},
		"cut by a fault":                {[]event{fault, sentEvent("1", pathBook), runEvent("1", pathBook, "t-1"), answerEvent("1", 0, false, "", cut)}, ""},
		"late at a leaver":              {[]event{told, reach(leavingBound+time.Second, 0, "t-1#1")}, "no request at a target that said it leaves"},
		"soon at a leaver":              {[]event{told, reach(leavingBound-time.Second, 0, "t-1#1")}, ""},
		"next run of a leaver":          {[]event{told, reach(leavingBound+time.Second, 0, "t-1#2")}, ""},
		"restarted since":               {[]event{told, disturbed("vm-1"), reach(leavingBound+time.Second, 0, "t-1#1")}, ""},
		"another restarted":             {[]event{told, disturbed("vm-2"), reach(leavingBound+time.Second, 0, "t-1#1")}, "no request at a target that said it leaves"},
		"three at rest":                 {[]event{reach(0, 3*time.Second, "t-1#1"), reach(time.Second, 0, "t-1#1"), reach(2*time.Second, 0, "t-1#1"), reach(2900*time.Millisecond, 0, "t-1#1")}, "no requests at a target that rests"},
		"two at rest":                   {[]event{reach(0, 3*time.Second, "t-1#1"), reach(time.Second, 0, "t-1#1"), reach(2*time.Second, 0, "t-1#1"), reach(3100*time.Millisecond, 0, "t-1#1")}, ""},
		"on their way":                  {[]event{reach(0, 3*time.Second, "t-1#1"), reach(100*time.Millisecond, 0, "t-1#1"), reach(200*time.Millisecond, 0, "t-1#1"), reach(400*time.Millisecond, 0, "t-1#1")}, ""},
		"rest of another":               {[]event{reach(0, 3*time.Second, "t-2#1"), reach(time.Second, 0, "t-1#1"), reach(2*time.Second, 0, "t-1#1"), reach(2900*time.Millisecond, 0, "t-1#1")}, ""},
		"answer was cut":                {[]event{reach(0, 3*time.Second, "t-1#1"), disturbed("t-1#1"), reach(time.Second, 0, "t-1#1"), reach(2*time.Second, 0, "t-1#1"), reach(2900*time.Millisecond, 0, "t-1#1")}, ""},
		"added route disappears":        {[]event{sentEvent("1", pathAdded), answerEvent("1", 200, true, "answer to 1", nil), sentEvent("2", pathAdded), answerEvent("2", http.StatusNotFound, false, "", nil)}, "configuration never reverts"},
		"revoked key served elsewhere":  {[]event{ask("vm-1 run 1", revocable, 0, 401), ask("vm-2 run 2", revocable, late, 200)}, "configuration comes back at no process"},
		"revoked key served soon":       {[]event{ask("vm-1 run 1", revocable, 0, 401), ask("vm-2 run 2", revocable, time.Second, 200)}, ""},
		"revoked key after a pause":     {[]event{ask("vm-1 run 1", revocable, 0, 401), suspended, ask("vm-2 run 2", revocable, late, 200)}, ""},
		"added route unknown elsewhere": {[]event{ask("vm-1 run 1", pathAdded, 0, 200), ask("vm-2 run 2", pathAdded, late, 404)}, "configuration comes back at no process"},
		"another key served":            {[]event{ask("vm-1 run 1", revocable, 0, 401), ask("vm-2 run 2", pathLook, late, 200)}, ""},
		"revoked key served again": {[]event{
			sentEvent("1", pathLook+revocableMarker+"2/"), answerEvent("1", http.StatusUnauthorized, false, "", nil),
			sentEvent("2", pathLook+revocableMarker+"2/"), answerEvent("2", 200, true, "answer to 2", nil),
		}, "configuration never reverts"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			judge, now := newJudge(), time.Now()
			for _, record := range test.events {
				now = now.Add(time.Millisecond)
				record(judge, now)
			}
			if test.violated == "" {
				require.Empty(t, judge.result(processLogs{}).Violations)
				return
			}
			require.Len(t, judge.result(processLogs{}).Violations, 1)
			require.Equal(t, test.violated, judge.result(processLogs{}).Violations[0].Guarantee)
		})
	}
}
