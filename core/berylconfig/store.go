package berylconfig

// This file defines the store that keeps the highest state ever seen.

import (
	"berylspoke"
)

// The store keeps a bounded tail of the entries it folded, to pass them on and to
// notice a rewritten history.
const (
	keptOutcomes = 64
	keptEntries  = 512
	keptBytes    = 1 << 20
)

// Store holds the state in force and the last entries folded into it; it never
// moves to a lower number.
type Store struct {
	state *State
	// entries are the last ones folded, up to the number in force.
	entries  []berylspoke.Published
	bytes    int
	outcomes []Outcome
	// Conflicts counts entries that differ from the one folded at their number.
	Conflicts int
}

// NewStore returns a store before the first entry.
func NewStore() *Store { return &Store{state: Empty()} }

// State returns the state in force.
func (store *Store) State() *State { return store.state }

// Outcomes returns the last outcomes, oldest first.
func (store *Store) Outcomes() []Outcome { return store.outcomes }

// Add folds the entries that follow the state in force and reports whether the
// version changed.
//
// A platform that was restored from an old copy, a restarted peer and a late
// message all show themselves as entries at or below the number in force. Those
// are never folded again, so the version in force cannot go back. A gap ends
// the batch; the caller asks again from State().Number.
func (store *Store) Add(entries []berylspoke.Published) bool {
	before := store.state.Version
	for _, entry := range entries {
		if entry.Number <= store.state.Number {
			store.compare(entry)
			continue
		}
		if entry.Number != store.state.Number+1 {
			break
		}
		next, outcome := store.state.Fold(entry)
		store.state = next
		store.keep(entry)
		store.outcomes = append(store.outcomes, outcome)
		if len(store.outcomes) > keptOutcomes {
			store.outcomes = store.outcomes[1:]
		}
	}
	return store.state.Version != before
}

func (store *Store) keep(entry berylspoke.Published) {
	store.entries = append(store.entries, entry)
	store.bytes += len(entry.Body)
	for len(store.entries) > keptEntries || store.bytes > keptBytes && len(store.entries) > 1 {
		store.bytes -= len(store.entries[0].Body)
		store.entries = store.entries[1:]
	}
}

// floor is the number before the first entry kept.
func (store *Store) floor() berylspoke.EntryNumber {
	return store.state.Number - berylspoke.EntryNumber(len(store.entries))
}

// compare notices a rewritten history, which operators must hear of.
func (store *Store) compare(entry berylspoke.Published) {
	if entry.Number <= store.floor() {
		return
	}
	if string(store.entries[entry.Number-store.floor()-1].Body) != string(entry.Body) {
		store.Conflicts++
	}
}

// After returns the entries above the number, up to about limit bytes but at
// least one, for a peer that lacks them. It returns false if the peer lacks more
// than is kept and needs a snapshot.
func (store *Store) After(number berylspoke.EntryNumber, limit int) ([]berylspoke.Published, bool) {
	if number >= store.state.Number {
		return nil, true
	}
	if number < store.floor() {
		return nil, false
	}
	rest := store.entries[number-store.floor():]
	size := 0
	for i, entry := range rest {
		size += len(entry.Body)
		if i > 0 && size > limit {
			return rest[:i], true
		}
	}
	return rest, true
}
