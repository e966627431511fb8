package berylfeed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

// Guards against a user of a feed that misses a change, such as the end of a grace period,
// or a change that arrived with a list or from a peer: what it took must add up to the
// visible items, and each delta must hold what a walk over all items finds.
func TestTakenChangesAddUpToTheItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		store := new(history)
		feed, peer := New(sequenceOf), New(sequenceOf)
		taken := make(map[string]berylspoke.Item)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				store.write(fmt.Sprint("k", rapid.IntRange(0, 6).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				if feed.Known() {
					feed.Answered(now)
					feed.ApplyChanges(now, store.after(feed.AsOf().Revision), store.asOf())
				}
			case 3:
				feed.Answered(now)
				feed.Replace(now, store.list(), store.asOf())
			case 4:
				feed.Failed()
			case 5:
				peer.Replace(now, store.list(), store.asOf())
			case 6:
				if delta, newer := peer.Since(now, Targets, feed.AsOf()); newer {
					feed.Merge(now, delta)
				}
			case 7:
				store.returnFrom(berylspoke.Revision(rapid.IntRange(0, len(store.changes)).Draw(t, "copy")))
			}
			if rapid.Bool().Draw(t, "take") {
				checkTaken(t, now, feed, taken)
			}
			checkDelta(t, now, feed)
		}
	})
}

// checkTaken takes the changes, compares their sum with the visible items, and checks the
// size of the items.
func checkTaken(t *rapid.T, now time.Time, feed *Feed, taken map[string]berylspoke.Item) {
	requireTaken(t, now, feed, taken)
	bytes := 0
	for _, record := range feed.records {
		if !record.item.Deleted {
			bytes += len(record.item.Value)
		}
	}
	require.Equal(t, bytes, feed.Bytes())
}

// requireTaken takes the changes and compares their sum with the visible items.
func requireTaken(t *rapid.T, now time.Time, feed *Feed, taken map[string]berylspoke.Item) {
	changes, next := feed.TakeChanges(now)
	for _, item := range changes {
		if item.Deleted {
			delete(taken, item.Key)
			continue
		}
		taken[item.Key] = item
	}
	items, until := feed.Items(now)
	visible := make(map[string]string)
	for _, item := range items {
		visible[item.Key] = string(item.Value)
	}
	held := make(map[string]string)
	for key, item := range taken {
		held[key] = string(item.Value)
	}
	require.Equal(t, visible, held)
	require.Equal(t, until, next)
}

// checkDelta compares a delta with a walk over all records.
func checkDelta(t *rapid.T, now time.Time, feed *Feed) {
	after := berylspoke.Position{
		Era: berylspoke.Era(rapid.IntRange(0, 3).Draw(t, "era")), Revision: berylspoke.Revision(rapid.IntRange(0, 20).Draw(t, "after")),
	}
	delta, newer := feed.Since(now, Targets, after)
	if !newer {
		return
	}
	var expected, sent []string
	for key, record := range feed.records {
		if delta.Full || record.item.Position.After(after) {
			expected = append(expected, fmt.Sprint(key, record.item.Position, record.item.Deleted))
		}
	}
	for _, change := range delta.Changes {
		sent = append(sent, fmt.Sprint(change.Item.Key, change.Item.Position, change.Item.Deleted))
	}
	slices.Sort(expected)
	slices.Sort(sent)
	require.Equal(t, expected, sent)
}

// BenchmarkChange measures a change of one item, its use and the delta for a peer.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{89, 297, 1_003, 3_004} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			now := time.Unix(1000, 0)
			feed := New(sequenceOf)
			var items []berylspoke.Item
			for i := range size {
				items = append(items, berylspoke.Item{Key: fmt.Sprint("k-", i), Value: make([]byte, 200), Position: at(berylspoke.Revision(i + 1))})
			}
			revision := berylspoke.Revision(size)
			feed.Replace(now, items, at(revision))
			feed.TakeChanges(now)
			for b.Loop() {
				revision++
				item := items[int(revision)%size]
				item.Position = at(revision)
				feed.ApplyChanges(now, []berylspoke.Item{item}, item.Position)
				feed.TakeChanges(now)
				feed.Since(now, Targets, at(revision-1))
			}
		})
	}
}
