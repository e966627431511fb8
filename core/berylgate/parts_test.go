package berylgate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// newSpreadGate returns a gate in failure domain a with six engines: two each in a
// and b of one region and in c of another.
func newSpreadGate(now time.Time) *Gate {
	gate := newGate(now, 1, 0, false)
	gate.options.RegionOf = map[berylspoke.FailureDomain]berylspoke.Region{"a": "r", "b": "r", "c": "s"}
	var targets []berylspoke.Target
	for i, domain := range []berylspoke.FailureDomain{"a", "a", "b", "b", "c", "c"} {
		targets = append(targets, berylspoke.Target{
			ID: berylspoke.TargetID(fmt.Sprint("t-", i)), Service: drafts, FailureDomain: domain, Slots: 64,
		})
	}
	gate.SetTargets(now, targets)
	return gate
}

// Pattern: one subject of 5,000 shared tokens is asked for so often that its home
// has no room for all. Requests that went elsewhere read the subject again, 45 ms of
// the engine each, and what they read pushed out other subjects. They fetch it from
// the home, and from then on the second engine keeps it too.
func TestHotSubjectIsFetchedNotReadAgain(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newSpreadGate(now)
	parts := []berylspoke.Part{{ID: 7, Tokens: 5000}, {ID: 8, Tokens: 3000}}
	home := gate.prompt(gate.services[drafts], &Request{Parts: parts}).home
	sent := make(map[berylspoke.TargetID]int)
	for range 60 {
		now = now.Add(2 * time.Millisecond)
		request := newRequest(now, "o", parts...)
		decision := gate.Submit(now, request)
		if decision.Refusal != nil {
			continue
		}
		if sent[decision.Target.ID]++; decision.Target.ID != home.ID && sent[decision.Target.ID] == 1 {
			require.NotNil(t, decision.Source)
			require.NotEqual(t, decision.Target.ID, decision.Source.ID)
		} else {
			require.Nil(t, decision.Source, "nothing is fetched that is there")
		}
	}
	require.Greater(t, len(sent), 1, "the test never left the home")
}

// Of several engines that keep a subject the nearest is fetched from: between
// regions the way is long and the link narrow. One that is silent or failed is left
// alone, as the request would wait for it, and one that leaves still has all.
func TestSourceIsNearAndAnswers(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newSpreadGate(now)
	pool := gate.services[drafts]
	prompt := gate.prompt(pool, &Request{Parts: []berylspoke.Part{{ID: 7, Tokens: 5000}, {ID: 8, Tokens: 3000}}})
	prompt.homes = [scopes]*target{acrossRegions: gate.targets["t-4"]}
	to := gate.targets["t-2"]
	require.EqualValues(t, "t-4", gate.source(now, pool, to, prompt).ID, "the home, where nothing else is known")
	gate.targets["t-5"].hold(now, prompt.shared)
	require.EqualValues(t, "t-5", gate.source(now, pool, to, prompt).ID, "whoever was sent it")
	gate.targets["t-0"].hold(now, prompt.shared)
	gate.targets["t-3"].hold(now, prompt.shared)
	require.EqualValues(t, "t-3", gate.source(now, pool, to, prompt).ID, "the nearest")
	gate.targets["t-3"].Leaving = true
	require.EqualValues(t, "t-3", gate.source(now, pool, to, prompt).ID)
	gate.targets["t-3"].failed(now)
	require.EqualValues(t, "t-0", gate.source(now, pool, to, prompt).ID)
	gate.targets["t-0"].suspect = true
	require.EqualValues(t, "t-5", gate.source(now, pool, to, prompt).ID)
	to.hold(now, prompt.shared)
	require.Nil(t, gate.source(now, pool, to, prompt))
}

// A transfer takes as long to set up as a few tokens take to be read, and one from
// another region takes a round trip of 60 ms: first tokens of short prompts that
// fetched 300 tokens there came 0.1 s later than those that read them.
func TestFewTokensAreNotFetched(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newSpreadGate(now)
	pool := gate.services[drafts]
	from := func(source string, to berylspoke.TargetID, tokens berylspoke.Tokens) *target {
		prompt := gate.prompt(pool, &Request{Parts: []berylspoke.Part{{ID: 7, Tokens: tokens}, {ID: 8, Tokens: 3000}}})
		prompt.homes = [scopes]*target{acrossRegions: gate.targets[berylspoke.TargetID(source)]}
		return gate.source(now, pool, gate.targets[to], prompt)
	}
	require.Nil(t, from("t-3", "t-2", fetchLeast-1))
	require.NotNil(t, from("t-3", "t-2", fetchLeast))
	require.Nil(t, from("t-4", "t-2", fetchFar-1))
	require.NotNil(t, from("t-4", "t-2", fetchFar))
}

// Pattern: an engine joins, or one with many subjects leaves, and another becomes
// the home of them. It read each of them again, while engines of the region kept
// them. A home of this failure domain fetches from the home of the region.
func TestHomesFetchFromTheHomeOfTheWiderScope(t *testing.T) {
	now := time.Unix(0, 0)
	gate := newSpreadGate(now)
	pool := gate.services[drafts]
	differ := 0
	for subject := range uint64(40) {
		prompt := gate.prompt(pool, &Request{Parts: []berylspoke.Part{{ID: subject, Tokens: 200}, {ID: 1 << 40, Tokens: 600}}})
		require.Equal(t, prompt.homes[withinDomain], prompt.home)
		source := gate.source(now, pool, prompt.home, prompt)
		if wider := prompt.homes[acrossDomains]; wider != prompt.home {
			differ++
			require.Equal(t, wider, source)
		}
	}
	require.Positive(t, differ)
}
