package beryledge

import (
	"fmt"
	"net/http"
	"strings"
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
