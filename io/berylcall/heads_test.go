package berylcall

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/io/berylstand"
)

// Guards against an outcome, a stream or addresses that a caller takes from an answer whose head is not valid.
func TestAnswersOfADaemonWithABrokenHeadAreNone(t *testing.T) {
	for _, test := range berylstand.Heads() {
		t.Run(test.Case, func(t *testing.T) {
			t.Parallel()
			target := &berylstand.HeadTarget{
				Head: test, Body: `{"addresses":["a"],"offset":0,"tokens":2,"end":true}` + "\n",
				Fields: func(*http.Request) string { return verdictHeader + ": " + berylspoke.Ran.String() + "\r\n" },
			}
			server := httptest.NewServer(target)
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			client := New(Options{Seeds: []string{address}, SeedsOnly: true})
			resolution, resolveErr := client.resolveAt(t.Context(), address)
			response, sendErr := client.send(t.Context(), http.MethodPost, address, "/x", "", "", nil)
			if sendErr == nil {
				_ = response.Body.Close()
			}
			tokens, streamErr := client.Stream(t.Context(), GenerationRequest{Service: "s", MaxAttempts: 1}, func(string, berylspoke.Tokens) {})
			if !test.Broken {
				require.NoError(t, resolveErr)
				require.Equal(t, []string{"a"}, resolution.Addresses)
				require.NoError(t, sendErr)
				require.NoError(t, streamErr)
				require.EqualValues(t, 2, tokens)
				return
			}
			require.Error(t, resolveErr)
			require.Error(t, sendErr)
			require.Error(t, streamErr)
			require.Zero(t, tokens)
		})
	}
}
