package beryledge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylgate"
)

// badPart is the part of a prompt that crashes engines.
const badPart = "bad"

// crashKind is how an engine ends that begins to answer a request with badPart.
type crashKind struct {
	// unframed answers have neither a length nor chunks; written is the body before the crash.
	unframed bool
	written  string
	// silent crashes before the header of the answer.
	silent bool
	// restarts are back under their id before the next connection.
	restarts bool
}

var crashKinds = map[string]crashKind{
	"no answer":                        {silent: true},
	"chunked, half an event":           {written: "id: 1\nda"},
	"chunked, after an event":          {written: "id: 1\ndata: text\n\n"},
	"unframed, half an event":          {unframed: true, written: "id: 1\nda"},
	"unframed, before any event":       {unframed: true},
	"unframed, between events":         {unframed: true, written: "id: 1\ndata: text\n\n"},
	"back at once, no answer":          {silent: true, restarts: true},
	"back at once, half an event":      {unframed: true, written: "id: 1\nda", restarts: true},
	"back at once, before any event":   {unframed: true, restarts: true},
	"back at once, chunked half event": {written: "id: 1\nda", restarts: true},
}

// fragileEngine crashes as it begins to answer a request with badPart.
type fragileEngine struct {
	*testTarget
	kind    crashKind
	crashes *atomic.Int64
	ready   chan struct{}
}

// newFragileEngine starts an engine that crashes; crashes counts the crashes of all.
func newFragileEngine(t *testing.T, id string, kind crashKind, crashes *atomic.Int64) *fragileEngine {
	engine := &fragileEngine{kind: kind, crashes: crashes, ready: make(chan struct{})}
	engine.testTarget = newTestTarget(t, id, engine.answer)
	engine.started.Store(1)
	close(engine.ready)
	return engine
}

// entry is the published value of the engine.
func (engine *fragileEngine) entry() string { return "engines " + engine.address() + " started=1" }

func (engine *fragileEngine) answer(writer http.ResponseWriter, request *http.Request) {
	<-engine.ready
	_, _ = io.Copy(io.Discard, request.Body)
	crashes := slices.Contains(strings.Fields(request.Header.Get("X-Parts")), badPart)
	if !crashes {
		engine.answerWhole(writer, request)
		return
	}
	engine.crashes.Add(1)
	var conn net.Conn
	switch {
	case engine.kind.silent:
	case engine.kind.unframed:
		conn = beginUnframed(writer, request)
		_, _ = io.WriteString(conn, engine.kind.written)
	default:
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Seal", "s")
		_, _ = io.WriteString(writer, engine.kind.written)
		_ = http.NewResponseController(writer).Flush()
	}
	engine.crash(conn)
	if conn == nil {
		<-request.Context().Done()
	}
}

// crash ends the connections of the engine, of which conn is one that the server has handed over.
func (engine *fragileEngine) crash(conn net.Conn) {
	if engine.kind.restarts {
		engine.started.Add(1)
	} else {
		_ = engine.Listener.Close()
	}
	if conn != nil {
		_ = conn.Close()
	}
	go engine.CloseClientConnections()
}

// answerWhole answers in the framing of the engine.
func (engine *fragileEngine) answerWhole(writer http.ResponseWriter, request *http.Request) {
	const body = "id: 1\ndata: text\n\nid: 2\ndata: text\n\n"
	if !engine.kind.unframed {
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Seal", "s")
		_, _ = io.WriteString(writer, body)
		return
	}
	conn := beginUnframed(writer, request)
	_, _ = io.WriteString(conn, body)
	_ = conn.Close()
}

// beginUnframed sends the header of an answer with neither a length nor chunks.
func beginUnframed(writer http.ResponseWriter, request *http.Request) net.Conn {
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the server of a test allows it
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nConnection: close\r\n\r\n", request.Header.Get("X-Id"))
	return conn
}

// startFragile runs two daemons and engines that crash.
func startFragile(t *testing.T, kind crashKind, engines int) (daemons []*Daemon, crashes *atomic.Int64) {
	crashes = new(atomic.Int64)
	store := newTestStore()
	store.put("c/1", "catalog")
	for i := range engines {
		engine := newFragileEngine(t, fmt.Sprint("e", i), kind, crashes)
		store.put("t/"+engine.id, engine.entry())
	}
	first := startDaemon(t, store)
	second := startDaemon(t, store, first.settings.VM)
	daemons = []*Daemon{first, second}
	for _, daemon := range daemons {
		require.Eventually(t, func() bool { return daemon.Ready() && len(daemon.entries.Load().domains) == 2 }, 10*time.Second, 10*time.Millisecond)
		fillRetryBudget(daemon)
	}
	return daemons, crashes
}

// partsHeader returns the header that names the parts of a prompt.
func partsHeader(names ...string) http.Header {
	return http.Header{"X-Parts": {strings.Join(names, " ")}}
}

// sendUntilRefused sends unlike requests with badPart, one after the other at all daemons, until
// all of them refuse several in a row, and returns the last refusal.
func sendUntilRefused(t *testing.T, daemons []*Daemon, most int, with ...string) *http.Response {
	const inARow, pause = 6, 200 * time.Millisecond
	refused := 0
	for i := range most {
		own := fmt.Sprint("own-", i)
		response, body, err := sendParts(t, daemons[i%len(daemons)], "/resume/x", own, own, partsHeader(append(with, badPart, own)...))
		if refused++; err != nil || body != "crashesTargets\n" {
			refused = 0
		}
		if refused == inARow {
			return response
		}
		time.Sleep(pause)
	}
	require.Fail(t, "requests are not refused")
	return nil
}

