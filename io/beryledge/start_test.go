package beryledge

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylorigin"
)

// Guards against a daemon that starts and is never ready: peers that know its last run send it messages
// before it can answer them.
func TestDaemonIsReadyAfterMessagesThatArriveAsItStarts(t *testing.T) {
	store := newTestStore()
	store.put("c/1", "catalog")
	host := uniqueHost()
	settings := &Settings{
		Name: t.Name(), VM: berylspoke.VMID(host + ":7001"), FailureDomain: "a", Region: "r",
		RegionOf:       map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"},
		CallersAddress: host + ":7002", ReadyAddress: host + ":7003", ResolveAddress: host + ":7004", OperatorsAddress: host + ":7005",
		MaxDescriptors: 1000, Capacity: 19, StopTimeout: 8 * time.Second, RetryRatio: 1, RetrySlack: 1000, StoreAddress: "127.0.0.1:1",
		FleetKey: "a key of the tests only",
	}
	require.NoError(t, settings.Check())
	endpoints := func(daemon *Daemon) Endpoints {
		for range 20 {
			go daemon.receive("127.0.0.1:1", []berylspoke.Message{berylorigin.Question{}})
		}
		time.Sleep(50 * time.Millisecond)
		return Endpoints{Resolve: http.NotFoundHandler(), Ready: http.NotFoundHandler()}
	}
	daemon, err := Start(settings, testDialect{testCatalog()}, store, endpoints, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(daemon.Kill)
	require.Eventually(t, daemon.Ready, 10*time.Second, 10*time.Millisecond)
}
