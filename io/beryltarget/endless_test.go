package beryltarget

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// Guards against an answer that is cut and passed on as whole, and against a process that falls to one:
// bytes come without end, in a head, a body, or the answer to a control request.
func TestAnswersWithoutEndAreCutAndNotPassedOn(t *testing.T) {
	for name, begin := range map[string]string{
		"body":         "HTTP/1.1 200 OK\r\nBerylspoke-Request: r\r\n\r\n",
		"header value": "HTTP/1.1 200 OK\r\nBerylspoke-Request: r\r\nX-Long: ",
		"status line":  "HTTP/1.1 200 O",
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				conn, _, err := writer.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				for text := strings.ReplaceAll(begin, "Berylspoke-Request", RequestHeader); err == nil; text = strings.Repeat("x", 4096) {
					var count int
					count, err = io.WriteString(conn, text)
					written.Add(int64(count))
				}
			}))
			defer server.Close()
			client := NewClient(DefaultOptions(), fixedLocator{strings.TrimPrefix(server.URL, "http://")})
			sent := time.Now()
			answer, err := client.Call(context.Background(), "t", berylspoke.Call{Request: "r", Method: http.MethodPost, Path: "/x"})
			require.Error(t, err, "%d bytes are passed on", len(answer.Body))
			require.Equal(t, berylspoke.MayHaveRun, berylspoke.VerdictOf(err))
			_, err = client.Load(context.Background(), "t")
			require.Error(t, err)
			_, err = client.probe(context.Background(), "t", "r")
			require.Error(t, err)
			require.Error(t, generate(client, "r"))
			require.Less(t, time.Since(sent), 2*time.Second)
			require.Less(t, written.Load(), int64(48<<20))
		})
	}
}
