package beryledge

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"berylspoke"
	"berylspoke/core/berylgate"
)

// Guards against a core that ends for good after some faults of the program: no request is answered any more, and
// no line tells why.
func TestCoreGoesOnAfterFailures(t *testing.T) {
	const failures = 20
	target := newTestTarget(t, "t1", sealed(http.StatusOK, "fine"))
	store := newTestStore()
	logged, lines := observer.New(zapcore.ErrorLevel)
	daemon := startLogged(t, zap.New(logged), 8*time.Second, store, testDialect{testCatalog()}, "a", map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"})
	store.put("c/1", "catalog")
	store.put("t/t1", "desk "+target.address())
	require.Eventually(t, daemon.Ready, 10*time.Second, 10*time.Millisecond)
	for range failures {
		daemon.send(inspect{func(time.Time, *core) { panic("a fault") }, make(chan struct{})})
	}
	response, body, err := send(t, daemon, http.MethodGet, "/read/x", "r1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "fine", body)
	require.Equal(t, failures, lines.FilterMessage("core failed").Len())
	require.EqualValues(t, failures, daemon.meters.coreFailures.Get())
}

// Guards against a request that is never answered as the decision on it fails.
func TestFailedDecisionIsARefusal(t *testing.T) {
	daemon := startDaemon(t, newTestStore())
	decision := make(chan berylgate.Decision, 1)
	daemon.send(submit{decision: decision})
	select {
	case decided := <-decision:
		require.NotNil(t, decided.Refusal)
	case <-time.After(5 * time.Second):
		t.Fatal("no decision")
	}
	granted := make(chan bool, 1)
	daemon.send(reserve{granted: granted})
	select {
	case <-granted:
	case <-time.After(5 * time.Second):
		t.Fatal("no decision on a retry")
	}
}
