package beryledge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// copyingTarget sends each answer that has no id once more, when the next request on the connection
// has been read, before the answer to that one.
type copyingTarget struct {
	net.Listener
	// reject makes it reject the next request without an id.
	reject atomic.Bool
	ran    atomic.Int64
}

func newCopyingTarget(t *testing.T) *copyingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := &copyingTarget{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn)
		}
	}()
	return target
}

func (target *copyingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, late := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if late != "" {
			_, _ = io.WriteString(conn, late)
			late = ""
		}
		id := request.Header.Get("X-Id")
		switch {
		case id == "":
			late = "HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, late)
		case target.reject.Swap(false):
			late = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, late)
		default:
			target.ran.Add(1)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\ndone", id)
		}
	}
}

// Guards against a caller that is told that its request has not run although it has: the late copy of an
// answer without an id, to a question or a rejection, comes in place of the answer to its request.
func TestLateCopyOfAnAnswerWithoutAnIDIsNotTakenForTheNext(t *testing.T) {
	for name, prepare := range map[string]func(*testing.T, *Daemon, *copyingTarget){
		"probe": func(t *testing.T, daemon *Daemon, target *copyingTarget) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			address := target.Addr().String()
			require.Equal(t, http.StatusBadRequest, daemon.pool.Probe(ctx, address, daemon.identityRequest(address)).Status)
		},
		"rejection": func(t *testing.T, daemon *Daemon, target *copyingTarget) {
			target.reject.Store(true)
			response, _, err := send(t, daemon, http.MethodPost, "/file/x", "id-0", "a letter")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := newCopyingTarget(t)
			daemon, store := startServing(t, nil)
			store.put("t/d1", "desk "+target.Addr().String())
			require.Eventually(t, func() bool { return len(daemon.Dump().Gate.Targets) == 1 }, 5*time.Second, 10*time.Millisecond)
			prepare(t, daemon, target)
			for i := range 3 {
				response, text, err := send(t, daemon, http.MethodPost, "/file/x", fmt.Sprint("id-", i+1), "a letter")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, "done", text)
			}
			require.EqualValues(t, 3, target.ran.Load())
		})
	}
}

// Guards against the late copy of an answer to a question that is taken for the answer to the request
// which follows it on the connection.
func TestAnswerWithoutAnIDIsNotMatchedAfterAQuestion(t *testing.T) {
	daemon, _ := startServing(t, nil)
	call := &call{daemon: daemon, info: berylspoke.RequestInfo{ID: "id-1"}}
	unnamed := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"X-Not-Run": {"1"}}}
	require.True(t, call.answersRequest(unnamed, false))
	require.False(t, call.answersRequest(unnamed, true))
	own := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"X-Id": {"id-1"}}}
	require.True(t, call.answersRequest(own, true))
}
