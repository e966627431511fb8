package berylgate

// This file estimates which shared prefix segments are in the KV cache of which target,
// and chooses from which of them another target fetches them.

import (
	"math"
	"slices"
	"time"

	"berylspoke"
)

const (
	// minFleetHomeTokens is the minimum number of shared tokens for which a prompt has
	// one home (the target that it is sent to by preference) in the fleet instead of
	// one in each region: computing them again costs more than the network latency to
	// the other region.
	minFleetHomeTokens berylspoke.Tokens = 1000
	// minRegionHomeTokens is the same for one home in a region instead of one in each
	// failure domain. The traffic between domains of a request with 200 shared tokens and
	// a 4 KB answer costs more than three prefills of the 200 tokens.
	minRegionHomeTokens berylspoke.Tokens = 300
	// minFetchTokens is the minimum number of uncached shared tokens that a target
	// fetches: setting up a transfer takes about as long as the prefill of that many.
	// minCrossRegionFetchTokens is the same for a source in another region, where a
	// transfer also takes a round trip between regions.
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

// homes returns the homes of a shared segment among the targets of the given regions:
// in this failure domain, in this region and in the fleet, nil where a scope has no
// target. Every daemon in the scope derives the same home from the list of targets, so
// a segment is computed only once, without any messages between daemons.
func (gate *Gate) homes(pool *pool, regions berylspoke.Regions, segment uint64) [scopeCount]*target {
	var found [scopeCount]*target
	probes := newProbes(segment)
	nearest := uint64(math.MaxUint64)
	for region, ring := range pool.index.regions {
		if !regions.Allows(region) {
			continue
		}
		owner, distance := ring.owner(&probes)
		if owner != nil && (found[fleetScope] == nil || distance < nearest) {
			found[fleetScope], nearest = owner, distance
		}
		if region == gate.options.RegionOf[gate.options.FailureDomain] {
			found[regionScope] = owner
			found[domainScope], _ = pool.index.domain.owner(&probes)
		}
	}
	return found
}

// cacheSource returns the target from which another one fetches the shared segments
// that it lacks, nil if none is assumed to have them. Fetching the KV cache of a token
// over the engines' network takes a tenth of the time of its prefill, and the target
// computes what the source turns out not to have. The nearest target to which this
// daemon sent the same segments is preferred to the homes, to which other daemons may
// have sent them. A home fetches from the home of the wider scope, so that a new home
// does not recompute all prefixes that it takes over.
func (gate *Gate) cacheSource(now time.Time, to *target, prompt prompt) *target {
	holders := gate.markCached(now, prompt.shared)
	uncached := prompt.total - gate.cached(to)
	var nearest *target
	for _, send := range holders {
		target := send.target
		if !gate.allows(prompt.regions, target) || gate.cached(target) < prompt.total || !gate.worthFetching(now, to, target, uncached) {
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

// worthFetching reports whether fetching tokens from another target, which is certainly of the same
// build, costs less than computing them.
func (gate *Gate) worthFetching(now time.Time, to, from *target, tokens berylspoke.Tokens) bool {
	minTokens := minFetchTokens
	if gate.targetScope(to, from) == fleetScope {
		minTokens = minCrossRegionFetchTokens
	}
	return from != to && gate.certainBuild(to).Fits(gate.certainBuild(from)) && tokens >= minTokens && from.responsive(now) && !from.resting
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

// cacheLifetime is how long a segment is assumed to stay in an engine's KV cache after
// this daemon last used it there. Engines evict the least recently used segments, and at
// full load the prefills of about eight seconds fill the whole cache.
const cacheLifetime = 8 * time.Second

// recentSend says when this daemon last sent a shared segment to a target.
type recentSend struct {
	target *target
	at     time.Time
}

// cachedPrefix is the leading part of a prompt that a target is assumed to have cached.
type cachedPrefix struct {
	// decision is the decision that the prefix belongs to.
	decision uint64
	segments int
	tokens   berylspoke.Tokens
}

// markCached begins a decision: it marks each target with the leading segments that it is
// assumed to have cached, and returns those to which the last segment was sent.
func (gate *Gate) markCached(now time.Time, segments []berylspoke.PromptSegment) []recentSend {
	gate.decisions++
	var sends []recentSend
	for i, segment := range segments {
		sends = gate.recentSends[segment.ID]
		for _, send := range sends {
			if now.Sub(send.at) > cacheLifetime || send.target.removed {
				continue
			}
			prefix := &send.target.prefix
			switch {
			case i == 0:
				*prefix = cachedPrefix{gate.decisions, 1, segment.Tokens}
			case prefix.decision == gate.decisions && prefix.segments == i:
				prefix.segments++
				prefix.tokens += segment.Tokens
			}
		}
	}
	return sends
}

// cached returns how many leading tokens of the prompt that was marked last are assumed to
// be in the target's KV cache.
func (gate *Gate) cached(target *target) berylspoke.Tokens {
	if target.prefix.decision != gate.decisions {
		return 0
	}
	return target.prefix.tokens
}

// recordCached records the shared segments of a prompt that was sent to the target.
func (gate *Gate) recordCached(now time.Time, target *target, segments []berylspoke.PromptSegment) {
	for _, segment := range segments {
		sends := gate.recentSends[segment.ID]
		at := slices.IndexFunc(sends, func(send recentSend) bool { return send.target == target })
		if at < 0 {
			gate.recentSends[segment.ID] = append(sends, recentSend{target, now})
			continue
		}
		sends[at].at = now
	}
}

// expireCached drops the segments that targets are assumed to have evicted.
func (gate *Gate) expireCached(now time.Time) {
	for segment, sends := range gate.recentSends {
		kept := slices.DeleteFunc(sends, func(send recentSend) bool {
			return send.target.removed || now.Sub(send.at) > cacheLifetime
		})
		if len(kept) == 0 {
			delete(gate.recentSends, segment)
			continue
		}
		gate.recentSends[segment] = kept
	}
}
