package berylfeed

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

// TestMain sets a fixed seed for rapid, so that every run gives the same result.
func TestMain(tests *testing.M) {
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(tests.Run())
}

// history is a fake store that keeps all of its changes.
type history struct{ changes []berylspoke.Item }

func (history *history) write(key string, deleted bool) {
	revision := berylspoke.Revision(len(history.changes) + 1)
	history.changes = append(history.changes, berylspoke.Item{
		Key: key, Value: fmt.Append(nil, revision), Revision: revision, Deleted: deleted,
	})
}

func (history *history) asOf() berylspoke.Revision { return berylspoke.Revision(len(history.changes)) }

func (history *history) present() map[string]berylspoke.Revision {
	present := make(map[string]berylspoke.Revision)
	for _, change := range history.changes {
		if change.Deleted {
			delete(present, change.Key)
		} else {
			present[change.Key] = change.Revision
		}
	}
	return present
}

func (history *history) list() []berylspoke.Item {
	var items []berylspoke.Item
	for key, revision := range history.present() {
		items = append(items, history.changes[revision-1])
		_ = key
	}
	return items
}

// Watches, lists and deltas of peers arrive in any order, and peers are behind or ahead.
// Guards against a key that reverts to an older revision, which would bring back an old
// route or a dropped key for callers. A feed that is complete up to the last revision
// must equal the store.
func TestFeedsAgreeWithTheStoreAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		store := new(history)
		feeds := []*Feed{New(), New(), New()}
		newest := make([]map[string]berylspoke.Revision, len(feeds))
		for i := range newest {
			newest[i] = make(map[string]berylspoke.Revision)
		}
		for range 40 {
			i := rapid.IntRange(0, len(feeds)-1).Draw(t, "feed")
			feed := feeds[i]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				store.write(fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				if feed.Known() {
					feed.ApplyChanges(now, store.changes[feed.AsOf():], store.asOf())
				}
			case 3:
				feed.Replace(now, store.list(), store.asOf())
			case 4:
				from := feeds[rapid.IntRange(0, len(feeds)-1).Draw(t, "peer")]
				if delta, newer := from.Since(now, Targets, feed.AsOf()); newer {
					feed.Merge(now, delta)
				}
			}
			checkFeed(t, now, feed, store, newest[i])
		}
	})
}

func checkFeed(t *rapid.T, now time.Time, feed *Feed, store *history, newest map[string]berylspoke.Revision) {
	items, _ := feed.Items(now)
	seen := make(map[string]berylspoke.Revision)
	for _, item := range items {
		seen[item.Key] = item.Revision
		if item.Revision < newest[item.Key] {
			t.Fatalf("%s went back from %d to %d", item.Key, newest[item.Key], item.Revision)
		}
		newest[item.Key] = item.Revision
	}
	if feed.Known() && feed.AsOf() == store.asOf() {
		require.Equal(t, store.present(), seen)
	}
}

// Guards against a daemon without targets after an outage of the store that was longer
// than the lifetime of the targets' items. The items lapsed, but the targets are alive and
// write them again about two seconds after the store returns; until then the daemon keeps
// them. An item that stays missing is removed after the grace period.
func TestLapsedItemsAreKeptForAGrace(t *testing.T) {
	now := time.Unix(0, 0)
	feed := New()
	item := func(key string, revision berylspoke.Revision, deleted bool) berylspoke.Item {
		return berylspoke.Item{Key: key, Value: []byte(key), Revision: revision, Deleted: deleted}
	}
	feed.Answered(now)
	feed.Replace(now, []berylspoke.Item{item("back", 1, false), item("gone", 2, false)}, 2)
	require.True(t, feed.Failed())
	now = now.Add(10 * time.Second)
	require.True(t, feed.Answered(now))
	feed.ApplyChanges(now, []berylspoke.Item{item("back", 3, true), item("gone", 4, true)}, 4)
	items, until := feed.Items(now)
	require.Len(t, items, 2)
	require.Equal(t, now.Add(Grace), until)
	now = now.Add(2 * time.Second)
	feed.ApplyChanges(now, []berylspoke.Item{item("back", 5, false)}, 5)
	now = now.Add(Grace)
	items, _ = feed.Items(now)
	require.Len(t, items, 1)
	require.Equal(t, "back", items[0].Key)
	feed.ApplyChanges(now.Add(time.Minute), []berylspoke.Item{item("back", 6, true)}, 6)
	items, _ = feed.Items(now.Add(time.Minute))
	require.Empty(t, items, "without an outage a removed item has no grace period")
}

// Guards against requests to a target that left without notice. A daemon whose own link to
// the store was cut took the removal for a lapse in an outage of the store.
func TestRemovalThatOthersSawHasNoGrace(t *testing.T) {
	now := time.Unix(0, 0)
	feed := New()
	feed.SetOutageThreshold(2 * time.Second)
	feed.Answered(now)
	feed.Replace(now, []berylspoke.Item{{Key: "gone", Value: []byte("gone"), Revision: 1}}, 1)
	feed.Failed()
	for range 5 {
		now = now.Add(time.Second)
		feed.AnsweredAny(now, now.Add(-500*time.Millisecond))
	}
	feed.Answered(now.Add(time.Second))
	now = now.Add(time.Second)
	feed.ApplyChanges(now, []berylspoke.Item{{Key: "gone", Revision: 2, Deleted: true}}, 2)
	items, _ := feed.Items(now)
	require.Empty(t, items)
}
