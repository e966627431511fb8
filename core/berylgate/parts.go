package berylgate

// This file defines which targets are believed to keep which shared parts of
// prompts, and from which of them another target fetches them.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

const (
	// homesBeyond is the shared tokens from which on a prompt has one home in
	// the fleet and not one in each region: reading them again costs more than
	// the way to the other region.
	homesBeyond berylspoke.Tokens = 1000
	// homesAcross is the same for one home in a region and not in each failure
	// domain. What a revision of 200 shared tokens and its answer of 4 KB cost
	// between domains is more than the reading of the 200 tokens three times.
	homesAcross berylspoke.Tokens = 300
	// fetchLeast is the shared tokens that a target lacks from which on it fetches
	// them: setting up a transfer takes about as long as reading so many.
	fetchLeast berylspoke.Tokens = 64
)

// prompt is what of a request's prompt other prompts begin with too.
type prompt struct {
	shared []berylspoke.Part
	total  berylspoke.Tokens
	// home is the target that requests with the same shared parts prefer, nil if
	// there is none.
	home *target
}

func (gate *Gate) prompt(pool *pool, parts []berylspoke.Part) prompt {
	shared := parts[:max(len(parts)-1, 0)]
	prompt := prompt{shared: shared}
	for _, part := range shared {
		prompt.total += part.Tokens
	}
	if len(shared) > 0 {
		prompt.home = pool.home(shared[len(shared)-1].ID, scopeOf(prompt.total))
	}
	return prompt
}

// home returns the home of a shared part: one in the fleet for long ones, one in
// this region for shorter ones, one in this failure domain for the shortest. Every
// daemon there picks the same from the list of targets, so a part is read once
// without any message about it.
func (pool *pool) home(part uint64, within scope) *target {
	var found [scopes]*target
	var top [scopes]uint64
	for _, target := range pool.targets {
		if target.Leaving {
			continue
		}
		score := mix(part, uint64(target.hash))
		for scope := target.scope; scope < scopes; scope++ {
			if found[scope] == nil || score > top[scope] {
				found[scope], top[scope] = target, score
			}
		}
	}
	for scope := within; scope < scopes; scope++ {
		if found[scope] != nil {
			return found[scope]
		}
	}
	return nil
}

// source returns the target from which another one fetches the shared parts that
// it lacks, nil if nobody is believed to keep them. A token's memory crosses the
// engines' network in a tenth of the time that reading it takes, and the target
// reads what the source turns out to lack. One that this daemon sent the same parts
// to goes before the home, which others may have sent them to, and a near one
// before a far one.
func (gate *Gate) source(now time.Time, pool *pool, to *target, prompt prompt) *target {
	if prompt.total-to.cached(now, prompt.shared) < fetchLeast {
		return nil
	}
	var found *target
	if home := prompt.home; home != nil && home != to && home.answers(now) {
		found = home
	}
	sent := false
	for _, target := range pool.targets {
		if target == to || !target.answers(now) || target.cached(now, prompt.shared) < prompt.total {
			continue
		}
		if !sent || gate.nearer(to, target, found) {
			found, sent = target, true
		}
	}
	return found
}

// nearer says whether one target stands nearer to another than a third one does.
func (gate *Gate) nearer(to, one, other *target) bool {
	return gate.distance(to.FailureDomain, one.FailureDomain) < gate.distance(to.FailureDomain, other.FailureDomain)
}

// scopeOf returns among which targets shared tokens have one home.
func scopeOf(shared berylspoke.Tokens) scope {
	switch {
	case shared >= homesBeyond:
		return acrossRegions
	case shared >= homesAcross:
		return acrossDomains
	default:
		return withinDomain
	}
}

// mix hashes a part and a target for rendezvous hashing.
func mix(part, target uint64) uint64 {
	var key [16]byte
	for i := range 8 {
		key[i], key[8+i] = byte(part>>(8*i)), byte(target>>(8*i))
	}
	return xxhash.Sum64(key[:])
}

// holdFor is how long a part is believed to stay in an engine's memory after
// its last use here; the least recently used yield, and at full load an engine
// reads its whole memory in about eight seconds.
const holdFor = 8 * time.Second

// cached returns how much of a prompt the target is believed to keep.
func (target *target) cached(now time.Time, parts []berylspoke.Part) berylspoke.Tokens {
	var kept berylspoke.Tokens
	for _, part := range parts {
		if seen, known := target.held[part.ID]; !known || now.Sub(seen) > holdFor {
			break
		}
		kept += part.Tokens
	}
	return kept
}

// hold remembers the shared parts of a prompt that was sent there.
func (target *target) hold(now time.Time, parts []berylspoke.Part) {
	for _, part := range parts {
		target.held[part.ID] = now
	}
}

// forget drops what the target no longer keeps.
func (target *target) forget(now time.Time) {
	for part, seen := range target.held {
		if now.Sub(seen) > holdFor {
			delete(target.held, part)
		}
	}
}
