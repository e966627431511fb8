package berylconfig

// This file defines the state in force and how entries are folded into it.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"berylspoke"
)

// Hash identifies a version by the chain of its accepted patches.
type Hash [sha256.Size]byte

// Short returns a prefix of the hash in hexadecimal, for logs and messages.
func (hash Hash) Short() string { return hex.EncodeToString(hash[:6]) }

// State is the result of folding every entry up to Number.
type State struct {
	Number       berylspoke.PatchNumber
	Version      berylspoke.ConfigVersion
	Hash         Hash
	Declarations *Declarations
}

// InitialState returns the state before the first entry.
func InitialState() *State { return &State{Declarations: new(Declarations)} }

// Outcome reports to operators whether an entry was accepted.
type Outcome struct {
	Number   berylspoke.PatchNumber   `json:"number"`
	Accepted bool                     `json:"accepted"`
	Version  berylspoke.ConfigVersion `json:"version"`
	Problem  string                   `json:"problem,omitempty"`
}

// Fold returns the state after the entry, which must be the next one in sequence; a
// rejected entry only advances the number.
func (state *State) Fold(entry berylspoke.Published) (*State, Outcome) {
	next := *state
	next.Number = entry.Number
	outcome := Outcome{Number: entry.Number, Version: state.Version}
	patch, err := ParsePatch(entry.Body)
	if err != nil {
		outcome.Problem = err.Error()
		return &next, outcome
	}
	if patch.Base != state.Version {
		// Two operators made a patch against the same version; the second one published
		// would silently revert the first. All readers see the same order, so all reject
		// the same one.
		outcome.Problem = fmt.Sprintf("patch was made against version %d, in force is %d", patch.Base, state.Version)
		return &next, outcome
	}
	if !strings.HasPrefix(hex.EncodeToString(state.Hash[:]), patch.BaseHash) {
		// The platform lost patches, and operators published others under their numbers.
		// The version number matches, but the patch was made against a different history.
		outcome.Problem = fmt.Sprintf("patch was made against another version %d, of hash %.12s", patch.Base, patch.BaseHash)
		return &next, outcome
	}
	declarations := patch.Apply(state.Declarations)
	if faults := declarations.Validate(); len(faults) > 0 {
		outcome.Problem = fmt.Sprintf("%s (%d faults)", faults[0], len(faults))
		return &next, outcome
	}
	next.Version++
	next.Hash = chain(state.Hash, entry.Body)
	next.Declarations = declarations
	outcome.Accepted, outcome.Version = true, next.Version
	return &next, outcome
}

func chain(previous Hash, body []byte) Hash {
	digest := sha256.New()
	digest.Write(previous[:])
	digest.Write(body)
	return Hash(digest.Sum(nil))
}
