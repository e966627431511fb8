package berylroute

// This file records which target holds which prompt prefix.

import (
	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

const (
	prefixBytes = 512
	maxPrefixes = 8192
)

// PrefixHash returns the hash of a prompt's first bytes, zero for a prompt so short that
// it is cheaper to compute than to look up.
func PrefixHash(prompt string) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(prompt[:prefixBytes])
}

// Prefixes records the last target that received each prefix. Engines publish cache
// events late and with gaps, so an entry daemon relies on its own dispatches; a wrong
// guess costs a prefill, never an answer.
type Prefixes struct {
	targets map[uint64]berylspoke.TargetID
	order   []uint64
}

// NewPrefixes returns an empty record.
func NewPrefixes() *Prefixes { return &Prefixes{targets: make(map[uint64]berylspoke.TargetID)} }

// Record records that a target now holds the prefix.
func (prefixes *Prefixes) Record(prefix uint64, target berylspoke.TargetID) {
	if prefix == 0 {
		return
	}
	if _, known := prefixes.targets[prefix]; !known {
		prefixes.order = append(prefixes.order, prefix)
		if len(prefixes.order) > maxPrefixes {
			delete(prefixes.targets, prefixes.order[0])
			prefixes.order = prefixes.order[1:]
		}
	}
	prefixes.targets[prefix] = target
}

// Target returns the target that likely holds the prefix, or "" if none is known.
func (prefixes *Prefixes) Target(prefix uint64) berylspoke.TargetID {
	if prefix == 0 {
		return ""
	}
	return prefixes.targets[prefix]
}
