package beryledge

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"berylspoke"
	"berylspoke/core/beryladmission"
	"berylspoke/core/berylgate"
)

// countingDialect counts the requests that are parsed.
type countingDialect struct {
	testDialect
	parsed *atomic.Int64
}

func (dialect countingDialect) ParseRequest(header http.Header) (berylspoke.RequestInfo, error) {
	dialect.parsed.Add(1)
	return dialect.testDialect.ParseRequest(header)
}

// holdSlots takes all slots of the admission queue and returns a function that releases
// them.
func holdSlots(daemon *Daemon) (free func()) {
	var held []*slot
	for range slotsPerCore * runtime.GOMAXPROCS(0) {
		held = append(held, daemon.admission.acquireSlot(demand{}))
	}
	return func() {
		for _, slot := range held {
			slot.release()
		}
	}
}

// makeOverloaded lets one request wait for the processor, which then counts as overloaded
// for a while.
func makeOverloaded(daemon *Daemon) {
	free := holdSlots(daemon)
	waiting := make(handlerWaiter, 1)
	daemon.admission.offer(demand{organisation: "parish"}, waiting)
	free()
	if <-waiting {
		daemon.admission.newSlot(demand{}).release()
	}
}

// overloadUntilOverCap keeps the processor overloaded until the core has told the queue
// that an organisation is beyond its cap.
func overloadUntilOverCap(t *testing.T, daemon *Daemon, organisation berylspoke.OrganisationID) {
	t.Helper()
	require.Eventually(t, func() bool {
		makeOverloaded(daemon)
		return daemon.admission.reject(demand{organisation: organisation, tokens: 1}) == beryladmission.OverCap
	}, 5*time.Second, time.Millisecond)
}

// exceedCap makes an organisation receive many times its cap.
func exceedCap(daemon *Daemon, organisation berylspoke.OrganisationID) {
	daemon.inspectCore(func(now time.Time, core *core) {
		for range 40 {
			request := &berylgate.Request{
				Service: "engines", Organisation: organisation, Arrived: now, Objective: time.Hour, Input: 50_000,
			}
			core.gate.Submit(now, request)
			core.gate.AttemptEnded(now, request, berylgate.Abandoned)
		}
	})
}

// Guards against a CPU-starved VM that parses requests of an organisation beyond its cap
// only to refuse them.
func TestOverCapRequestsAreRejectedUnparsed(t *testing.T) {
	parsed := new(atomic.Int64)
	target := newTestTarget(t, "e1", events(9))
	dialect := countingDialect{testDialect{testCatalog()}, parsed}
	daemon, _ := startServingWith(t, map[string]*testTarget{"engines": target}, dialect)
	exceedCap(daemon, "union")
	overloadUntilOverCap(t, daemon, "union")
	// The listener may be blocked in an accept that bypasses the admission queue.
	_, _ = sendRaw(daemon.settings.CallersAddress, "", "first")
	overloadUntilOverCap(t, daemon, "union")
	parsed.Store(0)
	for i := range 20 {
		overloadUntilOverCap(t, daemon, "union")
		status, retryAfter := sendRawTo(daemon.settings.CallersAddress, "/draft/x", "u", fmt.Sprint("u-", i))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, retryAfter)
	}
	require.Zero(t, parsed.Load())
	require.Zero(t, target.seen.Load())
	makeOverloaded(daemon)
	status, _ := sendRawTo(daemon.settings.CallersAddress, "/draft/x", "k", "k-1")
	require.Equal(t, http.StatusOK, status, "others are served")
}

// Guards against a VM that admits requests beyond a cap until the next regular tick because
// nothing tells the core that its processor is overloaded.
func TestOverloadIsReportedAtOnce(t *testing.T) {
	daemon, _ := startServing(t, map[string]*testTarget{"desk": newTestTarget(t, "d1", sealed(http.StatusOK, "done"))})
	reports := daemon.meters.coreMessages[overloadMessage].Get
	require.Zero(t, reports())
	makeOverloaded(daemon)
	makeOverloaded(daemon)
	require.Eventually(t, func() bool { return reports() == 1 }, time.Second, time.Millisecond, "once")
	require.Eventually(t, func() bool {
		daemon.admission.mutex.Lock()
		defer daemon.admission.mutex.Unlock()
		return !daemon.admission.reported
	}, time.Second, time.Millisecond, "its end is noticed")
}

