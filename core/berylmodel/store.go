package berylmodel

// This file defines a store of which the gates learn the engines, and its returns from older
// copies.

import (
	"fmt"
	"strings"
	"time"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
)

// StoreOptions are the parameters of a store.
type StoreOptions struct {
	// Watchers is the number of entry daemons that read the store; the others pull from
	// them.
	Watchers int
	Leaves   []Leave
	Returns  []Return
	// HidesEra is set for a store that does not state its era.
	HidesEra bool
}

// Leave says that an engine leaves at a time; it exits a while later.
type Leave struct {
	Engine int
	At     time.Duration
}

// Return makes the store lose what was written in a time before its return.
type Return struct {
	At, Lost time.Duration
}

const (
	// readInterval is the time between two reads of a watcher, and between two pulls of the
	// other daemons.
	readInterval = 200 * time.Millisecond
	// leaveBound is the time after which an engine that has said that it leaves gets no more
	// requests, exitDelay the time after which it exits.
	leaveBound = 3 * time.Second
	exitDelay  = 6 * time.Second
	// rewriteTime is the time within which engines write again what the store has lost.
	rewriteTime = 2 * time.Second
	// entryLifetime is how long the store keeps the entry of an engine that has exited.
	entryLifetime = 3600 * time.Millisecond
)

// written is one change of the store; its revision is its position among them.
type written struct {
	at    time.Time
	key   string
	value string
}

// store is a store of the engines' entries. An entry is the run of the engine, the number of
// writes in it and its state; an empty one is removed.
type store struct {
	options StoreOptions
	era     berylspoke.Era
	changes []written
	feeds   []*berylfeed.Feed
	// writes counts the writes of each engine.
	writes map[berylspoke.TargetID]int
	// leavingAt is when an engine said that it leaves, exitedAt when it exited.
	leavingAt, exitedAt map[berylspoke.TargetID]time.Time
}

const (
	stateReady   = "ready"
	stateLeaving = "leaving"
)

// sequenceOf returns the run and the number of an entry.
func sequenceOf(item berylspoke.Item) (berylspoke.Sequence, bool) {
	var sequence berylspoke.Sequence
	count, _ := fmt.Sscanf(string(item.Value), "%d.%d", &sequence.Run, &sequence.Number)
	return sequence, count == 2
}

// startStore starts the store of a fleet, with all engines ready.
func (fleet *fleet) startStore(now time.Time, options StoreOptions) {
	fleet.store = &store{
		options: options, writes: make(map[berylspoke.TargetID]int),
		leavingAt: make(map[berylspoke.TargetID]time.Time), exitedAt: make(map[berylspoke.TargetID]time.Time),
	}
	for _, id := range fleet.ids {
		fleet.store.write(now, id, stateReady)
	}
	for entry := range fleet.gates {
		feed := berylfeed.New(sequenceOf)
		feed.SetLifetime(entryLifetime + time.Second)
		fleet.store.feeds = append(fleet.store.feeds, feed)
		fleet.schedule(now, func(now time.Time) { fleet.readStore(now, entry) })
	}
	for _, leave := range options.Leaves {
		fleet.schedule(now.Add(leave.At), func(now time.Time) { fleet.leave(now, fleet.ids[leave.Engine]) })
	}
	for _, back := range options.Returns {
		fleet.schedule(now.Add(back.At), func(now time.Time) { fleet.returnStore(now, back.Lost) })
	}
}

func (store *store) write(now time.Time, id berylspoke.TargetID, state string) {
	store.writes[id]++
	store.changes = append(store.changes, written{now, string(id), fmt.Sprintf("1.%d %s", store.writes[id], state)})
}

func (store *store) remove(now time.Time, id berylspoke.TargetID) {
	store.changes = append(store.changes, written{now, string(id), ""})
}

// asOf returns the position of the store, as it states it.
func (store *store) asOf() berylspoke.Position {
	return berylspoke.Position{Era: store.statedEra(), Revision: berylspoke.Revision(len(store.changes))}
}

func (store *store) statedEra() berylspoke.Era {
	if store.options.HidesEra {
		return 0
	}
	return store.era
}

