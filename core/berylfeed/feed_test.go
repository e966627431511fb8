package berylfeed

import (
	"flag"
	"fmt"
	"os"
	"slices"
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

// at returns a position in the first era.
func at(revision berylspoke.Revision) berylspoke.Position {
	return berylspoke.Position{Revision: revision}
}

// history is a fake store that keeps all changes of its era, and can return from a copy of
// an older state.
type history struct {
	era     berylspoke.Era
	changes []berylspoke.Item
	// written counts the changes of all eras.
	written int
}

func (history *history) write(key string, deleted bool) {
	history.written++
	history.changes = append(history.changes, berylspoke.Item{
		Key: key, Value: fmt.Append(nil, history.written), Position: at(history.asOf().Revision + 1), Deleted: deleted,
	})
}

// returnFrom loses the changes after a revision.
func (history *history) returnFrom(revision berylspoke.Revision) {
	history.changes = slices.Clone(history.changes[:revision])
	history.era++
}

func (history *history) asOf() berylspoke.Position {
	return berylspoke.Position{Era: history.era, Revision: berylspoke.Revision(len(history.changes))}
}

// after returns the answer to a watch, whatever the era of the revision.
func (history *history) after(revision berylspoke.Revision) []berylspoke.Item {
	items := slices.Clone(history.changes[min(int(revision), len(history.changes)):])
	for i := range items {
		items[i].Position.Era = history.era
	}
	return items
}

func (history *history) present() map[string]berylspoke.Position {
	present := make(map[string]berylspoke.Position)
	for _, change := range history.after(0) {
		if change.Deleted {
			delete(present, change.Key)
		} else {
			present[change.Key] = change.Position
		}
	}
	return present
}

func (history *history) list() []berylspoke.Item {
	var items []berylspoke.Item
	for _, position := range history.present() {
		items = append(items, history.after(position.Revision - 1)[0])
	}
	return items
}

// Watches, lists and deltas of peers arrive in any order, peers are behind or ahead, and the
// store returns from older copies. Guards against a key that reverts to an earlier position,
// which would give callers an old route or a removed API key again, and against revisions of
// two eras that are taken for one order. A feed that is complete up to the last position must
// equal the store, after a return once the grace period of what the copy lacks has ended.
func TestFeedsAgreeWithTheStoreAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		store := new(history)
		feeds := []*Feed{New(sequenceOf), New(sequenceOf), New(sequenceOf)}
		newest := make([]map[string]berylspoke.Position, len(feeds))
		for i := range newest {
			newest[i] = make(map[string]berylspoke.Position)
		}
		for range 40 {
			i := rapid.IntRange(0, len(feeds)-1).Draw(t, "feed")
			feed := feeds[i]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				store.write(fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				if feed.Known() {
					feed.ApplyChanges(now, store.after(feed.AsOf().Revision), store.asOf())
				}
			case 3:
				feed.Replace(now, store.list(), store.asOf())
			case 4:
				from := feeds[rapid.IntRange(0, len(feeds)-1).Draw(t, "peer")]
				if delta, newer := from.Since(now, Targets, feed.AsOf()); newer {
					feed.Merge(now, delta)
				}
			case 5:
				store.returnFrom(berylspoke.Revision(rapid.IntRange(0, len(store.changes)).Draw(t, "copy")))
			}
			checkFeed(t, now, feed, store, newest[i])
		}
	})
}

func checkFeed(t *rapid.T, now time.Time, feed *Feed, store *history, newest map[string]berylspoke.Position) {
	items, _ := feed.Items(now)
	seen := make(map[string]berylspoke.Position)
	for _, item := range items {
		seen[item.Key] = item.Position
		if newest[item.Key].After(item.Position) {
			t.Fatalf("%s went back from %d to %d", item.Key, newest[item.Key], item.Position)
		}
		newest[item.Key] = item.Position
	}
	if !feed.Known() || feed.AsOf() != store.asOf() {
		return
	}
	if store.era > 0 {
		clear(seen)
		items, _ = feed.Items(now.Add(Grace))
		for _, item := range items {
			seen[item.Key] = item.Position
		}
	}
	require.Equal(t, store.present(), seen)
}

