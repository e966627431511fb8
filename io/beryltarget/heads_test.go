package beryltarget

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/io/berylstand"
)

// Guards against an answer of a target that is passed on, or a report or the answer to a probe that is
// believed, although its head is not valid.
func TestAnswersWithABrokenHeadAreNone(t *testing.T) {
	for _, test := range berylstand.Heads() {
		t.Run(test.Case, func(t *testing.T) {
			t.Parallel()
			target := &berylstand.HeadTarget{
				Head: test, Body: `{"request":"r","running":3,"produced":5,"end":true}` + "\n",
				Fields: func(*http.Request) string { return fmt.Sprintf("%s: r\r\n", RequestHeader) },
			}
			server := httptest.NewServer(target)
			defer server.Close()
			client := NewClient(DefaultOptions(), fixedLocator{strings.TrimPrefix(server.URL, "http://")})
			answer, callErr := client.Call(t.Context(), "t", berylspoke.Call{Request: "r", Method: http.MethodPost, Path: "/x"})
			calls := target.Seen.Load()
			report, reportErr := client.Load(t.Context(), "t")
			state, probeErr := client.probe(t.Context(), "t", "r")
			streamErr := generate(client, "r")
			if !test.Broken {
				require.NoError(t, callErr)
				require.Equal(t, http.StatusOK, answer.Status)
				require.Equal(t, target.Body, string(answer.Body))
				require.NoError(t, reportErr)
				require.Equal(t, 3, report.Running)
				require.NoError(t, probeErr)
				require.EqualValues(t, 5, state.Produced)
				require.NoError(t, streamErr)
				return
			}
			require.Error(t, callErr, "%d is passed on", answer.Status)
			require.Equal(t, berylspoke.MayHaveRun, berylspoke.VerdictOf(callErr))
			require.EqualValues(t, 1, calls)
			require.Error(t, reportErr)
			require.Error(t, probeErr)
			require.Error(t, streamErr)
		})
	}
}
