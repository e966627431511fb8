package beryledge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylfeed"
)

// Guards against a target that leaves and is not seen to, as the store has returned from an
// older copy and gives revisions out again that the daemon knows.
func TestTargetThatLeavesAfterTheStoreReturnedIsNotMissed(t *testing.T) {
	for _, test := range []struct {
		name string
		// lost is what the store holds at its return no more, written what is written next.
		lost, written []string
	}{
		{"the revisions pass the known one before the next call", []string{"other", "other"}, []string{"leaver leaving", "other", "other"}},
		{"the entry has a lower revision than the known one", []string{"other", "leaver"}, []string{"leaver leaving"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			leaver := newTestTarget(t, "leaver", sealed(http.StatusOK, "served"))
			daemon, store := startServing(t, map[string]*testTarget{"desk": leaver})
			older := store.copy()
			for i, entry := range test.lost {
				item := entryOf(leaver, i, entry)
				store.put(item[0], item[1])
			}
			awaitRevision(t, []*Daemon{daemon}, berylfeed.Targets, older.revision+berylspoke.Revision(len(test.lost)))
			var written [][2]string
			for i, entry := range test.written {
				written = append(written, entryOf(leaver, i, entry))
			}
			store.returnFrom(older, written...)
			time.Sleep(2 * watchTimeout)
			response, _, err := send(t, daemon, http.MethodGet, "/read/x", "r", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Zero(t, leaver.seen.Load())
		})
	}
}

// entryOf returns the key and the value of an entry: that of a target with a state, or one of
// a service without routes.
func entryOf(target *testTarget, number int, entry string) [2]string {
	id, state, _ := strings.Cut(entry, " ")
	if id != target.id {
		return [2]string{"t/" + id, fmt.Sprint("none 127.0.0.1:1 ", number)}
	}
	return [2]string{"t/" + id, strings.TrimSpace(fmt.Sprint("desk ", target.address(), " ", state))}
}

// Guards against requests to a target that is known to leave or to have ended, after the store
// has returned from a copy that says that it is ready.
func TestCopyDoesNotTakeBackThatATargetLeaves(t *testing.T) {
	for _, known := range []string{"desk 127.0.0.1:1 leaving @1.2", ""} {
		t.Run(known, func(t *testing.T) {
			leaver := newTestTarget(t, "leaver", sealed(http.StatusOK, "served"))
			daemon, store := startServing(t, map[string]*testTarget{"desk": leaver})
			store.put("t/leaver", "desk "+leaver.address()+" @1.1")
			older := store.copy()
			awaitRevision(t, []*Daemon{daemon}, berylfeed.Targets, older.revision)
			store.put("t/leaver", known)
			awaitRevision(t, []*Daemon{daemon}, berylfeed.Targets, older.revision+1)
			store.returnFrom(older)
			time.Sleep(2 * watchTimeout)
			response, _, err := send(t, daemon, http.MethodGet, "/read/x", "r", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Zero(t, leaver.seen.Load())
			// A new run is used.
			store.put("t/leaver", "desk "+leaver.address()+" @2.1")
			require.Eventually(t, func() bool {
				response, _, err := send(t, daemon, http.MethodGet, "/read/x", "r", "")
				return err == nil && response.StatusCode == http.StatusOK
			}, 5*time.Second, 50*time.Millisecond)
		})
	}
}

// Guards against a configuration that goes back: the copy from which the store returned holds
// an older version than the one in force, at a daemon that has it and at one that starts then.
func TestCopyDoesNotTakeBackAConfiguration(t *testing.T) {
	const before, inForce, next = "catalog @0.50", "catalog @0.54", "catalog @0.58"
	store := newTestStore()
	store.put("c/1", before)
	older := store.copy()
	first := startDaemon(t, store)
	store.put("c/1", inForce)
	awaitVersion(t, first, 54)
	store.returnFrom(older)
	awaitEra(t, first, 1)
	second := startDaemon(t, store, first.settings.VM)
	awaitVersion(t, second, 54)
	// The operator writes again what the store has lost, one version after the other.
	store.put("c/1", "catalog @0.52")
	awaitRevision(t, []*Daemon{first, second}, berylfeed.Configuration, older.revision+1)
	for _, daemon := range []*Daemon{first, second} {
		require.EqualValues(t, 54, daemon.index.Load().Catalog().Version)
	}
	third := startDaemon(t, store, first.settings.VM)
	awaitVersion(t, third, 54)
	store.put("c/1", next)
	for _, daemon := range []*Daemon{first, second, third} {
		awaitVersion(t, daemon, 58)
	}
}

// Guards against a failure domain that stays evacuated for good: the store returns from a copy
// of before the evacuation, and operators do not begin it again.
func TestEvacuationThatTheCopyLacksEnds(t *testing.T) {
	target := newTestTarget(t, "one", sealed(http.StatusOK, "served"))
	daemon, store := startServing(t, map[string]*testTarget{"desk": target})
	status := func() int {
		response, _, err := send(t, daemon, http.MethodGet, "/read/x", "r", "")
		require.NoError(t, err)
		return response.StatusCode
	}
	older := store.copy()
	store.put("c/empty/a", "now")
	require.Eventually(t, func() bool { return status() == http.StatusServiceUnavailable }, 5*time.Second, 20*time.Millisecond)
	store.returnFrom(older)
	awaitEra(t, daemon, 1)
	require.Equal(t, http.StatusServiceUnavailable, status(), "operators may write it again")
	require.Eventually(t, func() bool { return status() == http.StatusOK }, berylfeed.Grace+5*time.Second, 50*time.Millisecond)
}

func awaitVersion(t *testing.T, daemon *Daemon, version berylspoke.ConfigVersion) {
	require.Eventually(t, func() bool {
		index := daemon.index.Load()
		return index != nil && index.Catalog().Version == version
	}, 10*time.Second, 10*time.Millisecond)
}

// awaitEra waits until a daemon has listed the store in an era.
func awaitEra(t *testing.T, daemon *Daemon, era berylspoke.Era) {
	require.Eventually(t, func() bool {
		return daemon.position(berylfeed.Configuration).Era == era && daemon.position(berylfeed.Targets).Era == era
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against VMs that the store turns away and that never learn of its return: they take a
// full copy from a peer, and do not bring the earlier era back to others.
func TestReturnIsLearnedFromAPeer(t *testing.T) {
	leaver := newTestTarget(t, "leaver", sealed(http.StatusOK, "served"))
	reached, store := startServing(t, map[string]*testTarget{"desk": leaver})
	away := &awayStore{Store: store}
	cut := startDaemon(t, away, reached.settings.VM)
	require.Eventually(t, cut.Ready, 10*time.Second, 10*time.Millisecond)
	older := store.copy()
	store.put("t/other", "none 127.0.0.1:1")
	awaitRevision(t, []*Daemon{reached, cut}, berylfeed.Targets, older.revision+1)
	away.away.Store(true)
	store.returnFrom(older, entryOf(leaver, 0, "leaver leaving"))
	awaitEra(t, reached, 1)
	awaitEra(t, cut, 1)
	response, _, err := send(t, cut, http.MethodGet, "/read/x", "r", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.EqualValues(t, 1, reached.position(berylfeed.Targets).Era)
}

// Guards against a fleet that lists the store as one after its return: only the watchers do,
// once for each feed or twice if they are slow, and the others take copies from their peers.
func TestReturnIsListedByTheWatchersAlone(t *testing.T) {
	const perRegion = 10
	store := newTestStore()
	store.put("c/1", "catalog @0.50")
	daemons := startRegions(t, store, perRegion)
	older := store.copy()
	store.put("c/1", "catalog @0.54")
	for _, daemon := range daemons {
		awaitVersion(t, daemon, 54)
	}
	// The watches end that daemons began before they knew the watchers.
	time.Sleep(2 * watchTimeout)
	before := store.lists.Load()
	store.returnFrom(older)
	for _, daemon := range daemons {
		awaitEra(t, daemon, 1)
		awaitVersion(t, daemon, 54)
	}
	require.LessOrEqual(t, store.lists.Load()-before, int64(2*watcherCount*int(berylfeed.Count)))
}

// awayStore is a store that one daemon cannot reach while it is away.
type awayStore struct {
	berylspoke.Store
	away atomic.Bool
}

func (store *awayStore) List(ctx context.Context, prefix string) (berylspoke.StoreAnswer, error) {
	if store.away.Load() {
		return berylspoke.StoreAnswer{}, errors.New("store is away")
	}
	return store.Store.List(ctx, prefix)
}

func (store *awayStore) Watch(ctx context.Context, prefix string, after berylspoke.Revision, wait time.Duration) (berylspoke.StoreAnswer, error) {
	if store.away.Load() {
		return berylspoke.StoreAnswer{}, errors.New("store is away")
	}
	answer, err := store.Store.Watch(ctx, prefix, after, wait)
	if store.away.Load() {
		return berylspoke.StoreAnswer{}, errors.New("store is away")
	}
	return answer, err
}
