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

// A request passes to a target unchanged but for what only the fleet may say,
// and the target's answer comes back unchanged.
func TestRequestPassesUnchanged(t *testing.T) {
	var got *http.Request
	var body string
	target := newTestTarget(t, "d1", func(writer http.ResponseWriter, request *http.Request) {
		read, _ := io.ReadAll(request.Body)
		got, body = request.Clone(context.Background()), string(read)
		sealed(http.StatusCreated, "done")(writer, request)
	})
	daemon, _ := startServing(t, map[string]*testTarget{"desk": target})
	response, text, err := ask(t, daemon, http.MethodPost, "/file/a%2Fb/?q=1&q=%20", "id-1", "a letter")
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

// Answers that are no target's own: cut, not sealed, of another request, in an
// encoding, or no HTTP at all. None may reach a caller as a success, and a
// filing that may have run is neither repeated nor refused as not run.
func TestSpoiltAnswersNeverPass(t *testing.T) {
	spoilt := map[string]http.HandlerFunc{
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
	for name, serve := range spoilt {
		t.Run(name, func(t *testing.T) {
			target := newTestTarget(t, "d1", serve)
			other := newTestTarget(t, "d2", serve)
			daemon, _ := startServing(t, map[string]*testTarget{"desk#1": target, "desk#2": other})
			response, _, err := ask(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Empty(t, response.Header.Get("X-Seal"))
			require.EqualValues(t, 1, target.seen.Load()+other.seen.Load(), "the filing was sent once")
		})
	}
}

// The answer of an earlier request comes late, where the next one is due. The
// caller must get its own answer, which follows.
func TestForeignAnswerIsSkipped(t *testing.T) {
	target := newTestTarget(t, "d1", raw(func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nother" +
			"HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nmine"
	}))
	daemon, _ := startServing(t, map[string]*testTarget{"desk": target})
	response, text, err := ask(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "mine", text)
}

// A target breaks off. A lookup goes on at another one; the caller sees nothing
// of it.
func TestLookupGoesOnElsewhere(t *testing.T) {
	broken := newTestTarget(t, "d1", raw(func(string) string { return "" }))
	sound := newTestTarget(t, "d2", sealed(http.StatusOK, "found"))
	daemon, _ := startServing(t, map[string]*testTarget{"desk#1": broken, "desk#2": sound})
	for i := range 6 {
		response, text, err := ask(t, daemon, http.MethodGet, "/read/x", fmt.Sprint("id-", i), "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "found", text)
	}
	require.Positive(t, broken.seen.Load(), "the test never met the broken target")
}

// An engine answers that it failed, as a share of them does when it is unhealthy
// and its health check is good. A draft that may be resumed goes on at another
// engine; the caller sees nothing of it.
func TestResumableDraftSurvivesAFailedEngine(t *testing.T) {
	failing := newTestTarget(t, "e1", sealed(http.StatusInternalServerError, "failed"))
	sound := newTestTarget(t, "e2", events(9))
	daemon, _ := startServing(t, map[string]*testTarget{"engines#1": failing, "engines#2": sound})
	for i := range 6 {
		response, _, err := ask(t, daemon, http.MethodPost, "/resume/x", fmt.Sprint("id-", i), "prompt")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Positive(t, failing.seen.Load(), "the test never met the failing engine")
}

// A draft stops midway as its engine crashes, and the engine at which it goes on
// answers that it failed. The caller has a header and some events by then. The
// failure's text must not be joined to them, nor the stream end as if it were whole:
// the caller must see that it broke off.
func TestStreamThatFailsAsItGoesOnIsBrokenOff(t *testing.T) {
	crashing := newTestTarget(t, "e1", events(3))
	failing := newTestTarget(t, "e2", func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("X-Last") == "" {
			events(3)(writer, request)
			return
		}
		sealed(http.StatusInternalServerError, "failed")(writer, request)
	})
	daemon, _ := startServing(t, map[string]*testTarget{"engines#1": crashing, "engines#2": failing})
	met := false
	for i := range 6 {
		_, text, err := ask(t, daemon, http.MethodPost, "/resume/x", fmt.Sprint("id-", i), "prompt")
		require.Error(t, err, "the stream seems whole")
		require.NotContains(t, text, "failed")
		met = met || failing.seen.Load() > 0 && crashing.seen.Load() > 0
	}
	require.True(t, met, "the test never met both engines")
}

// All targets are full and say that they did not run the filing. So it is
// refused truthfully, and the caller is told when to come back.
func TestTurnedFilingIsRefusedTruthfully(t *testing.T) {
	full := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("X-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	one, two := newTestTarget(t, "d1", full), newTestTarget(t, "d2", full)
	daemon, _ := startServing(t, map[string]*testTarget{"desk#1": one, "desk#2": two})
	response, _, err := ask(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.EqualValues(t, 2, one.seen.Load()+two.seen.Load())
}

// events answers with a stream that breaks off within an event after some, and
// goes on after the last event that the caller has.
func events(breakAfter int) http.HandlerFunc {
	const all = 6
	return func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		first := 1
		if last := request.Header.Get("X-Last"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Seal", "s")
		for id := first; id <= all; id++ {
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

// Guards against a stream that is broken off for silence although no other engine may
// follow: its first engine dies, and the second, the last allowed, begins late.
func TestLastAttemptIsNotEndedForSilence(t *testing.T) {
	late := func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("X-Last") == "" {
			events(3)(writer, request)
			return
		}
		select {
		case <-time.After(patienceLeast + 600*time.Millisecond):
			events(9)(writer, request)
		case <-request.Context().Done():
		}
	}
	targets := map[string]*testTarget{"engines#1": newTestTarget(t, "e1", late), "engines#2": newTestTarget(t, "e2", late)}
	daemon, _ := startServing(t, targets)
	response, text, err := ask(t, daemon, http.MethodPost, "/resume/x", "id-1", "prompt")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Contains(t, text, "text 6", "the whole stream")
}

// An engine dies in the middle of an event. A resumable stream goes on at
// another engine within the same answer, and the caller has every event once.
func TestStreamGoesOnElsewhere(t *testing.T) {
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
	response, text, err := ask(t, daemon, http.MethodPost, "/resume/x", "id-1", "prompt")
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

// The same, but the route does not allow to resume. The caller must see that
// its answer is not whole.
func TestBrokenStreamLooksBroken(t *testing.T) {
	target := newTestTarget(t, "e1", events(3))
	daemon, _ := startServing(t, map[string]*testTarget{"engines": target})
	_, text, err := ask(t, daemon, http.MethodPost, "/draft/x", "id-1", "prompt")
	require.Error(t, err)
	require.NotContains(t, text, "ha", "half an event was passed on")
	require.EqualValues(t, 1, target.seen.Load())
}

// A caller leaves while its answer is made. The engine must not work on for
// nobody.
func TestCallerLeavesAndTheTargetIsFreed(t *testing.T) {
	left := make(chan struct{})
	target := newTestTarget(t, "e1", func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		select {
		case <-request.Context().Done():
			close(left)
		case <-time.After(10 * time.Second):
		}
	})
	daemon, _ := startServing(t, map[string]*testTarget{"engines": target})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.settings.Callers+"/draft/x", strings.NewReader("prompt"))
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
	case <-left:
	case <-time.After(8 * time.Second):
		t.Fatal("the target still works")
	}
}

// A daemon that knows no configuration cannot tell a wrong key or path from one
// that is about to be declared, so it says neither 401 nor 404.
func TestStartingDaemonRefusesNothingForGood(t *testing.T) {
	store := newTestStore()
	store.down.Store(true)
	daemon := startDaemon(t, store)
	response, _, err := ask(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.False(t, daemon.Ready())
}

// The store turns one daemon away. It learns everything from its peer: the
// configuration, the targets, and their changes.
func TestDaemonWithoutStoreLearnsFromItsPeer(t *testing.T) {
	target := newTestTarget(t, "d1", sealed(http.StatusOK, "found"))
	first, store := startServing(t, map[string]*testTarget{"desk": target})
	refused := newTestStore()
	refused.down.Store(true)
	second := startDaemon(t, refused, first.settings.VM)
	require.Eventually(t, second.Ready, 10*time.Second, 10*time.Millisecond)
	response, text, err := ask(t, second, http.MethodGet, "/read/x", "id-1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "found", text)
	store.put("t/d1", "")
	require.Eventually(t, func() bool {
		return len(second.Dump().Gate.Targets) == 0
	}, 10*time.Second, 10*time.Millisecond)
}

// A stop is planned. Requests that are here end whole, the daemon is announced
// as leaving at once, and a stream that comes late is told truthfully that it
// did not run.
func TestStopCutsNothing(t *testing.T) {
	release := make(chan struct{})
	target := newTestTarget(t, "d1", func(writer http.ResponseWriter, request *http.Request) {
		<-release
		sealed(http.StatusOK, "done")(writer, request)
	})
	daemon, _ := startServing(t, map[string]*testTarget{"desk": target})
	answered := make(chan string, 1)
	go func() {
		_, text, err := ask(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter")
		answered <- fmt.Sprint(text, err)
	}()
	require.Eventually(t, func() bool { return target.seen.Load() == 1 }, 10*time.Second, time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		daemon.Stop()
		close(stopped)
	}()
	require.Eventually(t, func() bool { return !daemon.Ready() }, 10*time.Second, time.Millisecond)
	require.False(t, daemon.tooLate(time.Unix(0, daemon.stopBegan.Load()).Add(time.Second), berylspoke.Streaming))
	require.True(t, daemon.tooLate(time.Unix(0, daemon.stopBegan.Load()).Add(3*time.Second), berylspoke.Streaming))
	close(release)
	require.Equal(t, "done<nil>", <-answered)
	<-stopped
}

// A caller's request is decided for an engine, and opening a connection to it takes
// a second, as packets are lost. Meanwhile the engine leaves and this daemon hears of
// it. The request reached the leaving engine, later than any other daemon would have
// sent one. It goes to another engine instead, as nothing was sent.
func TestRequestOnItsWayDoesNotReachATargetThatLeft(t *testing.T) {
	leaving := newTestTarget(t, "d1", sealed(http.StatusOK, "left"))
	daemon, store := startServing(t, map[string]*testTarget{"desk#1": leaving})
	call := &call{
		daemon: daemon, writer: httptest.NewRecorder(), ctx: context.Background(), arrived: time.Now(),
		in:    httptest.NewRequest(http.MethodPost, "/file/x", nil),
		route: &berylspoke.Route{Kind: berylspoke.NonIdempotent},
		request: &berylgate.Request{
			Service: "desk", Arrived: time.Now(), Objective: time.Minute, Deadline: time.Now().Add(time.Minute), Attempts: 1,
		},
	}
	decision := call.decide()
	require.Nil(t, decision.Refusal)
	store.put("t/d1", "")
	require.Eventually(t, func() bool { return len(*daemon.taking.Load()) == 0 }, 10*time.Second, 10*time.Millisecond)
	require.False(t, call.attempt(decision), "the request may go on elsewhere")
	require.False(t, call.mayHaveRun)
	require.Zero(t, leaving.seen.Load())
}

// Guards against a log that blames the target for a connection which this daemon closed.
func TestSilenceIsNamedAsTheCause(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	failure := &berylconn.Failure{Unsent: true, Cause: net.ErrClosed}
	require.Equal(t, error(failure), silenced(ctx, failure))
	cancel(errImpatient)
	named := silenced(ctx, failure)
	require.ErrorContains(t, named, errImpatient.Error())
	var kept *berylconn.Failure
	require.ErrorAs(t, named, &kept, "whether it was sent still counts")
	require.True(t, kept.Unsent)
}

// Guards against requests to targets of a failure domain that operators empty, and
// against targets that stay unused once it is taken back.
func TestEmptiedFailureDomainGetsNothing(t *testing.T) {
	target := newTestTarget(t, "d1", sealed(http.StatusOK, "done"))
	daemon, store := startServing(t, map[string]*testTarget{"desk": target})
	status := func() int {
		response, _, err := ask(t, daemon, http.MethodGet, "/read/x", "id", "")
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