// requireServed requires that requests with the given parts are served by all daemons.
func requireServed(t *testing.T, daemons []*Daemon, names ...string) {
	for i := range 6 {
		own := fmt.Sprint("sound-", strings.Join(names, "-"), i)
		response, _, err := sendParts(t, daemons[i%len(daemons)], "/resume/x", own, own, partsHeader(append(names, own)...))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, "parts %v, request %d", names, i)
	}
}

// Guards against requests that share one part of their prompts, and are otherwise unlike, and take
// down engine after engine, however the engines end; and against the refusal of sound requests
// that share their other parts.
func TestPartThatCrashesTargetsIsRefusedWhateverElseARequestHolds(t *testing.T) {
	const engines, most = 14, 5
	for name, kind := range crashKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			daemons, crashes := startFragile(t, kind, engines)
			requireServed(t, daemons, "first")
			response := sendUntilRefused(t, daemons, 30, "first")
			require.LessOrEqual(t, crashes.Load(), int64(most))
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			requireServed(t, daemons, "first")
			requireServed(t, daemons, "first", "another")
		})
	}
}

// Guards against the refusal of a part that was seen beside the one that crashes targets only: sound
// requests with it come later.
func TestPartThatTravelsWithOneThatCrashesTargetsIsServed(t *testing.T) {
	daemons, crashes := startFragile(t, crashKinds["no answer"], 14)
	sendUntilRefused(t, daemons, 30, "companion")
	requireServed(t, daemons, "companion")
	before := crashes.Load()
	sendUntilRefused(t, daemons, 6, "companion")
	sendUntilRefused(t, daemons, 8)
	require.LessOrEqual(t, crashes.Load(), before+1)
	require.LessOrEqual(t, crashes.Load(), int64(5))
}

// Guards against streams that end with a crash of their engine and are passed on as complete.
func TestUnframedStreamThatACrashEndsIsNotComplete(t *testing.T) {
	for _, name := range []string{
		"unframed, before any event", "unframed, between events", "unframed, half an event",
		"back at once, before any event", "back at once, half an event",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			daemons, _ := startFragile(t, crashKinds[name], 1)
			response, body, err := sendParts(t, daemons[0], "/draft/x", "id", "id", partsHeader(badPart, "own"))
			require.True(t, err != nil || response.StatusCode != http.StatusOK, "stream of %d bytes looks complete", len(body))
		})
	}
}

// Guards against answers that a crash cuts and that are passed on as complete, as the check whether their
// target lives finds nothing in time.
func TestUnframedAnswerOfATargetThatIsSilentAfterItIsNotComplete(t *testing.T) {
	begin := func(body string) http.HandlerFunc {
		return func(writer http.ResponseWriter, request *http.Request) {
			conn := beginUnframed(writer, request)
			_, _ = io.WriteString(conn, body)
			_ = conn.Close()
		}
	}
	desk, engine := newTestTarget(t, "d", begin("half an ans")), newTestTarget(t, "e", begin("id: 1\ndata: text\n\n"))
	desk.silent.Store(true)
	engine.silent.Store(true)
	daemon, _ := startServing(t, map[string]*testTarget{"desk": desk, "engines": engine})
	for _, path := range []string{"/file/x", "/draft/x"} {
		response, body, err := send(t, daemon, http.MethodPost, path, "id"+path, "")
		require.True(t, err != nil || response.StatusCode == http.StatusBadGateway, "%s: %q looks complete", path, body)
	}
	desk.silent.Store(false)
	engine.silent.Store(false)
	for _, path := range []string{"/file/x", "/draft/x"} {
		require.Eventually(t, func() bool {
			response, _, err := send(t, daemon, http.MethodPost, path, "again"+path, "")
			return err == nil && response.StatusCode == http.StatusOK
		}, 5*time.Second, 50*time.Millisecond, "an answer of a target that lives is complete")
	}
}

// Guards against a plain answer that is cut by a crash of its target and passed on as complete.
func TestUnframedAnswerThatACrashEndsIsNotComplete(t *testing.T) {
	var target *testTarget
	target = newTestTarget(t, "d", func(writer http.ResponseWriter, request *http.Request) {
		conn := beginUnframed(writer, request)
		_, _ = io.WriteString(conn, "half an ans")
		_ = target.Listener.Close()
		_ = conn.Close()
	})
	daemon, _ := startServing(t, map[string]*testTarget{"desk": target})
	response, _, err := send(t, daemon, http.MethodPost, "/file/x", "id", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
}

// Guards against a part that is cleared by an answer that brought nothing of a stream: a target may
// answer with a failure before it begins.
func TestOnlyAnAnswerThatBeginsClearsAPart(t *testing.T) {
	begunAt := time.Unix(1000, 0)
	streaming, plain := &berylspoke.Route{Kind: berylspoke.Streaming}, &berylspoke.Route{Kind: berylspoke.Idempotent}
	require.Zero(t, (&call{route: streaming, status: http.StatusNotFound}).provenAt(berylgate.Succeeded))
	require.Zero(t, (&call{route: streaming, status: http.StatusOK}).provenAt(berylgate.Succeeded))
	require.Zero(t, (&call{route: streaming, status: http.StatusOK, begunAt: begunAt}).provenAt(berylgate.Broken))
	require.Equal(t, begunAt, (&call{route: streaming, status: http.StatusOK, begunAt: begunAt}).provenAt(berylgate.Succeeded))
	require.NotZero(t, (&call{route: plain, status: http.StatusNotFound}).provenAt(berylgate.Succeeded))
}
