package beryledge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/io/berylconn"
)

// A request reaches the target unchanged except for the headers that only the fleet may
// set, and the target's answer reaches the caller unchanged.
func TestRequestPassesUnchanged(t *testing.T) {
	var got *http.Request
	var body string
	target := newTestTarget(t, "d1", func(writer http.ResponseWriter, request *http.Request) {
		read, _ := io.ReadAll(request.Body)
		got, body = request.Clone(context.Background()), string(read)
		sealed(http.StatusCreated, "done")(writer, request)
	})
	daemon, _ := startServing(t, map[string]*testTarget{"desk": target})
	response, text, err := send(t, daemon, http.MethodPost, "/file/a%2Fb/?q=1&q=%20", "id-1", "a letter")
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, response.StatusCode)
	require.Equal(t, "done", text)
	require.Equal(t, "s", response.Header.Get("X-Seal"))
	require.Equal(t, "/file/a%2Fb/?q=1&q=%20", got.RequestURI)
	require.Equal(t, "h.example", got.Host)
	require.Equal(t, "a letter", body)
	require.Equal(t, "clergy", got.Header.Get("X-Organisation"))
	require.Empty(t, got.Header.Get("X-Key"))
	require.Empty(t, got.Header.Get("User-Agent"), "nothing is added")
}

// Guards against forwarding answers that are incomplete or not proven to come from the
// target: truncated, without seal, to another request, with an encoding, or not HTTP. None
// may reach a caller as a success, and a non-idempotent request that may have run is
// neither retried nor answered as not run.
func TestInvalidAnswersAreNotForwarded(t *testing.T) {
	invalid := map[string]http.HandlerFunc{
		"cut": raw(func(id string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\nContent-Length: 10\r\n\r\nhal"
		}),
		"notSealed": raw(func(id string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok"
		}),
		"foreign": raw(func(string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok"
		}),
		"encoded": raw(func(id string) string {
			return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"
		}),
		"garbage": raw(func(string) string { return "\x00\x01 nothing of the kind\r\n\r\n" }),
		"closed":  raw(func(string) string { return "" }),
		"unprovenRefusal": raw(func(id string) string {
			return "HTTP/1.1 503 Busy\r\nX-Id: " + id + "\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"
		}),
	}
	for name, serve := range invalid {
		t.Run(name, func(t *testing.T) {
			target := newTestTarget(t, "d1", serve)
			other := newTestTarget(t, "d2", serve)
			daemon, _ := startServing(t, map[string]*testTarget{"desk#1": target, "desk#2": other})
			response, _, err := send(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Empty(t, response.Header.Get("X-Seal"))
			require.EqualValues(t, 1, target.seen.Load()+other.seen.Load(), "the request was sent once")
		})
	}
}

// Guards against a caller that gets the answer to another request: a late answer arrives
// on the connection before the caller's own.
func TestForeignAnswerIsSkipped(t *testing.T) {
	target := newTestTarget(t, "d1", raw(func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nother" +
			"HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nmine"
	}))
	daemon, _ := startServing(t, map[string]*testTarget{"desk": target})
	response, text, err := send(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "mine", text)
}

