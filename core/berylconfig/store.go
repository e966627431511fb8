package berylconfig

// This file defines the store that keeps the highest state ever seen.

import (
	"berylspoke"
)

// keptOutcomes bounds the outcomes kept for operators.
const keptOutcomes = 64

// Store holds the entries folded so far and the state in force; it never moves
// to a lower number.
type Store struct {
	state    *State
	entries  []berylspoke.Published
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
		store.entries = append(store.entries, entry)
		store.outcomes = append(store.outcomes, outcome)
		if len(store.outcomes) > keptOutcomes {
			store.outcomes = store.outcomes[1:]
		}
	}
	return store.state.Version != before
}

// compare notices a rewritten history, which operators must hear of.
func (store *Store) compare(entry berylspoke.Published) {
	if string(store.entries[entry.Number-1].Body) != string(entry.Body) {
		store.Conflicts++
	}
}

// After returns the entries above the number, up to about limit bytes but at
// least one, for a peer that lacks them.
func (store *Store) After(number berylspoke.EntryNumber, limit int) []berylspoke.Published {
	if number >= store.state.Number {
		return nil
	}
	rest := store.entries[number:]
	size := 0
	for i, entry := range rest {
		size += len(entry.Body)
		if i > 0 && size > limit {
			return rest[:i]
		}
	}
	return rest
}