// after returns the changes after a revision.
func (store *store) after(revision berylspoke.Revision) []berylspoke.Item {
	var items []berylspoke.Item
	for i, change := range store.changes[revision:] {
		items = append(items, berylspoke.Item{
			Key: change.key, Value: []byte(change.value), Deleted: change.value == "",
			Position: berylspoke.Position{Era: store.statedEra(), Revision: revision + berylspoke.Revision(i) + 1},
		})
	}
	return items
}

// list returns the present items.
func (store *store) list() []berylspoke.Item {
	last := make(map[string]int)
	all := store.after(0)
	for i, item := range all {
		last[item.Key] = i
	}
	var items []berylspoke.Item
	for i, item := range all {
		if last[item.Key] == i && !item.Deleted {
			items = append(items, item)
		}
	}
	return items
}

// entry returns the present entry of an engine, empty if there is none.
func (store *store) entry(id berylspoke.TargetID) string {
	for i := len(store.changes) - 1; i >= 0; i-- {
		if store.changes[i].key == string(id) {
			return store.changes[i].value
		}
	}
	return ""
}

// leave makes an engine say that it leaves, and exit later.
func (fleet *fleet) leave(now time.Time, id berylspoke.TargetID) {
	fleet.store.write(now, id, stateLeaving)
	fleet.store.leavingAt[id] = now
	fleet.schedule(now.Add(exitDelay), func(now time.Time) {
		fleet.store.exitedAt[id] = now
		fleet.store.remove(now, id)
	})
}

// returnStore makes the store lose its last changes. Engines write again what it has lost,
// and the entries of those that have exited expire.
func (fleet *fleet) returnStore(now time.Time, lost time.Duration) {
	store := fleet.store
	kept := 0
	for kept < len(store.changes) && !store.changes[kept].at.After(now.Add(-lost)) {
		kept++
	}
	store.changes = store.changes[:kept:kept]
	store.era++
	for i, id := range fleet.ids {
		fleet.schedule(now.Add(rewriteTime*time.Duration(i)/time.Duration(len(fleet.ids))), func(now time.Time) { fleet.writeAgain(now, id) })
	}
}

func (fleet *fleet) writeAgain(now time.Time, id berylspoke.TargetID) {
	store := fleet.store
	state := stateReady
	if !store.leavingAt[id].IsZero() {
		state = stateLeaving
	}
	switch {
	case !store.exitedAt[id].IsZero():
		fleet.schedule(now.Add(entryLifetime), func(now time.Time) {
			if store.entry(id) != "" {
				store.remove(now, id)
			}
		})
	case !strings.HasSuffix(store.entry(id), " "+state):
		store.write(now, id, state)
	}
}

// readStore reads the store, or pulls from a watcher, and applies the changes to the gate.
func (fleet *fleet) readStore(now time.Time, entry int) {
	store, feed := fleet.store, fleet.store.feeds[entry]
	asOf := store.asOf()
	switch {
	case entry >= store.options.Watchers:
		if delta, newer := store.feeds[entry%store.options.Watchers].Since(now, berylfeed.Targets, feed.AsOf()); newer {
			feed.Merge(now, delta)
		}
	case !feed.Known() || feed.AsOf().Era != asOf.Era || feed.AsOf().After(asOf):
		feed.Replace(now, store.list(), asOf)
	default:
		feed.ApplyChanges(now, store.after(feed.AsOf().Revision), asOf)
	}
	changes, _ := feed.TakeChanges(now)
	for _, item := range changes {
		fleet.applyEntry(now, fleet.gates[entry], item)
	}
	fleet.schedule(now.Add(readInterval), func(now time.Time) { fleet.readStore(now, entry) })
}

func (fleet *fleet) applyEntry(now time.Time, gate *berylgate.Gate, item berylspoke.Item) {
	id := berylspoke.TargetID(item.Key)
	if item.Deleted {
		gate.RemoveTarget(id)
		return
	}
	target := fleet.target(id)
	target.Draining = strings.HasSuffix(string(item.Value), stateLeaving)
	gate.SetTarget(now, target)
}

// left reports whether an engine said so long ago that it leaves that it gets no more
// requests.
func (store *store) left(now time.Time, id berylspoke.TargetID) bool {
	at, leaving := store.leavingAt[id]
	return leaving && now.Sub(at) > leaveBound
}
