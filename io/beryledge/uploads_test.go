package beryledge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/io/berylstand"
)

// Guards against a part of an answer that callers get as the whole: its target ends the connection while the
// request is still being written to it, and the answer has neither a length nor chunks.
func TestAnswerThatEndsDuringTheUploadIsNotWhole(t *testing.T) {
	for _, test := range berylstand.Uploads() {
		t.Run(test.Case, func(t *testing.T) {
			t.Parallel()
			target := &berylstand.UploadTarget{
				Upload: test, Halves: [2]string{"id: 1\ndata: text\n\n", "id: 2\ndata: end\n\n"}, Reports: "started=0",
				Fields: func(request *http.Request) string {
					return "X-Id: " + request.Header.Get("X-Id") + "\r\nX-Seal: s\r\n"
				},
			}
			address, err := target.Listen()
			require.NoError(t, err)
			defer target.Close()
			daemon := startUploads(t, address)
			const each = 5
			for i := range 4 * each {
				path := []string{"/file/x", "/read/x", "/draft/x", "/resume/x"}[i%4]
				seen := target.Seen.Load()
				response, body, err := send(t, daemon, http.MethodPost, path, fmt.Sprint("id-", i), strings.Repeat("x", test.BodyBytes))
				if !test.Half {
					require.NoError(t, err, path)
					require.Equal(t, http.StatusOK, response.StatusCode, path)
					require.Equal(t, target.Halves[0]+target.Halves[1], body)
					continue
				}
				// A stream that has begun ends with an error.
				begun := err != nil && (path == "/draft/x" || path == "/resume/x")
				require.True(t, begun || err == nil && response.StatusCode == http.StatusBadGateway, "%s: %q is passed on as %d (%v)", path, body, statusOf(response), err)
				if path == "/file/x" {
					require.EqualValues(t, 1, target.Seen.Load()-seen, "it may have run")
				}
				// A target that failed is paused.
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
}

// startUploads runs a daemon that takes long requests, with a target of both services.
func startUploads(t *testing.T, address string) *Daemon {
	catalog := testCatalog()
	catalog.Limits.BodyBytes = 8 << 20
	store := newTestStore()
	store.put("c/1", "catalog")
	store.put("t/d", "desk "+address)
	store.put("t/e", "engines "+address)
	daemon := startLogged(t, zap.NewNop(), 8*time.Second, store, testDialect{catalog}, "a", map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"})
	require.Eventually(t, daemon.Ready, 10*time.Second, 10*time.Millisecond)
	fillRetryBudget(daemon)
	return daemon
}
