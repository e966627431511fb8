package berylsoak

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/platform/beryldouble"
)

// Guards against a judge that misses requests that end without an answer beside a signal, a
// configuration or none, or that reports those that may.
func TestJudgeOfEndings(t *testing.T) {
	start := time.Now()
	stop := stopRecord{at: start, grace: 8 * time.Second}
	stream := &shapeRoute{Name: "stream", Kind: "streaming", TimeoutMillis: 10000}
	once := &shapeRoute{Name: "once", Kind: "non_idempotent", TimeoutMillis: 10000}
	sent, connecting := beryldouble.StageSent, beryldouble.StageConnecting
	const operation, alone, configuration = "a planned operation ends no request", "a request is answered", "a configuration ends no request"
	cases := map[string]struct {
		route       *shapeRoute
		stage       beryldouble.Stage
		sent, ended time.Duration
		work        time.Duration
		ran         bool
		event       string
		targetEnded bool
		unplanned   bool
		violated    string
		// body is that of a 502, empty for a connection that ends.
		body string
	}{
		"cut during a stop":             {stream, sent, 2 * time.Second, 4 * time.Second, 4 * time.Second, true, "SIGTERM", false, false, operation, ""},
		"at work at its end":            {stream, sent, 2 * time.Second, 7800 * time.Millisecond, 6 * time.Second, true, "SIGTERM", false, false, "", ""},
		"whole before its end":          {stream, sent, 2 * time.Second, 7800 * time.Millisecond, 4 * time.Second, true, "SIGTERM", false, false, operation, ""},
		"at its end, sent late":         {stream, sent, 3500 * time.Millisecond, 7800 * time.Millisecond, 6 * time.Second, true, "SIGTERM", false, false, operation, ""},
		"at its end, not repeatable":    {once, sent, 2 * time.Second, 7800 * time.Millisecond, 6 * time.Second, true, "SIGTERM", false, false, operation, ""},
		"whole, not passed on, late":    {stream, sent, 4 * time.Second, 4300 * time.Millisecond, time.Second, false, "SIGTERM", false, false, operation, ""},
		"crosses the close":             {stream, sent, 4 * time.Second, 4100 * time.Millisecond, time.Second, false, "SIGTERM", false, false, "", ""},
		"not connected":                 {stream, connecting, 4 * time.Second, 5 * time.Second, time.Second, false, "SIGTERM", false, false, "", ""},
		"cut after SIGHUP":              {stream, sent, 2 * time.Second, 4 * time.Second, 4 * time.Second, true, "SIGHUP", false, false, operation, ""},
		"cut beside a configuration":    {once, sent, time.Second, 2 * time.Second, 4 * time.Second, true, "configuration", false, false, configuration, ""},
		"cut long after one":            {once, sent, 5 * time.Second, 6 * time.Second, 4 * time.Second, true, "configuration", false, false, alone, ""},
		"502 during a stop":             {once, sent, 2 * time.Second, 4 * time.Second, 4 * time.Second, true, "SIGTERM", false, false, operation, "draining\n"},
		"502 of a target":               {once, sent, 2 * time.Second, 4 * time.Second, 4 * time.Second, true, "SIGTERM", false, false, "", "targetFailed\n"},
		"its target ended":              {once, sent, 5 * time.Second, 6 * time.Second, 4 * time.Second, true, "", true, false, "", ""},
		"its process was killed":        {once, sent, 5 * time.Second, 6 * time.Second, 4 * time.Second, true, "", false, true, "", ""},
		"its limit passed":              {stream, sent, 0, 10 * time.Second, 12 * time.Second, true, "", false, false, "", ""},
		"cut without any cause":         {once, sent, 5 * time.Second, 6 * time.Second, 4 * time.Second, true, "", false, false, alone, ""},
		"whole, unanswered, no cause":   {once, sent, 5 * time.Second, 6 * time.Second, 4 * time.Second, false, "", false, false, alone, ""},
		"cut during a stop, its target": {stream, sent, 2 * time.Second, 4 * time.Second, 4 * time.Second, true, "SIGTERM", true, false, "", ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			judge := newJudge()
			judge.shaped = true
			switch test.event {
			case "":
			case "configuration":
				judge.recordEvent(everyone, test.event, start)
			case "SIGTERM":
				judge.recordStop("vm-1 run 1", stop.at, stop.grace)
				fallthrough
			default:
				judge.recordEvent("vm-1", test.event, start)
			}
			attempt := &attempt{path: test.route.prefix(), route: test.route, organisation: "o", processRun: "vm-1 run 1", sent: start.Add(test.sent), limit: 9 * time.Second, work: test.work}
			judge.recordSent("1", attempt)
			if test.ran {
				judge.recordRun(beryldouble.Run{RequestID: "1", Organisation: "o", Path: attempt.path, Target: "t-1#1", Started: attempt.sent})
			}
			if finished := attempt.sent.Add(test.work); test.ran && finished.Before(start.Add(test.ended)) {
				judge.recordWhole("1", finished)
			}
			if test.targetEnded {
				judge.recordTargetEnd("t-1#1", start.Add(test.ended-time.Millisecond))
			}
			if test.unplanned {
				judge.advice.disturbed[unplannedName("vm-1")] = []interval{{attempt.sent, attempt.sent}}
			}
			trace := beryldouble.Trace{Stage: test.stage, Kept: true, Closing: beryldouble.ClosedByEnd}
			if test.stage == sent {
				trace.Sent = attempt.sent
			}
			answer := beryldouble.Result{Request: beryldouble.Request{ID: "1"}, Err: io.EOF, Sent: attempt.sent, Ended: start.Add(test.ended), Trace: trace}
			if test.body != "" {
				answer.Err, answer.Status, answer.Body = nil, http.StatusBadGateway, []byte(test.body)
			}
			judge.recordAnswer(answer)
			violations := judge.result(processLogs{}).Violations
			if test.violated == "" {
				require.Empty(t, violations)
				return
			}
			require.Len(t, violations, 1)
			require.Equal(t, test.violated, violations[0].Guarantee)
		})
	}
}

// Guards against a log in which a data race or a panic goes unseen.
func TestAlarmsInLogs(t *testing.T) {
	judge := newJudge()
	judge.shaped = true
	require.Len(t, judge.result(processLogs{alarms: []string{"vm-1.log: WARNING: DATA RACE"}}).Violations, 1)
}
