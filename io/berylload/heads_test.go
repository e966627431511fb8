package berylload

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"berylspoke/io/berylstand"
)

// Guards against counters that are measured from an answer whose head is not valid.
func TestCountersInAnAnswerWithABrokenHeadAreNone(t *testing.T) {
	for _, test := range berylstand.Heads() {
		t.Run(test.Case, func(t *testing.T) {
			t.Parallel()
			target := &berylstand.HeadTarget{Head: test, Body: `{"slots":8}`, Fields: func(*http.Request) string { return "" }}
			server := httptest.NewServer(target)
			defer server.Close()
			var stats struct{ Slots int }
			err := getJSON(server.URL, "", &stats)
			if !test.Broken {
				require.NoError(t, err)
				require.Equal(t, 8, stats.Slots)
				return
			}
			require.Error(t, err)
		})
	}
}
