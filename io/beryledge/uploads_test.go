package beryledge

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"berylspoke"
)

// uploadCase is how a target answers a request of which it reads the body or not.
type uploadCase struct {
	Case      string `json:"case"`
	BodyBytes int    `json:"bodyBytes"`
	// Reads is set if the target reads the body before it answers.
	Reads   bool   `json:"reads"`
	Framing string `json:"framing"`
	// Half is set if it sends the first half of the answer only.
	Half   bool   `json:"half"`
	End    string `json:"end"`
	Status int    `json:"status"`
}

const (
	// uploadBufferBytes is the size of the receive buffer of a target's connections.
	uploadBufferBytes = 16 << 10
	// uploadPause is the time in which an upload fills the buffers of both ends, and lingerTime how long a
	// half-closed connection stays open.
	uploadPause = 50 * time.Millisecond
	lingerTime  = 300 * time.Millisecond
)

// answer returns what the target sends, with the events of a stream as body.
func (test uploadCase) answer(id string) string {
	events := []string{"id: 1\ndata: text\n\n", "id: 2\ndata: end\n\n"}
	whole, head := strings.Join(events, ""), strings.ReplaceAll(answerHead, "ID", id)
	sent := events
	if test.Half {
		sent = events[:1]
	}
	switch test.Framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(whole)) + strings.Join(sent, "")
	case "chunks":
		text := head + "Transfer-Encoding: chunked\r\n\r\n"
		for _, event := range sent {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if !test.Half {
			text += "0\r\n\r\n"
		}
		return text
	}
	return head + "\r\n" + strings.Join(sent, "")
}

// uploadTarget is a target with small receive buffers.
type uploadTarget struct {
	net.Listener
	test uploadCase
	seen atomic.Int64
}

func newUploadTarget(t *testing.T, test uploadCase) *uploadTarget {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, uploadBufferBytes)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := &uploadTarget{Listener: listener, test: test}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn.(*net.TCPConn))
		}
	}()
	return target
}

// serve answers one request.
func (target *uploadTarget) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	// Waits for the head alone, so that the body stays unread.
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 1024))
	if err != nil {
		return
	}
	if request.URL.Path == (testDialect{}).IdentityPath() {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nstarted=0")
		return
	}
	target.seen.Add(1)
	if target.test.Reads {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, target.test.answer(request.Header.Get("X-Id")))
	time.Sleep(uploadPause)
	switch target.test.End {
	case "reset":
		_ = conn.SetLinger(0)
	case "halfClose":
		_ = conn.CloseWrite()
		time.Sleep(lingerTime)
	}
}

// Guards against a part of an answer that callers get as the whole: its target ends the connection while the
// request is still being written to it, and the answer has neither a length nor chunks.
func TestAnswerThatEndsDuringTheUploadIsNotWhole(t *testing.T) {
	text, err := os.ReadFile("testdata/uploads.hujson")
	require.NoError(t, err)
	text, err = hujson.Standardize(text)
	require.NoError(t, err)
	var cases []uploadCase
	require.NoError(t, json.Unmarshal(text, &cases))
	for _, test := range cases {
		t.Run(test.Case, func(t *testing.T) {
			t.Parallel()
			target := newUploadTarget(t, test)
			daemon := startUploads(t, target)
			const each = 5
			for i := range 4 * each {
				path := []string{"/file/x", "/read/x", "/draft/x", "/resume/x"}[i%4]
				seen := target.seen.Load()
				response, body, err := send(t, daemon, http.MethodPost, path, fmt.Sprint("id-", i), strings.Repeat("x", test.BodyBytes))
				if test.Status == http.StatusOK {
					require.NoError(t, err, path)
					require.Equal(t, http.StatusOK, response.StatusCode, path)
					require.Equal(t, headBody, body)
					continue
				}
				// A stream that has begun ends with an error.
				begun := err != nil && (path == "/draft/x" || path == "/resume/x")
				require.True(t, begun || err == nil && response.StatusCode == test.Status, "%s: %q is passed on as %d (%v)", path, body, statusOf(response), err)
				if path == "/file/x" {
					require.EqualValues(t, 1, target.seen.Load()-seen, "it may have run")
				}
				// A target that failed is paused.
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
}

// startUploads runs a daemon that takes long requests, with a target of both services.
func startUploads(t *testing.T, target *uploadTarget) *Daemon {
	catalog := testCatalog()
	catalog.Limits.BodyBytes = 8 << 20
	store := newTestStore()
	store.put("c/1", "catalog")
	store.put("t/d", "desk "+target.Addr().String())
	store.put("t/e", "engines "+target.Addr().String())
	daemon := startLogged(t, zap.NewNop(), 8*time.Second, store, testDialect{catalog}, "a", map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"})
	require.Eventually(t, daemon.Ready, 10*time.Second, 10*time.Millisecond)
	fillRetryBudget(daemon)
	return daemon
}