// Guards against rejections that use up the processor time they are meant to save: in a
// flood many times as many requests are rejected as served.
func TestRejectedRequestIsNotCopied(t *testing.T) {
	const rejected, allocated = 2_000, 512
	daemon, _ := startServing(t, map[string]*testTarget{"desk": newTestTarget(t, "d1", sealed(http.StatusOK, "done"))})
	for daemon.admission.reject(demand{organisation: "union"}) == beryladmission.NotRejected {
		daemon.admission.offer(demand{organisation: "union"}, make(handlerWaiter, 1))
	}
	listener := newAdmissionListener(nil, daemon)
	request := append([]byte("POST /file/x HTTP/1.1\r\nHost: h.example\r\nX-Key: u\r\n\r\n"), bytes.Repeat([]byte{'x'}, 4<<10)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range rejected {
		pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		require.NoError(t, err)
		_, err = unix.Write(pair[0], request)
		require.NoError(t, err)
		listener.read(pendingConn{descriptor: pair[1]}, true)
		require.NoError(t, unix.Close(pair[0]))
	}
	runtime.ReadMemStats(&after)
	require.Less(t, (after.TotalAlloc-before.TotalAlloc)/rejected, uint64(allocated))
}

// Guards against requests that are parsed before they are rejected because they arrive on
// connections kept open after requests of their organisation that were served.
func TestMostlyRejectedOrganisationsKeepNoConnections(t *testing.T) {
	const offered = 40
	target := newTestTarget(t, "d1", sealed(http.StatusOK, "done"))
	daemon, _ := startServing(t, map[string]*testTarget{"desk": target})
	free := holdSlots(daemon)
	rejected := make(handlerWaiter, offered)
	for range offered {
		daemon.admission.offer(demand{organisation: "clergy"}, rejected)
	}
	for range offered {
		time.Sleep(expiryCheckDelay / offered)
		daemon.admission.expire()
	}
	free()
	for key, closes := range map[string]bool{"k": true, "u": false} {
		request, err := http.NewRequest(http.MethodPost, "http://"+daemon.settings.CallersAddress+"/file/x", nil)
		require.NoError(t, err)
		request.Host = "h.example"
		request.Header = http.Header{"X-Id": {"id-" + key}, "X-Key": {key}, "X-Left": {"4000"}}
		response, err := http.DefaultTransport.RoundTrip(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, closes, response.Close, "key %s", key)
	}
}

// Guards against requests that wait in the admission queue, or for the server, as the server closes, and
// whose connections are closed without an answer.
func TestQueuedRequestsAreAnsweredAsTheServerCloses(t *testing.T) {
	daemon, _ := startServing(t, map[string]*testTarget{"desk": newTestTarget(t, "d1", sealed(http.StatusOK, "done"))})
	free := holdSlots(daemon)
	defer free()
	listener := newAdmissionListener(nil, daemon)
	request := []byte("POST /file/x HTTP/1.1\r\nHost: h.example\r\nX-Key: u\r\n\r\n")
	answer := func(act func(waiter *connWaiter)) string {
		server, client := connPair(t)
		listener.queued.Add(1)
		act(&connWaiter{listener: listener, descriptor: server, head: bytes.Clone(request)})
		text, err := io.ReadAll(client)
		require.NoError(t, err)
		return string(text)
	}
	for name, act := range map[string]func(*connWaiter){
		"queued": func(waiter *connWaiter) {
			daemon.admission.offer(demand{organisation: "union"}, waiter)
			listener.rejectPending()
			listener.rejectQueued(time.Now().Add(time.Second))
		},
		"admitted": func(waiter *connWaiter) {
			listener.closed.Store(false)
			waiter.decided(true)
			listener.rejectPending()
		},
		"admitted later": func(waiter *connWaiter) {
			listener.rejectPending()
			waiter.decided(true)
		},
	} {
		require.Contains(t, answer(act), "503 Service Unavailable", name)
	}
	require.Zero(t, listener.queued.Load())
}

// connPair returns the descriptor of one end of a connection, and the other end.
func connPair(t *testing.T) (server int, client net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
	accepted, err := listener.Accept()
	require.NoError(t, err)
	file, err := accepted.(*net.TCPConn).File()
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	require.NoError(t, accepted.Close())
	server, err = unix.Dup(int(file.Fd()))
	require.NoError(t, err)
	require.NoError(t, unix.SetNonblock(server, true), "as the listener accepts it")
	return server, client
}
