package berylsoak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/platform/beryldouble"
)

// Guards against a judge that misses requests that a planned stop cuts or rejects needlessly, or that
// reports what a stop may do.
func TestJudgeOfStops(t *testing.T) {
	cut := errors.New("EOF")
	start := time.Now()
	stop := stopRecord{at: start, grace: 8 * time.Second}
	cases := map[string]struct {
		path            string
		sent, ended     time.Duration
		work, bodyDelay time.Duration
		ran             bool
		status          int
		body            string
		err             error
		violated        string
	}{
		"cut late":                        {pathBook, 4 * time.Second, 7750 * time.Millisecond, 4 * time.Second, 0, true, 0, "", cut, "a planned stop cuts no request"},
		"ended with 502":                  {pathLook, 4 * time.Second, 7750 * time.Millisecond, 4 * time.Second, 0, true, 502, "", nil, "a planned stop cuts no request"},
		"sent early, at work at the end":  {pathLook, 2500 * time.Millisecond, 7750 * time.Millisecond, 6 * time.Second, 0, true, 0, "", cut, ""},
		"sent early, not at work":         {pathLook, 2500 * time.Millisecond, 5 * time.Second, 6 * time.Second, 0, false, 0, "", cut, "a planned stop cuts no request"},
		"sent early, ended early":         {pathLook, 500 * time.Millisecond, 5 * time.Second, 2 * time.Second, 0, true, 0, "", cut, "a planned stop cuts no request"},
		"accepted since, not repeatable":  {pathBook, 2500 * time.Millisecond, 7750 * time.Millisecond, 6 * time.Second, 0, true, 0, "", cut, "a planned stop cuts no request"},
		"before the stop, not repeatable": {pathBook, -time.Second, 7750 * time.Millisecond, 9 * time.Second, 0, true, 0, "", cut, ""},
		"crosses the close":               {pathBook, 4 * time.Second, 4100 * time.Millisecond, time.Second, 0, false, 0, "", cut, ""},
		"crosses with a slow body":        {pathBook, 4 * time.Second, 5100 * time.Millisecond, time.Second, time.Second, false, 0, "", cut, ""},
		"limit reached":                   {pathLook, -3 * time.Second, 7 * time.Second, 12 * time.Second, 0, true, 504, "", nil, ""},
		"rejected, would end in time":     {pathBook, -3 * time.Second, time.Second, time.Second, 0, false, 503, "draining\n", nil, "a planned stop serves what ends in time"},
		"rejected, might not end":         {pathBook, -2 * time.Second, time.Second, time.Second, 0, false, 503, "draining\n", nil, ""},
		"rejected for overload":           {pathBook, -3 * time.Second, time.Second, time.Second, 0, false, 503, "overload\n", nil, ""},
		"ended before the stop":           {pathBook, -3 * time.Second, -time.Second, time.Second, 0, true, 0, "", cut, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			judge := newJudge()
			judge.recordTimeouts(timeoutRecord{start.Add(-time.Hour), map[string]time.Duration{pathBook: 10 * time.Second, pathLook: 10 * time.Second}})
			judge.recordStop("vm-1 run 1", stop.at, stop.grace)
			sent := &attempt{
				path: test.path, organisation: "o", processRun: "vm-1 run 1", sent: start.Add(test.sent),
				limit: 11 * time.Second, bodyDelay: test.bodyDelay, work: test.work,
			}
			judge.recordSent("1", sent)
			if test.ran {
				judge.recordRun(beryldouble.Run{RequestID: "1", Organisation: "o", Path: test.path, Target: "t-1#1", Started: sent.sent})
			}
			judge.recordAnswer(beryldouble.Result{
				Request: beryldouble.Request{ID: "1"}, Status: test.status, Body: []byte(test.body), Err: test.err, Sent: sent.sent, Ended: start.Add(test.ended),
				Sealed: test.status == http.StatusOK,
			})
			if test.violated == "" {
				require.Empty(t, judge.result(processLogs{}).Violations)
				return
			}
			require.Len(t, judge.result(processLogs{}).Violations, 1)
			require.Equal(t, test.violated, judge.result(processLogs{}).Violations[0].Guarantee)
		})
	}
}