// Guards against a failure of one target that the caller sees although the request is
// idempotent: the target closes the connection without an answer. The request must be
// retried at another target.
func TestIdempotentRequestIsRetriedAtAnotherTarget(t *testing.T) {
	broken := newTestTarget(t, "d1", raw(func(string) string { return "" }))
	working := newTestTarget(t, "d2", sealed(http.StatusOK, "found"))
	daemon, _ := startServing(t, map[string]*testTarget{"desk#1": broken, "desk#2": working})
	for i := range 6 {
		response, text, err := send(t, daemon, http.MethodGet, "/read/x", fmt.Sprint("id-", i), "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "found", text)
	}
	require.Positive(t, broken.seen.Load(), "no request reached the broken target")
}

// Guards against a resumable stream that fails because its engine answers with an error,
// as an unhealthy engine with a passing health check does for some requests. The request
// must be retried at another engine without the caller noticing.
func TestResumableStreamIsRetriedAfterEngineError(t *testing.T) {
	failing := newTestTarget(t, "e1", sealed(http.StatusInternalServerError, "failed"))
	working := newTestTarget(t, "e2", events(9))
	daemon, _ := startServing(t, map[string]*testTarget{"engines#1": failing, "engines#2": working})
	for i := range 6 {
		response, _, err := send(t, daemon, http.MethodPost, "/resume/x", fmt.Sprint("id-", i), "prompt")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Positive(t, failing.seen.Load(), "no request reached the failing engine")
}

// Guards against a stream that looks complete although its resumption failed: its engine
// crashes midway, and the next engine answers with an error. The caller has the header
// and some events by then. The text of the error must not follow them, and the stream
// must not end without an error.
func TestStreamIsAbortedIfItsResumptionFails(t *testing.T) {
	crashing := newTestTarget(t, "e1", events(3))
	failing := newTestTarget(t, "e2", func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("X-Last") == "" {
			events(3)(writer, request)
			return
		}
		sealed(http.StatusInternalServerError, "failed")(writer, request)
	})
	daemon, _ := startServing(t, map[string]*testTarget{"engines#1": crashing, "engines#2": failing})
	bothReached := false
	for i := range 6 {
		_, text, err := send(t, daemon, http.MethodPost, "/resume/x", fmt.Sprint("id-", i), "prompt")
		require.Error(t, err, "the stream looks complete")
		require.NotContains(t, text, "failed")
		bothReached = bothReached || failing.seen.Load() > 0 && crashing.seen.Load() > 0
	}
	require.True(t, bothReached, "no stream reached both engines")
}

// If all targets are full and state that they did not run a non-idempotent request, the
// caller is told so, and when to retry.
func TestRequestRejectedByAllTargetsIsAnsweredAsNotRun(t *testing.T) {
	full := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("X-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	one, two := newTestTarget(t, "d1", full), newTestTarget(t, "d2", full)
	daemon, _ := startServing(t, map[string]*testTarget{"desk#1": one, "desk#2": two})
	response, _, err := send(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.EqualValues(t, 2, one.seen.Load()+two.seen.Load())
}

// events answers with a stream that starts after the last event that the caller has, and
// breaks in the middle of the event after event breakAfter.
func events(breakAfter int) http.HandlerFunc {
	const lastEvent = 6
	return func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		first := 1
		if last := request.Header.Get("X-Last"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Seal", "s")
		for id := first; id <= lastEvent; id++ {
			if id > breakAfter {
				_, _ = io.WriteString(writer, "id: 9\ndata: ha")
				_ = http.NewResponseController(writer).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: text %d\n\n", id, id)
			_ = http.NewResponseController(writer).Flush()
		}
	}
}

// Guards against a stream that is aborted by the first-byte timeout although no further
// attempt is allowed: its first engine crashes, and the second, the last allowed, sends
// its first byte late.
func TestLastAttemptHasNoFirstByteTimeout(t *testing.T) {
	late := func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("X-Last") == "" {
			events(3)(writer, request)
			return
		}
		select {
		case <-time.After(minFirstByteTimeout + 600*time.Millisecond):
			events(9)(writer, request)
		case <-request.Context().Done():
		}
	}
	targets := map[string]*testTarget{"engines#1": newTestTarget(t, "e1", late), "engines#2": newTestTarget(t, "e2", late)}
	daemon, _ := startServing(t, targets)
	response, text, err := send(t, daemon, http.MethodPost, "/resume/x", "id-1", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Contains(t, text, "text 6", "the stream is incomplete")
}

// Guards against lost or repeated events in a resumable stream: its engine crashes in the
// middle of an event, and the stream is resumed at another engine within the same answer.
func TestStreamIsResumedAtAnotherEngine(t *testing.T) {
	var attempts atomic.Int64
	serve := func(writer http.ResponseWriter, request *http.Request) {
		if attempts.Add(1) == 1 {
			events(3)(writer, request)
			return
		}
		events(9)(writer, request)
	}
	one, two := newTestTarget(t, "e1", serve), newTestTarget(t, "e2", serve)
	daemon, _ := startServing(t, map[string]*testTarget{"engines#1": one, "engines#2": two})
	response, text, err := send(t, daemon, http.MethodPost, "/resume/x", "id-1", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	var want strings.Builder
	for id := 1; id <= 6; id++ {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: text %d\n\n", id, id)
	}
	require.Equal(t, want.String(), text)
	require.EqualValues(t, 1, one.seen.Load())
	require.EqualValues(t, 1, two.seen.Load())
}

// Guards against a truncated stream that looks complete: its engine crashes in the middle
// of an event, and the route does not allow resuming it.
func TestTruncatedStreamEndsWithError(t *testing.T) {
	target := newTestTarget(t, "e1", events(3))
	daemon, _ := startServing(t, map[string]*testTarget{"engines": target})
	_, text, err := send(t, daemon, http.MethodPost, "/draft/x", "id-1", "prompt")
	require.Error(t, err)
	require.NotContains(t, text, "ha", "a partial event was forwarded")
	require.EqualValues(t, 1, target.seen.Load())
}

// Guards against an engine that continues to work on a request whose caller has
// disconnected.
func TestDisconnectedCallerCancelsRequestAtTarget(t *testing.T) {
	cancelled := make(chan struct{})
	target := newTestTarget(t, "e1", func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		select {
		case <-request.Context().Done():
			close(cancelled)
		case <-time.After(10 * time.Second):
		}
	})
	daemon, _ := startServing(t, map[string]*testTarget{"engines": target})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.settings.CallersAddress+"/draft/x", strings.NewReader("prompt"))
	require.NoError(t, err)
	request.Host = "h.example"
	request.Header = http.Header{"X-Id": {"id-1"}, "X-Key": {"k"}, "X-Left": {"9000"}}
	go func() {
		for target.seen.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = http.DefaultClient.Do(request)
	require.Error(t, err)
	select {
	case <-cancelled:
	case <-time.After(8 * time.Second):
		t.Fatal("the target still works on the request")
	}
}

// A daemon without a configuration cannot tell a wrong key or path from one that is
// declared but not known here yet, so it answers neither 401 nor 404.
func TestDaemonWithoutConfigurationAnswersUnavailable(t *testing.T) {
	store := newTestStore()
	store.down.Store(true)
	daemon := startDaemon(t, store)
	response, _, err := send(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.False(t, daemon.Ready())
}

// A daemon whose calls the store rejects gets the configuration, the targets and their
// changes from its peer.
func TestDaemonWithoutStoreLearnsFromItsPeer(t *testing.T) {
	target := newTestTarget(t, "d1", sealed(http.StatusOK, "found"))
	first, store := startServing(t, map[string]*testTarget{"desk": target})
	refused := newTestStore()
	refused.down.Store(true)
	second := startDaemon(t, refused, first.settings.VM)
	require.Eventually(t, second.Ready, 10*time.Second, 10*time.Millisecond)
	response, text, err := send(t, second, http.MethodGet, "/read/x", "id-1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "found", text)
	store.put("t/d1", "")
	require.Eventually(t, func() bool {
		return len(second.Dump().Gate.Targets) == 0
	}, 10*time.Second, 10*time.Millisecond)
}

// During a planned stop the daemon announces at once that it is leaving, and active requests
// are completed.
func TestStopCompletesActiveRequests(t *testing.T) {
	release := make(chan struct{})
	target := newTestTarget(t, "d1", func(writer http.ResponseWriter, request *http.Request) {
		<-release
		sealed(http.StatusOK, "done")(writer, request)
	})
	daemon, _ := startServing(t, map[string]*testTarget{"desk": target})
	answered := make(chan string, 1)
	go func() {
		_, text, err := send(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter")
		answered <- fmt.Sprint(text, err)
	}()
	require.Eventually(t, func() bool { return target.seen.Load() == 1 }, 10*time.Second, time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		daemon.Stop()
		close(stopped)
	}()
	require.Eventually(t, func() bool { return !daemon.Ready() }, 10*time.Second, time.Millisecond)
	close(release)
	require.Equal(t, "done<nil>", <-answered)
	<-stopped
}

// Guards against a request that is sent to a draining target: opening a connection to it
// takes a second, as packets are lost, and meanwhile this daemon learns that the target is
// draining. The request reached it after all other daemons had stopped sending. It must
// be tried at another target instead, as nothing was sent.
func TestRequestIsNotSentToTargetThatLeftWhileConnecting(t *testing.T) {
	leaving := newTestTarget(t, "d1", sealed(http.StatusOK, "left"))
	daemon, store := startServing(t, map[string]*testTarget{"desk#1": leaving})
	call := &call{
		daemon: daemon, writer: httptest.NewRecorder(), ctx: context.Background(), arrived: time.Now(),
		incoming: httptest.NewRequest(http.MethodPost, "/file/x", nil),
		route:    &berylspoke.Route{Kind: berylspoke.NonIdempotent},
		request: &berylgate.Request{
			Service: "desk", Arrived: time.Now(), Objective: time.Minute, Deadline: time.Now().Add(time.Minute), MaxAttempts: 1,
		},
	}
	call.request.Digests = call.digests()
	decision := call.decide()
	require.Nil(t, decision.Refusal)
	store.put("t/d1", "")
	none := func() bool { return !daemon.sendable.accepts(time.Now(), decision.Target.Run()) }
	require.Eventually(t, none, 10*time.Second, 10*time.Millisecond)
	require.False(t, call.attempt(decision), "the request may not be retried")
	require.False(t, call.mayHaveRun)
	require.Zero(t, leaving.seen.Load())
}

// Guards against a logged error that blames the target for a connection that this daemon
// closed after the first-byte timeout.
func TestFirstByteTimeoutIsNamedAsCause(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	failure := &berylconn.SendError{Unsent: true, Cause: net.ErrClosed}
	require.Equal(t, error(failure), withTimeoutCause(ctx, failure))
	cancel(errFirstByteTimeout)
	named := withTimeoutCause(ctx, failure)
	require.ErrorContains(t, named, errFirstByteTimeout.Error())
	var kept *berylconn.SendError
	require.ErrorAs(t, named, &kept, "the error no longer tells whether the request was sent")
	require.True(t, kept.Unsent)
}

// Guards against requests to targets of a failure domain that operators evacuate, and
// against targets that stay unused once the evacuation is withdrawn.
func TestEvacuatedFailureDomainGetsNoRequests(t *testing.T) {
	target := newTestTarget(t, "d1", sealed(http.StatusOK, "done"))
	daemon, store := startServing(t, map[string]*testTarget{"desk": target})
	status := func() int {
		response, _, err := send(t, daemon, http.MethodGet, "/read/x", "id", "")
		require.NoError(t, err)
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, status())
	store.put("c/empty/a", "yes")
	require.Eventually(t, func() bool { return status() == http.StatusServiceUnavailable }, 3*time.Second, 20*time.Millisecond)
	seen := target.seen.Load()
	require.Equal(t, http.StatusServiceUnavailable, status())
	require.Equal(t, seen, target.seen.Load())
	store.put("c/empty/a", "")
	require.Eventually(t, func() bool { return status() == http.StatusOK }, 3*time.Second, 20*time.Millisecond)
}
