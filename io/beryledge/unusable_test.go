package beryledge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"berylspoke"
)

// Guards against an entry that is used although a daemon has its address, as the daemon joined after it was read,
// and against one that is never used again after the daemon is gone.
func TestAddressesOfMembersAreDecidedAsTheyJoinAndLeave(t *testing.T) {
	target := newTestTarget(t, "one", sealed(http.StatusOK, "served"))
	first, store := startServing(t, map[string]*testTarget{"desk": target})
	regions := map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"}
	host := uniqueHost()
	joining := func(settings *Settings) {
		settings.VM, settings.CallersAddress = berylspoke.VMID(host+":7001"), host+":7002"
		settings.ReadyAddress, settings.ResolveAddress, settings.OperatorsAddress = host+":7003", host+":7004", host+":7005"
	}
	for i, address := range []string{host + ":7002", host + ":7004", string(first.settings.VM)} {
		store.put(fmt.Sprint("t/odd-", i), "desk "+address)
	}
	unusable := func() (keys []string) {
		for _, item := range first.Dump().Unusable {
			require.Equal(t, berylspoke.FaultOfFleet, item.Fault)
			keys = append(keys, item.Key)
		}
		return keys
	}
	eventually := func(want ...string) {
		require.EventuallyWithT(t, func(t *assert.CollectT) { require.Equal(t, want, unusable()) }, 30*time.Second, 50*time.Millisecond)
	}
	eventually("t/odd-2")
	second := startConfigured(t, zap.NewNop(), 8*time.Second, store, testDialect{testCatalog()}, "a", regions, joining, first.settings.VM)
	eventually("t/odd-0", "t/odd-1", "t/odd-2")
	for i := range 20 {
		response, _, err := send(t, first, http.MethodGet, "/read/x", fmt.Sprint("r", i), "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	second.Kill()
	eventually("t/odd-2")
}

// Guards against a log that is flooded by another writer, and against an odd entry that nobody can find.
func TestUnusableItemsAreLoggedOnceAndCounted(t *testing.T) {
	logs, seen := observer.New(zap.InfoLevel)
	store := newTestStore()
	store.put("c/1", "catalog")
	daemon := startLogged(t, zap.New(logs), 8*time.Second, store, testDialect{testCatalog()}, "a", map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"})
	lines := func() int { return seen.FilterMessage("published item names no target").Len() }
	awaitItems := func(count int64) {
		require.Eventually(t, func() bool { return daemon.unusableItems.Load() == count }, 10*time.Second, 10*time.Millisecond)
	}
	store.put("t/a", "odd")
	awaitItems(1)
	require.Equal(t, 1, lines())
	line := seen.FilterMessage("published item names no target").All()[0].ContextMap()
	require.Equal(t, "t/a", line["key"])
	require.Equal(t, "malformed", line["fault"])
	for range 3 {
		store.put("t/a", "desk 127.0.0.1:9")
		awaitItems(0)
		store.put("t/a", "odd")
		awaitItems(1)
	}
	require.Equal(t, 1, lines())
	require.EqualValues(t, 4, daemon.meters.unusableItems[berylspoke.FaultMalformed].Get())
	for i := range 2 * maxUnusableLogs {
		store.put(fmt.Sprint("t/odd-", i), "odd")
	}
	awaitItems(1 + 2*maxUnusableLogs)
	require.Equal(t, maxUnusableLogs, lines())
	require.Len(t, daemon.Dump().Unusable, maxUnusableDumped)
	for i := range 2 * maxUnusableLogs {
		store.put(fmt.Sprint("t/odd-", i), "")
	}
	store.put("t/a", "")
	awaitItems(0)
}
