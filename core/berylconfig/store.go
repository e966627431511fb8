package berylconfig

// This file defines the store of the newest state.

import (
	"berylspoke"
)

// The store keeps a bounded tail of the folded entries, to send them to peers and to
// detect a rewritten history.
const (
	maxOutcomes   = 64
	maxEntries    = 512
	maxEntryBytes = 1 << 20
)

// Store holds the state in force and the last entries folded into it; its number never
// decreases.
type Store struct {
	state *State
	// entries are the last ones folded, up to the number in force.
	entries  []berylspoke.Published
	bytes    int
	outcomes []Outcome
	// Conflicts counts entries that differ from the one folded with their number.
	Conflicts int
}

// NewStore returns a store without entries.
func NewStore() *Store { return &Store{state: InitialState()} }

// State returns the state in force.
func (store *Store) State() *State { return store.state }

// Outcomes returns the outcomes of the last entries, oldest first.
func (store *Store) Outcomes() []Outcome { return store.outcomes }

// Add folds the entries that follow the state in force and reports whether the version
// changed.
//
// A platform restored from a backup, a restarted peer and a late message all deliver
// entries at or below the number in force. Those are never folded again, so the version
// in force cannot go back. A gap ends the batch; the caller requests the entries after
// State().Number again.
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
		store.keepEntry(entry)
		store.outcomes = append(store.outcomes, outcome)
		if len(store.outcomes) > maxOutcomes {
			store.outcomes = store.outcomes[1:]
		}
	}
	return store.state.Version != before
}

func (store *Store) keepEntry(entry berylspoke.Published) {
	store.entries = append(store.entries, entry)
	store.bytes += len(entry.Body)
	for len(store.entries) > maxEntries || store.bytes > maxEntryBytes && len(store.entries) > 1 {
		store.bytes -= len(store.entries[0].Body)
		store.entries = store.entries[1:]
	}
}

// floor returns the number of the entry before the first one kept.
func (store *Store) floor() berylspoke.PatchNumber {
	return store.state.Number - berylspoke.PatchNumber(len(store.entries))
}

// compare detects a rewritten history, which is reported to operators.
func (store *Store) compare(entry berylspoke.Published) {
	if entry.Number <= store.floor() {
		return
	}
	if string(store.entries[entry.Number-store.floor()-1].Body) != string(entry.Body) {
		store.Conflicts++
	}
}

// EntriesAfter returns the entries above the number, about limit bytes at most but at
// least one entry, for a peer that lacks them. It returns false if some of them are no
// longer kept and the peer needs a snapshot.
func (store *Store) EntriesAfter(number berylspoke.PatchNumber, limit int) ([]berylspoke.Published, bool) {
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
