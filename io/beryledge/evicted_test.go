package beryledge

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// evictAll evicts the connections of a daemon's callers once there is a number of them that have begun a request.
func evictAll(t *testing.T, daemon *Daemon, begun int) {
	t.Helper()
	listener := daemon.callerListener
	conns := func() (found []*callerConn) {
		listener.mutex.Lock()
		defer listener.mutex.Unlock()
		for conn := range listener.conns {
			if conn.used() {
				found = append(found, conn)
			}
		}
		return found
	}
	require.Eventually(t, func() bool { return len(conns()) == begun }, 10*time.Second, time.Millisecond)
	for _, conn := range conns() {
		conn.evict()
	}
}

// Guards against a request that is evicted while it arrives and runs, or ends without a promise.
func TestEvictedRequestIsRefusedAsNotRun(t *testing.T) {
	desk := newTestTarget(t, "d", func(http.ResponseWriter, *http.Request) {})
	daemon, _ := startServing(t, map[string]*testTarget{"desk": desk})
	caller := dialRaw(t, daemon)
	text := rawRequest("/file/x", "id", strings.Repeat("b", 100_000))
	caller.write(t, text[:len(text)-1])
	require.Eventually(t, func() bool { return len(daemon.calls.all()) == 1 }, 10*time.Second, time.Millisecond)
	evictAll(t, daemon, 1)
	response, err := caller.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	_, _ = io.WriteString(caller, text[len(text)-1:])
	require.Eventually(t, func() bool { return daemon.callerListener.openConns() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, desk.seen.Load())
}

// Guards against a request in service that is cut as its connection is evicted late, and against a connection that
// stays open then.
func TestRequestInServiceIsAnsweredThoughEvicted(t *testing.T) {
	var begun atomic.Bool
	goOn := make(chan struct{})
	desk := newTestTarget(t, "d", func(writer http.ResponseWriter, request *http.Request) {
		begun.Store(true)
		<-goOn
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Seal", "s")
		_, _ = io.WriteString(writer, "filed")
	})
	daemon, _ := startServing(t, map[string]*testTarget{"desk": desk})
	caller := dialRaw(t, daemon)
	caller.write(t, rawRequest("/file/x", "id", "text"))
	require.Eventually(t, begun.Load, 10*time.Second, time.Millisecond)
	evictAll(t, daemon, 1)
	close(goOn)
	response, err := caller.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.EqualValues(t, len("filed"), response.ContentLength)
	_, err = caller.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against an idle connection that stays though others need its room.
func TestEvictedIdleConnectionIsClosed(t *testing.T) {
	desk := newTestTarget(t, "d", func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Seal", "s")
	})
	daemon, _ := startServing(t, map[string]*testTarget{"desk": desk})
	caller := dialRaw(t, daemon)
	caller.write(t, rawRequest("/file/x", "id", "text"))
	response, err := caller.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	evictAll(t, daemon, 1)
	_, err = caller.reader.ReadByte()
	require.True(t, errors.Is(err, io.EOF), "%v", err)
}
