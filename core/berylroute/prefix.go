package berylroute

// This file defines the memory of which target holds which prompt prefix.

import (
	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

const (
	prefixBytes = 512
	prefixesMax = 8192
)

// PrefixOf returns the hash of a prompt's beginning, zero for a short prompt
// that is cheaper to compute than to look for.
func PrefixOf(prompt string) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(prompt[:prefixBytes])
}

// Prefixes remembers the last target that saw each prefix. Engines publish
// cache events late and with gaps, so an entry goes by its own dispatches; a
// wrong guess costs a prefill, never an answer.
type Prefixes struct {
	targets map[uint64]berylspoke.TargetID
	order   []uint64
}

// NewPrefixes returns an empty memory.
func NewPrefixes() *Prefixes { return &Prefixes{targets: make(map[uint64]berylspoke.TargetID)} }

// Note remembers that a target now holds the prefix.
func (prefixes *Prefixes) Note(prefix uint64, target berylspoke.TargetID) {
	if prefix == 0 {
		return
	}
	if _, known := prefixes.targets[prefix]; !known {
		prefixes.order = append(prefixes.order, prefix)
		if len(prefixes.order) > prefixesMax {
			delete(prefixes.targets, prefixes.order[0])
			prefixes.order = prefixes.order[1:]
		}
	}
	prefixes.targets[prefix] = target
}

// Target returns the target that likely holds the prefix, or "".
func (prefixes *Prefixes) Target(prefix uint64) berylspoke.TargetID {
	if prefix == 0 {
		return ""
	}
	return prefixes.targets[prefix]
}
