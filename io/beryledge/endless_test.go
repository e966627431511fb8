package beryledge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"berylspoke"
)

// endlessTarget answers each request with some bytes and then repeats others until the connection
// is closed.
type endlessTarget struct {
	*testTarget
	// written counts the bytes, asked the requests.
	written, asked atomic.Int64
}

func newEndlessTarget(t *testing.T, id, begin, repeat string) *endlessTarget {
	target := new(endlessTarget)
	target.testTarget = newTestTarget(t, id, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		conn, _, err := writer.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		target.asked.Add(1)
		text := strings.ReplaceAll(begin, "ID", request.Header.Get("X-Id"))
		for {
			count, err := io.WriteString(conn, text)
			target.written.Add(int64(count))
			if err != nil {
				return
			}
			text = repeat
		}
	})
	return target
}

const (
	// socketBytes is what the sockets of both ends may hold of what is written and not read.
	socketBytes = 8 << 20
	answerHead  = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n"
	chunkedTo   = answerHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// Guards against a process that falls to one target's answer, or passes a part of it on as the whole:
// bytes come without end, in a head or a body, until the daemon closes.
func TestAnswersWithoutEndAreCutAndNotPassedOn(t *testing.T) {
	const memoryBytes = 128 << 20
	filler := strings.Repeat("x", 4096)
	for name, test := range map[string]struct {
		begin, repeat string
		// most is what each request may read of it.
		most int64
	}{
		"status line":     {"HTTP/1.1 200 O", filler, 1 << 20},
		"header name":     {answerHead, filler, 1 << 20},
		"header value":    {answerHead + "X-Long: ", filler, 1 << 20},
		"header lines":    {answerHead, strings.Repeat("X-Line: a\r\n", 400), 1 << 20},
		"interim answers": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", 100), 1 << 20},
		"other answers":   {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4096\r\n\r\n" + filler, 4 << 20},
		"body":            {answerHead + "\r\n", filler, 24 << 20},
		"chunks":          {chunkedTo, fmt.Sprintf("1000\r\n%s\r\n", filler), 24 << 20},
		"chunk size":      {chunkedTo, strings.Repeat("0", 4096), 1 << 20},
		"chunk extension": {chunkedTo + "5;", filler, 1 << 20},
		"trailer":         {chunkedTo + "0\r\n", strings.Repeat("X-Line: a\r\n", 400), 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			desk, engine := newEndlessTarget(t, "d", test.begin, test.repeat), newEndlessTarget(t, "e", test.begin, test.repeat)
			daemon, _ := startServingIn(t, memoryBytes, map[string]*testTarget{"desk": desk.testTarget, "engines": engine.testTarget})
			for _, path := range []string{"/read/x", "/file/x", "/resume/x", "/draft/x"} {
				for _, target := range []*endlessTarget{desk, engine} {
					target.written.Store(0)
					target.asked.Store(0)
				}
				sent := time.Now()
				response, body, err := send(t, daemon, http.MethodPost, path, "id"+path, "prompt")
				require.True(t, err != nil || response.StatusCode >= http.StatusInternalServerError, "%s: %d bytes are passed on", path, len(body))
				if err == nil && path == "/file/x" {
					require.Equal(t, http.StatusBadGateway, response.StatusCode, "it may have run")
				}
				require.Less(t, time.Since(sent), 3*time.Second)
				asked := desk.asked.Load() + engine.asked.Load()
				require.NotZero(t, asked)
				require.LessOrEqual(t, desk.written.Load()+engine.written.Load(), asked*(test.most+socketBytes), path)
				// A target that failed is paused.
				time.Sleep(300 * time.Millisecond)
			}
			require.Zero(t, daemon.answerMemory.Used())
		})
	}
}

// startServingIn is startServing in a process of some memory.
func startServingIn(t *testing.T, memoryBytes int64, targets map[string]*testTarget) (*Daemon, *testStore) {
	store := newTestStore()
	store.put("c/1", "catalog")
	for service, target := range targets {
		store.put("t/"+target.id, service+" "+target.address())
	}
	daemon := startConfigured(t, zap.NewNop(), 8*time.Second, store, testDialect{testCatalog()}, "a", map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"},
		func(settings *Settings) { settings.MemoryBytes = memoryBytes })
	require.Eventually(t, daemon.Ready, 10*time.Second, 10*time.Millisecond)
	fillRetryBudget(daemon)
	return daemon, store
}

// Guards against many answers that are each small enough and together take the memory of the process.
func TestBufferedAnswersAreBoundedTogether(t *testing.T) {
	const memoryBytes, requests = 64 << 20, 24
	var held atomic.Int64
	free := make(chan struct{})
	size := int64(memoryBytes/answerShare) - 1
	target := newTestTarget(t, "d", func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Seal", "s")
		_, _ = io.WriteString(writer, strings.Repeat("x", int(size)))
		_ = http.NewResponseController(writer).Flush()
		held.Add(1)
		<-free
	})
	daemon, _ := startServingIn(t, memoryBytes, map[string]*testTarget{"desk": target})
	statuses := make(chan int, requests)
	for i := range requests {
		go func() {
			response, _, err := send(t, daemon, http.MethodPost, "/file/x", fmt.Sprint("id-", i), "")
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	require.Eventually(t, func() bool { return held.Load() == requests }, 4*time.Second, 10*time.Millisecond)
	require.LessOrEqual(t, daemon.answerMemory.Used(), int64(memoryBytes/answersShare))
	close(free)
	served := 0
	for range requests {
		if status := <-statuses; status == http.StatusOK {
			served++
		} else {
			require.Equal(t, http.StatusBadGateway, status)
		}
	}
	require.NotZero(t, served)
	require.Less(t, served, requests)
	require.Eventually(t, func() bool { return daemon.answerMemory.Used() == 0 }, time.Second, 10*time.Millisecond)
}

// Guards against an answer with an empty or short body that its caller takes for whole: its target stops
// in the middle of the head, or of what follows, and closes.
func TestAnswerThatStopsMidwayIsNotPassedOn(t *testing.T) {
	const events = "id: 1\ndata: text\n\nid: 2\ndata: end\n\n"
	head := func(id string) string { return strings.ReplaceAll(answerHead, "ID", id) }
	answers := map[string]func(id string) string{
		"with a length": func(id string) string {
			return head(id) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events), events)
		},
		"in chunks": func(id string) string {
			return head(id) + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events)
		},
		"a failure": func(id string) string {
			return "HTTP/1.1 404 Not Found\r\nX-Id: " + id + "\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nnone"
		},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var length atomic.Int64
			stops := raw(func(id string) string { return answer(id)[:length.Load()] })
			daemon, _ := startServing(t, map[string]*testTarget{"desk": newTestTarget(t, "d", stops), "engines": newTestTarget(t, "e", stops)})
			for number := 0; number < len(answer("id-000")); number++ {
				length.Store(int64(number))
				id := fmt.Sprintf("id-%03d", number)
				if name == "in chunks" && strings.HasSuffix(answer(id)[:number], "\r\n0\r\n") {
					// Only the end of an empty trailer is missing.
					continue
				}
				for _, path := range []string{"/file/x", "/draft/x"} {
					response, body, err := send(t, daemon, http.MethodPost, path, id, "")
					require.True(t, err != nil || response.StatusCode >= http.StatusInternalServerError, "%s: %q is passed on as %d with %q", path, answer(id)[:number], statusOf(response), body)
				}
			}
		})
	}
}

func statusOf(response *http.Response) int {
	if response == nil {
		return 0
	}
	return response.StatusCode
}
