package beryledge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that is broken off though it has begun: its first byte arrives after the time for it, while
// the core still decides whether the request may be retried.
func TestFirstByteTimeoutEndsNoStreamThatHasBegun(t *testing.T) {
	const (
		firstByte = minFirstByteTimeout + 100*time.Millisecond
		busyUntil = firstByte + 300*time.Millisecond
		count     = 12
		interval  = 50 * time.Millisecond
	)
	late := func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Seal", "s")
		time.Sleep(firstByte)
		for number := range count {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: text %d\n\n", number+1, number+1)
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(interval)
		}
	}
	one, two := newTestTarget(t, "e1", late), newTestTarget(t, "e2", late)
	daemon, _ := startServing(t, map[string]*testTarget{"engines#1": one, "engines#2": two})
	time.AfterFunc(minFirstByteTimeout/2, func() {
		daemon.inspectCore(func(time.Time, *core) { time.Sleep(busyUntil - minFirstByteTimeout/2) })
	})
	_, text, err := send(t, daemon, http.MethodPost, "/resume/x", "id-1", "prompt")
	require.NoError(t, err)
	require.Equal(t, count, strings.Count(text, "data: text"))
	require.EqualValues(t, 1, one.seen.Load()+two.seen.Load(), "the stream ran twice")
}

// Guards against a request that a stop rejects as late, as its answer arrives between the end of the wait and the
// cancellation of the attempt.
func TestAnswerThatComesAfterTheWaitEndsTheAttemptAsAbandoned(t *testing.T) {
	given := &call{firstByteWait: &firstByteWait{timer: time.NewTimer(time.Hour)}}
	require.True(t, given.firstByteWait.end())
	require.False(t, given.firstByteArrives())
	require.True(t, given.abandoned)
	begun := &call{firstByteWait: &firstByteWait{timer: time.NewTimer(time.Hour)}}
	require.True(t, begun.firstByteArrives())
	require.False(t, begun.abandoned)
}
