package berylconfig

// This file defines snapshots of the state for peers that lack too many entries.

import (
	"encoding/json"

	"github.com/pkg/errors"

	"berylspoke"
)

// wireSnapshot is the encoded form of a state.
type wireSnapshot struct {
	Number       uint64        `json:"number"`
	Version      uint64        `json:"version"`
	Hash         []byte        `json:"hash"`
	Declarations *Declarations `json:"declarations"`
}

// Snapshot encodes the state in force.
func (store *Store) Snapshot() []byte {
	state := store.state
	body, err := json.Marshal(wireSnapshot{
		Number: uint64(state.Number), Version: uint64(state.Version), Hash: state.Hash[:], Declarations: state.Declarations,
	})
	if err != nil {
		return nil // declarations hold nothing that cannot be encoded
	}
	return body
}

// ApplySnapshot replaces the state by a peer's snapshot if that is ahead, and reports
// whether it was.
func (store *Store) ApplySnapshot(body []byte) bool {
	state, err := parseSnapshot(body)
	if err != nil || state.Number <= store.state.Number {
		return false
	}
	store.state = state
	store.entries, store.bytes = nil, 0
	return true
}

func parseSnapshot(body []byte) (*State, error) {
	var wire wireSnapshot
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, errors.Wrap(err, "snapshot is malformed")
	}
	if len(wire.Hash) != len(Hash{}) || wire.Declarations == nil {
		return nil, errors.New("snapshot has no valid hash or no declarations")
	}
	if faults := wire.Declarations.Validate(); len(faults) > 0 {
		return nil, errors.Errorf("snapshot is not valid: %s", faults[0])
	}
	return &State{
		Number: berylspoke.PatchNumber(wire.Number), Version: berylspoke.ConfigVersion(wire.Version),
		Hash: Hash(wire.Hash), Declarations: wire.Declarations,
	}, nil
}
