package berylfeed

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

// sequenceOf returns the sequence of a value "run.number", followed by anything.
func sequenceOf(item berylspoke.Item) (berylspoke.Sequence, bool) {
	var sequence berylspoke.Sequence
	count, _ := fmt.Sscanf(string(item.Value), "%d.%d", &sequence.Run, &sequence.Number)
	return sequence, count == 2
}

// writer writes the entry of one key, run after run: each run is ready, then leaves, and then
// removes its entry.
type writer struct {
	key      string
	sequence berylspoke.Sequence
	state    int
}

const (
	ready = iota
	leaves
	ended
)

// next writes the next state of the writer.
func (writer *writer) next(store *history) {
	if writer.state++; writer.state > ended || writer.sequence.Run == 0 {
		writer.state = ready
		writer.sequence = berylspoke.Sequence{Run: writer.sequence.Run + 1}
	}
	writer.write(store)
}

// write writes the state of the writer, again if the store has lost it.
func (writer *writer) write(store *history) {
	writer.sequence.Number++
	store.write(writer.key, writer.state == ended)
	store.changes[len(store.changes)-1].Value = fmt.Appendf(nil, "%d.%d %d", writer.sequence.Run, writer.sequence.Number, writer.state)
}

// operator writes the versions of one key. What the store has lost it writes again, one version
// after the other.
type operator struct {
	key     string
	version int
}

func (operator *operator) next(store *history) {
	version := 0
	for _, item := range store.list() {
		if item.Key == operator.key {
			_, _ = fmt.Sscanf(string(item.Value), "0.%d", &version)
		}
	}
	version++
	operator.version = max(operator.version, version)
	operator.write(store, version)
}

func (operator *operator) write(store *history, version int) {
	store.write(operator.key, false)
	store.changes[len(store.changes)-1].Value = fmt.Appendf(nil, "0.%d", version)
}

// Guards against a target that is taken for ready though its run is known to leave or to have
// ended, and against an older configuration that takes a newer one's place: the store returns
// from older copies, in any order with lists, watches and deltas of peers. Once the writers
// have written again and all graces have ended, the feeds equal the store.
func TestWritersAreNeverOrderedBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		store := new(history)
		writers := []*writer{{key: "a"}, {key: "b"}, {key: "c"}}
		operator := &operator{key: "d"}
		feeds := []*Feed{New(sequenceOf), New(sequenceOf), New(sequenceOf)}
		readAt := make([]time.Time, len(feeds))
		taken := make([]map[string]berylspoke.Item, len(feeds))
		latest := make([]map[string]berylspoke.Sequence, len(feeds))
		for i := range latest {
			latest[i], taken[i] = make(map[string]berylspoke.Sequence), make(map[string]berylspoke.Item)
		}
		var returned time.Time
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			expireEnded(now, returned, store, writers)
			for i, feed := range feeds {
				if now.Sub(readAt[i]) > readInterval {
					readStore(now, feed, store)
					readAt[i] = now
				}
			}
			i := rapid.IntRange(0, len(feeds)-1).Draw(t, "feed")
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				writers[rapid.IntRange(0, len(writers)-1).Draw(t, "writer")].next(store)
			case 2:
				readStore(now, feeds[i], store)
			case 3:
				feeds[i].Replace(now, store.list(), store.asOf())
			case 4:
				from := feeds[rapid.IntRange(0, len(feeds)-1).Draw(t, "peer")]
				if delta, newer := from.Since(now, Targets, feeds[i].AsOf()); newer {
					feeds[i].Merge(now, delta)
				}
			case 5:
				store.returnFrom(berylspoke.Revision(rapid.IntRange(0, len(store.changes)).Draw(t, "copy")))
				returned = now
			case 7, 8:
				operator.next(store)
			case 6:
				if writer := writers[rapid.IntRange(0, len(writers)-1).Draw(t, "writer")]; writer.sequence.Run > 0 {
					writer.write(store)
				}
			}
			for i, feed := range feeds {
				requireForward(t, now, feed, latest[i])
				requireTaken(t, now, feed, taken[i])
			}
		}
		for _, writer := range writers {
			if writer.sequence.Run > 0 {
				writer.write(store)
			}
		}
		operator.write(store, operator.version+1)
		for _, feed := range feeds {
			readStore(now, feed, store)
			requireStore(t, now.Add(time.Minute), feed, store)
		}
	})
}

// readInterval is the longest time between two reads of the store.
const readInterval = time.Second

// expireEnded removes the entries of writers that have ended, some time after the store has
// returned with them.
func expireEnded(now, returned time.Time, store *history, writers []*writer) {
	const expiry = 3 * time.Second
	if now.Sub(returned) < expiry {
		return
	}
	present := store.present()
	for _, writer := range writers {
		if _, found := present[writer.key]; found && writer.state == ended {
			store.write(writer.key, true)
		}
	}
}

// readStore does what a reader does: it watches, or lists if the feed cannot continue.
func readStore(now time.Time, feed *Feed, store *history) {
	if !feed.Known() || feed.AsOf().Era != store.era {
		feed.Replace(now, store.list(), store.asOf())
		return
	}
	feed.ApplyChanges(now, store.after(feed.AsOf().Revision), store.asOf())
}

// requireForward checks that a feed shows no value that is earlier than one that it has
// shown.
func requireForward(t *rapid.T, now time.Time, feed *Feed, latest map[string]berylspoke.Sequence) {
	items, _ := feed.Items(now)
	for _, item := range items {
		sequence, known := sequenceOf(item)
		require.True(t, known)
		require.GreaterOrEqual(t, sequence.Compare(latest[item.Key]), 0, "%s went back from %v to %v", item.Key, latest[item.Key], sequence)
		latest[item.Key] = sequence
	}
}

// requireStore checks that a feed shows what the store holds.
func requireStore(t *rapid.T, now time.Time, feed *Feed, store *history) {
	held := make(map[string]string)
	for _, item := range store.list() {
		held[item.Key] = string(item.Value)
	}
	shown := make(map[string]string)
	items, _ := feed.Items(now)
	for _, item := range items {
		shown[item.Key] = string(item.Value)
	}
	require.Equal(t, held, shown)
}
