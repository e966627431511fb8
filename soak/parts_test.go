package berylsoak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/platform/beryldouble"
)

// Guards against a judge that misses requests with a part that crashes engines, or sound ones that
// do not begin, which would let every soak pass.
func TestJudgeCountsWhatReachesEnginesAndWhatBegins(t *testing.T) {
	start := time.Now()
	const early = touchWindow / 2
	// reach records requests with a bad part that reach engines at a time, sound records sound
	// requests and how many of them began.
	reach := func(judge *Judge, count int, at time.Duration) {
		for i := range count {
			attempt := &attempt{badPart: "bad0", processRun: "vm-1 run 1", sent: start.Add(at)}
			id := fmt.Sprint("bad-", at, i)
			judge.recordSent(id, attempt)
			judge.recordArrival(beryldouble.Arrival{RequestID: id, Target: "t-1#1", At: start.Add(at)})
			judge.recordSound(attempt, beryldouble.Result{})
		}
	}
	sound := func(judge *Judge, shares sharing, count, began int) {
		for i := range count {
			answer := beryldouble.Result{Status: 503, Ended: start.Add(20 * time.Second)}
			if i < began {
				answer.Status = 200
			}
			judge.recordSound(&attempt{shares: shares, processRun: "vm-1 run 1", sent: start.Add(20 * time.Second)}, answer)
		}
	}
	const late, refused = "parts that crash engines are refused", "sound requests begin beside parts that crash engines"
	for name, test := range map[string]struct {
		record   func(judge *Judge)
		violated string
	}{
		"five and a few more": {func(judge *Judge) { reach(judge, 9, 0); reach(judge, 9, early) }, ""},
		"three late":          {func(judge *Judge) { reach(judge, 5, 0); reach(judge, 3, 5*time.Second) }, ""},
		"four late":           {func(judge *Judge) { reach(judge, 5, 0); reach(judge, 4, 5*time.Second) }, late},
		"four of a process in doubt": {func(judge *Judge) {
			judge.recordOutOfTouch("vm-1", start)
			reach(judge, 5, 0)
			reach(judge, 4, touchWindow-time.Millisecond)
		}, ""},
		"four late, others disturbed": {func(judge *Judge) {
			judge.recordOutOfTouch("vm-2", start.Add(time.Minute))
			reach(judge, 5, 0)
			reach(judge, 4, 5*time.Second)
		}, late},
		"half begin": {func(judge *Judge) {
			reach(judge, 5, 0)
			sound(judge, sharesNothing, 20, 20)
			sound(judge, sharesFirst, 20, 10)
			reach(judge, 1, 30*time.Second)
		}, ""},
		"less than half begin": {func(judge *Judge) {
			reach(judge, 5, 0)
			sound(judge, sharesNothing, 20, 20)
			sound(judge, sharesCompanion, 20, 9)
			reach(judge, 1, 30*time.Second)
		}, refused},
		"less than half begin, as others do": {func(judge *Judge) {
			reach(judge, 5, 0)
			sound(judge, sharesNothing, 20, 10)
			sound(judge, sharesKey, 20, 5)
			reach(judge, 1, 30*time.Second)
		}, ""},
		"too few to judge": {func(judge *Judge) {
			reach(judge, 5, 0)
			sound(judge, sharesNothing, 20, 20)
			sound(judge, sharesFirst, 19, 0)
			reach(judge, 1, 30*time.Second)
		}, ""},
		"after the last one": {func(judge *Judge) {
			reach(judge, 5, 0)
			sound(judge, sharesNothing, 20, 20)
			sound(judge, sharesFirst, 20, 0)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			judge := newJudge()
			test.record(judge)
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
