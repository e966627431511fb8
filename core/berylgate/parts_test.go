package berylgate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// newSpreadGate returns a gate in failure domain a with six engines: two each in domains
// a and b of one region and in domain c of another.
func newSpreadGate(now time.Time) *Gate {
	gate := newGate(now, 1, 0, false)
	gate.options.RegionOf = map[berylspoke.FailureDomain]berylspoke.Region{"a": "r", "b": "r", "c": "s"}
	var targets []berylspoke.Target
	for i, domain := range []berylspoke.FailureDomain{"a", "a", "b", "b", "c", "c"} {
		targets = append(targets, berylspoke.Target{
			ID: berylspoke.TargetID(fmt.Sprint("t-", i)), Service: drafts, FailureDomain: domain, Slots: 64, Version: "v1",
		})
	}
	gate.SetTargets(now, targets)
	return gate
}

// So many requests share one prefix of 5,000 tokens that its home has no room for all.
// Requests that were sent elsewhere computed the prefix again, 45 ms of the engine each,
// and evicted other prefixes. They must fetch it from the home, and from then on the
// second engine has it cached too.
func TestHotPrefixIsFetchedNotRecomputed(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newSpreadGate(now)
	segments := []berylspoke.PromptSegment{{ID: 7, Tokens: 5000}, {ID: 8, Tokens: 3000}}
	home := gate.prompt(gate.pools[drafts], &Request{Segments: segments}).home
	sent := make(map[berylspoke.TargetID]int)
	for range 60 {
		now = now.Add(2 * time.Millisecond)
		request := newRequest(now, "o", segments...)
		decision := gate.Submit(now, request)
		if decision.Refusal != nil {
			continue
		}
		if sent[decision.Target.ID]++; decision.Target.ID != home.ID && sent[decision.Target.ID] == 1 {
			require.NotNil(t, decision.CacheSource)
			require.NotEqual(t, decision.Target.ID, decision.CacheSource.ID)
		} else {
			require.Nil(t, decision.CacheSource, "cached segments are not fetched")
		}
	}
	require.Greater(t, len(sent), 1, "all requests went to the home")
}

// Guards against KV cache that one version of the engines' software wrote and another reads.
func TestCacheIsNotFetchedFromAnotherBuild(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newSpreadGate(now)
	segments := []berylspoke.PromptSegment{{ID: 7, Tokens: 5000}, {ID: 8, Tokens: 3000}}
	home := gate.prompt(gate.pools[drafts], &Request{Segments: segments}).home
	for _, target := range gate.sorted {
		changed := target.Target
		if target.ID != home.ID {
			changed.Version = "v2"
		}
		gate.SetTarget(now, changed)
	}
	request := newRequest(now, "o", segments...)
	request.Continues, request.Build = true, berylspoke.Target{Service: drafts, Version: "v2"}.Build()
	decision := gate.Submit(now, request)
	require.Nil(t, decision.Refusal)
	require.NotEqual(t, home.ID, decision.Target.ID)
	require.Nil(t, decision.CacheSource)
}

// Guards against KV cache that another build wrote, as two doubtful engines count as alike.
func TestCacheIsNotFetchedFromADoubtfulEngine(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newSpreadGate(now)
	prompt := gate.prompt(gate.pools[drafts], &Request{Segments: []berylspoke.PromptSegment{{ID: 7, Tokens: 5000}, {ID: 8, Tokens: 3000}}})
	to, from := gate.targets["t-2"], gate.targets["t-4"]
	prompt.homes = [scopeCount]*target{fleetScope: from}
	require.NotNil(t, gate.cacheSource(now, to, prompt))
	from.refusedAt = now
	require.Nil(t, gate.cacheSource(now, to, prompt))
	to.refusedAt = now
	require.Nil(t, gate.cacheSource(now, to, prompt))
}

// Of several engines that have a prefix cached, the nearest is the source: between
// regions the latency is high and the link narrow. A silent or failed engine is not used,
// as the request would wait for it; a draining one still has its cache.
func TestCacheSourceIsNearAndResponsive(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newSpreadGate(now)
	pool := gate.pools[drafts]
	prompt := gate.prompt(pool, &Request{Segments: []berylspoke.PromptSegment{{ID: 7, Tokens: 5000}, {ID: 8, Tokens: 3000}}})
	prompt.homes = [scopeCount]*target{fleetScope: gate.targets["t-4"]}
	to := gate.targets["t-2"]
	require.EqualValues(t, "t-4", gate.cacheSource(now, to, prompt).ID, "the home, if no target is known to have them")
	gate.recordCached(now, gate.targets["t-5"], prompt.shared)
	require.EqualValues(t, "t-5", gate.cacheSource(now, to, prompt).ID, "a target that was sent them")
	gate.recordCached(now, gate.targets["t-0"], prompt.shared)
	gate.recordCached(now, gate.targets["t-3"], prompt.shared)
	require.EqualValues(t, "t-3", gate.cacheSource(now, to, prompt).ID, "the nearest target that was sent them")
	gate.targets["t-3"].Draining = true
	require.EqualValues(t, "t-3", gate.cacheSource(now, to, prompt).ID)
	gate.targets["t-3"].recordFailure(now)
	require.EqualValues(t, "t-0", gate.cacheSource(now, to, prompt).ID)
	gate.targets["t-0"].suspect = true
	require.EqualValues(t, "t-5", gate.cacheSource(now, to, prompt).ID)
	gate.recordCached(now, to, prompt.shared)
	require.Nil(t, gate.cacheSource(now, to, prompt))
}

// Setting up a transfer takes as long as the prefill of a few tokens, and one from
// another region takes a round trip of 60 ms: first tokens of short prompts that fetched
// 300 tokens there came 0.1 s later than with a prefill.
func TestFewTokensAreNotFetched(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newSpreadGate(now)
	pool := gate.pools[drafts]
	from := func(source string, to berylspoke.TargetID, tokens berylspoke.Tokens) *target {
		prompt := gate.prompt(pool, &Request{Segments: []berylspoke.PromptSegment{{ID: 7, Tokens: tokens}, {ID: 8, Tokens: 3000}}})
		prompt.homes = [scopeCount]*target{fleetScope: gate.targets[berylspoke.TargetID(source)]}
		return gate.cacheSource(now, gate.targets[to], prompt)
	}
	require.Nil(t, from("t-3", "t-2", minFetchTokens-1))
	require.NotNil(t, from("t-3", "t-2", minFetchTokens))
	require.Nil(t, from("t-4", "t-2", minCrossRegionFetchTokens-1))
	require.NotNil(t, from("t-4", "t-2", minCrossRegionFetchTokens))
}

// When an engine joins, or one with many prefixes leaves, another engine becomes their
// home. It computed each of them again although engines of the region had them cached.
// The home in this failure domain must fetch from the home in the region.
func TestHomesFetchFromTheHomeOfTheWiderScope(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newSpreadGate(now)
	pool := gate.pools[drafts]
	differ := 0
	for prefix := range uint64(40) {
		prompt := gate.prompt(pool, &Request{Segments: []berylspoke.PromptSegment{{ID: prefix, Tokens: 200}, {ID: 1 << 40, Tokens: 600}}})
		require.Equal(t, prompt.homes[domainScope], prompt.home)
		source := gate.cacheSource(now, prompt.home, prompt)
		if wider := prompt.homes[regionScope]; wider != prompt.home {
			differ++
			require.Equal(t, wider, source)
		}
	}
	require.Positive(t, differ)
}
