package berylgate

// This file estimates which shared prefix segments are in the KV cache of which target,
// and chooses from which of them another target fetches them.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

const (
	// minFleetHomeTokens is the number of shared tokens from which a prompt has one home
	// in the fleet instead of one in each region: computing them again costs more than
	// the network latency to the other region.
	minFleetHomeTokens berylspoke.Tokens = 1000
	// minRegionHomeTokens is the same for one home in a region instead of one in each
	// failure domain. The traffic between domains of a request with 200 shared tokens and
	// a 4 KB answer costs more than three prefills of the 200 tokens.
	minRegionHomeTokens berylspoke.Tokens = 300
	// minFetchTokens is the number of uncached shared tokens from which a target fetches
	// them: setting up a transfer takes about as long as the prefill of that many.
	// minCrossRegionFetchTokens is the same for a source in another region, whose answer
	// takes a round trip.
	minFetchTokens            berylspoke.Tokens = 64
	minCrossRegionFetchTokens berylspoke.Tokens = 2000
)

// prompt describes the prefix that a request's prompt shares with others.
type prompt struct {
	shared []berylspoke.PromptSegment
	total  berylspoke.Tokens
	// regions are those in which the request may be served.
	regions berylspoke.Regions
	// home is the target that requests with the same shared segments prefer, nil if there
	// is none; homes holds the preferred target of each scope.
	home  *target
	homes [scopeCount]*target
}

func (gate *Gate) prompt(pool *pool, request *Request) prompt {
	shared := request.Segments[:max(len(request.Segments)-1, 0)]
	prompt := prompt{shared: shared, regions: request.Regions}
	for _, segment := range shared {
		prompt.total += segment.Tokens
	}
	if len(shared) == 0 {
		return prompt
	}
	prompt.homes = gate.homes(pool, request.Regions, shared[len(shared)-1].ID)
	for scope := homeScope(prompt.total); scope < scopeCount && prompt.home == nil; scope++ {
		prompt.home = prompt.homes[scope]
	}
	return prompt
}

// homes returns the homes of a shared segment among the targets of the given regions: in
// this failure domain, in this region and in the fleet, nil where a scope has no target.
// Every daemon in the scope derives the same home from the list of targets, so a segment
// is computed once without any message about it.
func (gate *Gate) homes(pool *pool, regions berylspoke.Regions, segment uint64) [scopeCount]*target {
	var found [scopeCount]*target
	var top [scopeCount]uint64
	for _, target := range pool.targets {
		if target.Draining || !gate.allows(regions, target) {
			continue
		}
		score := rendezvousScore(segment, uint64(target.hash))
		for scope := target.scope; scope < scopeCount; scope++ {
			if found[scope] == nil || score > top[scope] {
				found[scope], top[scope] = target, score
			}
		}
	}
	return found
}

// cacheSource returns the target from which another one fetches the shared segments
// that it lacks, nil if none is assumed to have them. Fetching the KV cache of a token
// over the engines' network takes a tenth of the time of its prefill, and the target
// computes what the source turns out to lack. The nearest target that this daemon sent
// the same segments to precedes the homes, to which other daemons may have sent them. A
// home fetches from the home of the wider scope, so that a new home need not compute all
// prefixes that it takes over.
func (gate *Gate) cacheSource(now time.Time, pool *pool, to *target, prompt prompt) *target {
	uncached := prompt.total - to.cached(now, prompt.shared)
	var nearest *target
	for _, target := range pool.targets {
		if !gate.allows(prompt.regions, target) || target.cached(now, prompt.shared) < prompt.total || !gate.worthFetching(now, to, target, uncached) {
			continue
		}
		if nearest == nil || gate.targetScope(to, target) < gate.targetScope(to, nearest) {
			nearest = target
		}
	}
	if nearest != nil {
		return nearest
	}
	for scope := homeScope(prompt.total); scope < scopeCount; scope++ {
		if home := prompt.homes[scope]; home != nil && gate.worthFetching(now, to, home, uncached) {
			return home
		}
	}
	return nil
}

// worthFetching reports whether fetching tokens from another target costs less than
// computing them.
func (gate *Gate) worthFetching(now time.Time, to, from *target, tokens berylspoke.Tokens) bool {
	minTokens := minFetchTokens
	if gate.targetScope(to, from) == fleetScope {
		minTokens = minCrossRegionFetchTokens
	}
	return from != to && tokens >= minTokens && from.responsive(now)
}

func (gate *Gate) targetScope(one, other *target) scope {
	return gate.scopeBetween(one.FailureDomain, other.FailureDomain)
}

// homeScope returns the scope in which a prompt with the given shared tokens has one
// home.
func homeScope(shared berylspoke.Tokens) scope {
	switch {
	case shared >= minFleetHomeTokens:
		return fleetScope
	case shared >= minRegionHomeTokens:
		return regionScope
	default:
		return domainScope
	}
}

// rendezvousScore hashes a segment and a target for rendezvous hashing.
func rendezvousScore(segment, target uint64) uint64 {
	var key [16]byte
	for i := range 8 {
		key[i], key[8+i] = byte(segment>>(8*i)), byte(target>>(8*i))
	}
	return xxhash.Sum64(key[:])
}

// cacheLifetime is how long a segment is assumed to stay in an engine's KV cache after
// this daemon last used it there. Engines evict the least recently used segments, and at
// full load the prefills of about eight seconds fill the whole cache.
const cacheLifetime = 8 * time.Second

// cached returns how many leading tokens of a prompt are assumed to be in the target's KV
// cache.
func (target *target) cached(now time.Time, segments []berylspoke.PromptSegment) berylspoke.Tokens {
	var cached berylspoke.Tokens
	for _, segment := range segments {
		if sentAt, known := target.lastSent[segment.ID]; !known || now.Sub(sentAt) > cacheLifetime {
			break
		}
		cached += segment.Tokens
	}
	return cached
}

// recordCached records the shared segments of a prompt that was sent to the target.
func (target *target) recordCached(now time.Time, segments []berylspoke.PromptSegment) {
	for _, segment := range segments {
		target.lastSent[segment.ID] = now
	}
}

// expireCached drops the segments that the target is assumed to have evicted.
func (target *target) expireCached(now time.Time) {
	for segment, sentAt := range target.lastSent {
		if now.Sub(sentAt) > cacheLifetime {
			delete(target.lastSent, segment)
		}
	}
}
