package beryledge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"berylspoke"
	"berylspoke/core/berylgate"
)

// Guards against a core that is gone after some panics, without a line in the log: requests would wait for
// its decisions for ever, at a daemon that is ready.
func TestCoreSurvivesPanics(t *testing.T) {
	daemon, logs := startStopping(t, time.Second, testCatalog(), map[string]*testTarget{"desk": newTestTarget(t, "d1", sealed(http.StatusOK, "done"))})
	const panics = 30
	for range panics {
		daemon.inspectCore(func(time.Time, *core) { panic("a fault of the test") })
	}
	decision := make(chan berylgate.Decision, 1)
	daemon.send(submit{decision: decision})
	select {
	case decided := <-decision:
		require.Equal(t, berylspoke.ReasonInternal, decided.Refusal.Reason)
	case <-time.After(5 * time.Second):
		t.Fatal("the core does not reply")
	}
	response, _, err := send(t, daemon, http.MethodPost, "/read/x", "id-1", "a letter")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.EqualValues(t, panics+1, daemon.meters.panics.Get())
	lines := logs.FilterMessage("message of the core failed").All()
	require.NotEmpty(t, lines)
	require.Contains(t, lines[0].ContextMap()["stack"], "TestCoreSurvivesPanics")
}

// panickingDialect is a dialect that panics on certain requests and answers.
type panickingDialect struct{ testDialect }

func (dialect panickingDialect) ParseRequest(header http.Header) (berylspoke.RequestInfo, error) {
	if strings.HasPrefix(header.Get("X-Id"), "odd-request") {
		panic("a fault of the test")
	}
	return dialect.testDialect.ParseRequest(header)
}

func (dialect panickingDialect) ParseResponse(status int, header http.Header) berylspoke.ResponseInfo {
	if strings.HasPrefix(header.Get("X-Id"), "odd-answer") {
		panic("a fault of the test")
	}
	return dialect.testDialect.ParseResponse(status, header)
}

// Guards against a request that ends without an answer and without a line in the log because its handler
// panics.
func TestRequestIsAnsweredIfItsHandlerPanics(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	store := newTestStore()
	store.put("c/1", "catalog")
	target := newTestTarget(t, "d1", sealed(http.StatusOK, "done"))
	store.put("t/d1", "desk "+target.address())
	daemon := startLogged(t, zap.New(core), time.Second, store, panickingDialect{testDialect{testCatalog()}}, "a", map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"})
	require.Eventually(t, daemon.Ready, 10*time.Second, 10*time.Millisecond)
	for id, status := range map[string]int{"odd-request": http.StatusServiceUnavailable, "odd-answer": http.StatusBadGateway} {
		response, _, err := send(t, daemon, http.MethodPost, "/file/x", id, "a letter")
		require.NoError(t, err, id)
		require.Equal(t, status, response.StatusCode, id)
	}
	require.EqualValues(t, 2, daemon.meters.panics.Get())
	require.NotEmpty(t, logs.FilterMessage("request failed").All())
	response, _, err := send(t, daemon, http.MethodPost, "/file/x", fmt.Sprint("id-", 1), "a letter")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}
