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
)

// startStopping runs a daemon with a time to stop within and one target for each service. It returns
// the daemon, which is ready, and its log.
func startStopping(t *testing.T, stopTimeout time.Duration, catalog *berylspoke.Catalog, targets map[string]*testTarget) (*Daemon, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.InfoLevel)
	store := newTestStore()
	store.put("c/1", "catalog")
	for service, target := range targets {
		store.put("t/"+target.id, service+" "+target.address())
	}
	daemon := startLogged(t, zap.New(core), stopTimeout, store, testDialect{catalog}, "a", map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"})
	require.Eventually(t, daemon.Ready, 10*time.Second, 10*time.Millisecond)
	fillRetryBudget(daemon)
	return daemon, logs
}

// stop begins a planned stop and returns a channel that is closed once it has ended.
func stop(daemon *Daemon) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		daemon.Stop()
		close(stopped)
	}()
	return stopped
}

// Guards against a request that a planned stop cuts and that the log ascribes to its caller.
func TestCutRequestIsLogged(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	desk := newTestTarget(t, "d1", func(http.ResponseWriter, *http.Request) { <-release })
	daemon, logs := startStopping(t, time.Second, testCatalog(), map[string]*testTarget{"desk": desk})
	go func() { _, _, _ = send(t, daemon, http.MethodPost, "/file/x", "id-1", "a letter") }()
	require.Eventually(t, func() bool { return desk.seen.Load() == 1 }, 5*time.Second, time.Millisecond)
	<-stop(daemon)
	require.Zero(t, logs.FilterMessage("caller disconnected").Len())
	cut := logs.FilterMessage("request cut by the planned stop").All()
	require.Len(t, cut, 1)
	require.Equal(t, "id-1", cut[0].ContextMap()["request"])
	require.Equal(t, "atTarget", cut[0].ContextMap()["stage"])
	require.EqualValues(t, 1, daemon.meters.requestsCut.Get())
}
