package berylsoak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/platform/beryldouble"
)

// tryOf is one try of a stream: it takes up after event last and brings events of the given texts.
type tryOf struct {
	last  int
	texts []string
	ended bool
}

// judgeStream records the tries of a stream with a judge.
func judgeStream(judge *Judge, name string, tries ...tryOf) {
	stream := new(stream)
	for i, try := range tries {
		id := fmt.Sprint(name, "-", i)
		request := beryldouble.Request{ID: id, Path: pathResume, Resumes: stream.began, LastEvent: try.last}
		attempt := &attempt{path: pathResume, organisation: "o", processRun: "vm-1 run 1", sent: time.Now(), stream: stream, takesUp: stream.began != ""}
		judge.recordSent(id, attempt)
		var body strings.Builder
		first := try.last + 1
		if stream.began == "" {
			first = 0
		}
		for n, text := range try.texts {
			_, _ = fmt.Fprintf(&body, "id: %d\ndata: %s %s %s\n", first+n, id, text, strings.Repeat("x", 60))
			if n < len(try.texts)-1 || !try.ended {
				body.WriteString("\n")
			}
		}
		if try.ended {
			body.WriteString("data: end\n\n")
		}
		answer := beryldouble.Result{Request: request, Status: 200, Sealed: true, Streamed: true, Body: []byte(body.String()), Ended: time.Now()}
		if len(try.texts) == 0 {
			answer.Status, answer.Streamed = 503, false
		}
		if !try.ended {
			answer.Err = beryldouble.ErrLeft
		}
		judge.recordAnswer(answer)
		judge.recordTry(attempt, answer, true)
	}
}

// Guards against a judge that misses streams of two versions, with a gap, or that do not go on.
func TestJudgeComparesWholeStreams(t *testing.T) {
	began := tryOf{0, []string{"v1", "v1"}, false}
	refused := func(judge *Judge, count int) {
		for i := range count {
			judgeStream(judge, fmt.Sprint("refused-", i), began, tryOf{last: 1})
		}
	}
	for name, test := range map[string]struct {
		record   func(judge *Judge)
		violated string
	}{
		"one version":                 {func(judge *Judge) { judgeStream(judge, "s", began, tryOf{1, []string{"v1", "v1"}, true}) }, ""},
		"two versions over two tries": {func(judge *Judge) { judgeStream(judge, "s", began, tryOf{1, []string{"v2"}, true}) }, "streams hold events of one version"},
		"two versions over three tries": {func(judge *Judge) {
			judgeStream(judge, "s", began, tryOf{1, []string{"v1"}, false}, tryOf{2, []string{"v2"}, true})
		}, "streams hold events of one version"},
		"two versions in one answer":    {func(judge *Judge) { judgeStream(judge, "s", tryOf{0, []string{"v1", "v2"}, true}) }, "streams hold events of one version"},
		"two runs of unknown version":   {func(judge *Judge) { judgeStream(judge, "s", tryOf{0, []string{"t-1#1", "t-2#1"}, true}) }, "streams hold events of one version"},
		"an event is missing":           {func(judge *Judge) { judgeStream(judge, "s", began, tryOf{2, []string{"v1"}, true}) }, "streams go on with their next event"},
		"an event comes twice":          {func(judge *Judge) { judgeStream(judge, "s", began, tryOf{0, []string{"v1"}, true}) }, "streams go on with their next event"},
		"too few to judge":              {func(judge *Judge) { refused(judge, minTakenUp-1) }, ""},
		"none goes on":                  {func(judge *Judge) { refused(judge, minTakenUp) }, "streams that are taken up go on"},
		"none goes on, out of touch":    {func(judge *Judge) { judge.recordOutOfTouch("vm-1", time.Now()); refused(judge, 2*minTakenUp) }, ""},
		"none goes on, store disturbed": {func(judge *Judge) { judge.recordOutOfTouch(everyone, time.Now()); refused(judge, 2*minTakenUp) }, ""},
		"another out of touch":          {func(judge *Judge) { judge.recordOutOfTouch("vm-2", time.Now()); refused(judge, minTakenUp) }, "streams that are taken up go on"},
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
