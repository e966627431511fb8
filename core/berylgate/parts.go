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
	// them: setting up a transfer takes about as long as reading so many. fetchFar is
	// the same for a source in another region, whose answer takes a round trip.
	fetchLeast berylspoke.Tokens = 64
	fetchFar   berylspoke.Tokens = 2000
)

// prompt is what of a request's prompt other prompts begin with too.
type prompt struct {
	shared []berylspoke.Part
	total  berylspoke.Tokens
	// regions are those in which the request may be served.
	regions berylspoke.Regions
	// home is the target that requests with the same shared parts prefer, nil if
	// there is none, and homes the ones of each scope.
	home  *target
	homes [scopes]*target
}

func (gate *Gate) prompt(pool *pool, request *Request) prompt {
	shared := request.Parts[:max(len(request.Parts)-1, 0)]
	prompt := prompt{shared: shared, regions: request.Regions}
	for _, part := range shared {
		prompt.total += part.Tokens
	}
	if len(shared) == 0 {
		return prompt
	}
	prompt.homes = gate.homes(pool, request.Regions, shared[len(shared)-1].ID)
	for scope := scopeOf(prompt.total); scope < scopes && prompt.home == nil; scope++ {
		prompt.home = prompt.homes[scope]
	}
	return prompt
}

// homes returns the homes of a shared part among the targets of some regions: in this
// failure domain, in this region and in the fleet, nil where a scope has no target. Every
// daemon there picks the same from the list of targets, so a part is read once without
// any message about it.
func (gate *Gate) homes(pool *pool, regions berylspoke.Regions, part uint64) [scopes]*target {
	var found [scopes]*target
	var top [scopes]uint64
	for _, target := range pool.targets {
		if target.Leaving || !gate.allows(regions, target) {
			continue
		}
		score := mix(part, uint64(target.hash))
		for scope := target.scope; scope < scopes; scope++ {
			if found[scope] == nil || score > top[scope] {
				found[scope], top[scope] = target, score
			}
		}
	}
	return found
}

// source returns the target from which another one fetches the shared parts that
// it lacks, nil if nobody is believed to keep them. A token's memory crosses the
// engines' network in a tenth of the time that reading it takes, and the target
// reads what the source turns out to lack. The nearest that this daemon sent the
// same parts to goes before the homes, where others may have sent them; a home
// fetches from the home of the wider scope, so a new one need not read all it
// becomes the home of.
func (gate *Gate) source(now time.Time, pool *pool, to *target, prompt prompt) *target {
	lacks := prompt.total - to.cached(now, prompt.shared)
	var sent *target
	for _, target := range pool.targets {
		if !gate.allows(prompt.regions, target) || target.cached(now, prompt.shared) < prompt.total || !gate.worthFetching(now, to, target, lacks) {
			continue
		}
		if sent == nil || gate.distanceOf(to, target) < gate.distanceOf(to, sent) {
			sent = target
		}
	}
	if sent != nil {
		return sent
	}
	for scope := scopeOf(prompt.total); scope < scopes; scope++ {
		if home := prompt.homes[scope]; home != nil && gate.worthFetching(now, to, home, lacks) {
			return home
		}
	}
	return nil
}

// worthFetching says whether fetching tokens from another target costs less than
// reading them.
func (gate *Gate) worthFetching(now time.Time, to, from *target, tokens berylspoke.Tokens) bool {
	least := fetchLeast
	if gate.distanceOf(to, from) == acrossRegions {
		least = fetchFar
	}
	return from != to && tokens >= least && from.answers(now)
}

func (gate *Gate) distanceOf(one, other *target) scope {
	return gate.distance(one.FailureDomain, other.FailureDomain)
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