// Guards against a daemon without targets after an outage of the store that was longer
// than the lifetime of the targets' items. The items lapsed, but the targets are alive and
// write them again about two seconds after the store returns; until then the daemon keeps
// them. An item that stays missing is removed after the grace period.
func TestLapsedItemsAreKeptForAGrace(t *testing.T) {
	now := time.Unix(0, 0)
	feed := New(sequenceOf)
	item := func(key string, revision berylspoke.Revision, deleted bool) berylspoke.Item {
		return berylspoke.Item{Key: key, Value: []byte(key), Position: at(revision), Deleted: deleted}
	}
	feed.Answered(now)
	feed.Replace(now, []berylspoke.Item{item("back", 1, false), item("gone", 2, false)}, at(2))
	require.True(t, feed.Failed())
	now = now.Add(10 * time.Second)
	require.True(t, feed.Answered(now))
	feed.ApplyChanges(now, []berylspoke.Item{item("back", 3, true), item("gone", 4, true)}, at(4))
	items, until := feed.Items(now)
	require.Len(t, items, 2)
	require.Equal(t, now.Add(Grace), until)
	now = now.Add(2 * time.Second)
	feed.ApplyChanges(now, []berylspoke.Item{item("back", 5, false)}, at(5))
	now = now.Add(Grace)
	items, _ = feed.Items(now)
	require.Len(t, items, 1)
	require.Equal(t, "back", items[0].Key)
	feed.ApplyChanges(now.Add(time.Minute), []berylspoke.Item{item("back", 6, true)}, at(6))
	items, _ = feed.Items(now.Add(time.Minute))
	require.Empty(t, items, "without an outage a removed item has no grace period")
}

// Guards against requests to a target that left without notice. A daemon whose own link
// to the store was cut attributed the removal to an outage of the store and kept the
// target for the grace period.
func TestRemovalThatOthersSawHasNoGrace(t *testing.T) {
	now := time.Unix(0, 0)
	feed := New(sequenceOf)
	feed.SetOutageThreshold(2 * time.Second)
	feed.Answered(now)
	feed.Replace(now, []berylspoke.Item{{Key: "gone", Value: []byte("gone"), Position: at(1)}}, at(1))
	feed.Failed()
	for range 5 {
		now = now.Add(time.Second)
		feed.AnsweredAny(now, now.Add(-500*time.Millisecond))
	}
	feed.Answered(now.Add(time.Second))
	now = now.Add(time.Second)
	feed.ApplyChanges(now, []berylspoke.Item{{Key: "gone", Position: at(2), Deleted: true}}, at(2))
	items, _ := feed.Items(now)
	require.Empty(t, items)
}

// Guards against capacity that vanishes when the store returns from a copy that is older than
// entries whose targets are alive. They are kept until their writers have had time to write
// them again, at this daemon and at one that learns of the return from it.
func TestItemsThatTheCopyLacksAreKeptForAGrace(t *testing.T) {
	now := time.Unix(0, 0)
	item := func(key string, revision berylspoke.Revision) berylspoke.Item {
		return berylspoke.Item{Key: key, Value: []byte(key), Position: at(revision)}
	}
	feed, peer := New(sequenceOf), New(sequenceOf)
	for _, one := range []*Feed{feed, peer} {
		one.Answered(now)
		one.Replace(now, []berylspoke.Item{item("old", 1), item("back", 2), item("gone", 3)}, at(3))
	}
	now = now.Add(time.Second)
	old := item("old", 1)
	old.Position.Era = 1
	feed.Replace(now, []berylspoke.Item{old}, berylspoke.Position{Era: 1, Revision: 1})
	delta, newer := feed.Since(now, Targets, peer.AsOf())
	require.True(t, newer)
	require.True(t, peer.Merge(now.Add(100*time.Millisecond), delta))
	back := item("back", 2)
	back.Position.Era = 1
	for _, one := range []*Feed{feed, peer} {
		items, until := one.Items(now.Add(Grace / 2))
		require.Len(t, items, 3)
		require.LessOrEqual(t, until.Sub(now), Grace+100*time.Millisecond)
		one.ApplyChanges(now.Add(Grace/2), []berylspoke.Item{back}, back.Position)
		items, _ = one.Items(now.Add(Grace + 100*time.Millisecond))
		require.Len(t, items, 2)
	}
}
