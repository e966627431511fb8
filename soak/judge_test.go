package berylsoak

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/platform/beryldouble"
)

// told is one thing that a judge is told.
type told func(judge *Judge, now time.Time)

func askOf(id, path string) told {
	return func(judge *Judge, now time.Time) {
		judge.asks(id, &asked{path: path, organisation: "o", boot: "vm-1 run 1", sent: now})
	}
}

func runOf(id, path, target string) told {
	return func(judge *Judge, now time.Time) {
		judge.ran(beryldouble.Run{Request: id, Organisation: "o", Path: path, Target: target, At: now})
	}
}

func answerOf(id string, status int, sealed bool, body string, err error) told {
	return func(judge *Judge, now time.Time) {
		judge.got(beryldouble.Answer{
			Ask: beryldouble.Ask{ID: id}, Status: status, Sealed: sealed, Body: []byte(body), Err: err, Ended: now,
		})
	}
}

// A soak that finds nothing shows something only if its judge would have found it:
// each broken promise must be noticed, and what is allowed must not.
func TestJudgeNoticesBrokenPromises(t *testing.T) {
	cut := errors.New("cut")
	leaves := func(judge *Judge, now time.Time) { judge.leaves("t-1", now.Add(-leaveWithin-time.Second)) }
	harming := func(judge *Judge, _ time.Time) { judge.harming() }
	cases := map[string]struct {
		told   []told
		broken string
	}{
		"served":                {[]told{askOf("1", pathBook), runOf("1", pathBook, "t-1"), answerOf("1", 200, true, "answer to 1", nil)}, ""},
		"runs twice":            {[]told{askOf("1", pathBook), runOf("1", pathBook, "t-1"), runOf("1", pathBook, "t-2")}, "at most once"},
		"may run twice":         {[]told{askOf("1", pathLook), runOf("1", pathLook, "t-1"), runOf("1", pathLook, "t-2")}, ""},
		"refused and ran":       {[]told{askOf("1", pathBook), runOf("1", pathBook, "t-1"), answerOf("1", 503, false, "", nil)}, "not run is true"},
		"refused, then ran":     {[]told{askOf("1", pathDraft), answerOf("1", 503, false, "", nil), runOf("1", pathDraft, "t-1")}, "not run is true"},
		"not sealed":            {[]told{askOf("1", pathBook), answerOf("1", 200, false, "answer to 1", nil)}, "whole answer to its own request"},
		"another's answer":      {[]told{askOf("1", pathBook), answerOf("1", 200, true, "answer to 2", nil)}, "whole answer to its own request"},
		"other path":            {[]told{askOf("1", pathBook), runOf("1", pathLook, "t-1")}, "runs as asked"},
		"nobody asked":          {[]told{runOf("1", pathBook, "t-1")}, "only what was asked runs"},
		"leaving target":        {[]told{leaves, askOf("1", pathBook), runOf("1", pathBook, "t-1")}, "a leaving target gets nothing new"},
		"cut by planned work":   {[]told{askOf("1", pathBook), runOf("1", pathBook, "t-1"), answerOf("1", 0, false, "", cut)}, "planned work cuts nothing"},
		"own time is up":        {[]told{askOf("1", pathBook), runOf("1", pathBook, "t-1"), answerOf("1", 0, false, "", context.DeadlineExceeded)}, ""},
		"cut by a fault":        {[]told{harming, askOf("1", pathBook), runOf("1", pathBook, "t-1"), answerOf("1", 0, false, "", cut)}, ""},
		"added route goes away": {[]told{askOf("1", pathAdded), answerOf("1", 200, true, "answer to 1", nil), askOf("2", pathAdded), answerOf("2", http.StatusNotFound, false, "", nil)}, "configuration never goes back"},
		"key comes back": {[]told{
			askOf("1", pathLook+revokedSuffix+"2/"), answerOf("1", http.StatusUnauthorized, false, "", nil),
			askOf("2", pathLook+revokedSuffix+"2/"), answerOf("2", 200, true, "answer to 2", nil),
		}, "configuration never goes back"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			judge, now := newJudge(), time.Now()
			for _, tell := range test.told {
				now = now.Add(time.Millisecond)
				tell(judge, now)
			}
			if test.broken == "" {
				require.Empty(t, judge.result().Violations)
				return
			}
			require.Len(t, judge.result().Violations, 1)
			require.Equal(t, test.broken, judge.result().Violations[0].Promise)
		})
	}
}
