package beryladmission

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"
	"pgregory.net/rapid"

	"berylspoke"
)

// script is the demand of organisations on a processor that serves one request in each
// CostMillis, with bounds on what must be served.
type script struct {
	Seconds    float64            `json:"seconds"`
	CostMillis float64            `json:"costMillis"`
	Callers    map[string]callers `json:"callers"`
	// MinServed and MaxServed bound the served fraction of an organisation's requests.
	MinServed map[string]float64 `json:"atLeast"`
	MaxServed map[string]float64 `json:"atMost"`
	// TokenRatio bounds the served tokens of one organisation relative to another's.
	TokenRatio map[string]map[string]bound `json:"tokenRatio"`
	// Allowances are the tokens per second of organisations beyond their cap.
	Allowances map[string]float64 `json:"allowances"`
}

// allowanceInterval is the time between two settings of the allowances.
const allowanceInterval = 50 * time.Millisecond

// intervalAllowances returns the allowances for one interval.
func (script script) intervalAllowances() map[berylspoke.OrganisationID]float64 {
	allowances := make(map[berylspoke.OrganisationID]float64)
	for name, rate := range script.Allowances {
		allowances[berylspoke.OrganisationID(name)] = rate * allowanceInterval.Seconds()
	}
	return allowances
}

// callers describes the requests of one organisation.
type callers struct {
	// Rate is in requests per second.
	Rate   float64           `json:"rate"`
	Tokens berylspoke.Tokens `json:"tokens"`
	// From and Until are in seconds; zero for Until means the end of the script.
	From  float64 `json:"from"`
	Until float64 `json:"until"`
}

type bound struct {
	Min float64 `json:"least"`
	Max float64 `json:"most"`
}

// Each script guards against one way in which a CPU-starved VM could serve its
// organisations unfairly or leave capacity unused.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.hujson")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			text, err = hujson.Standardize(text)
			require.NoError(t, err)
			var script script
			require.NoError(t, json.Unmarshal(text, &script))
			script.run(t)
		})
	}
}

func (script script) run(t *testing.T) {
	const slots, step = 4, 500 * time.Microsecond
	start := time.Unix(0, 0)
	queue := NewQueue(slots)
	offered, served := make(map[string]float64), make(map[string]float64)
	requests := make(map[Ticket]string)
	tokens := make(map[string]float64)
	due := make(map[string]float64)
	var admitted []Ticket
	nextDone := start
	admit := func(change Change) {
		for _, ticket := range change.Admitted {
			name := requests[ticket]
			served[name]++
			tokens[name] += float64(script.Callers[name].Tokens)
		}
		admitted = append(admitted, change.Admitted...)
	}
	next := Ticket(0)
	cost := time.Duration(script.CostMillis * float64(time.Millisecond))
	for now := start; now.Sub(start).Seconds() < script.Seconds; now = now.Add(step) {
		if now.Sub(start)%allowanceInterval == 0 {
			queue.SetAllowances(script.intervalAllowances())
		}
		for _, name := range []string{"flood", "other", "small"} {
			callers := script.Callers[name]
			if at := now.Sub(start).Seconds(); at < callers.From || callers.Until > 0 && at >= callers.Until {
				continue
			}
			for due[name] += callers.Rate * step.Seconds(); due[name] >= 1; due[name]-- {
				next++
				offered[name]++
				requests[next] = name
				request := Request{next, berylspoke.OrganisationID(name), callers.Tokens}
				if queue.Reject(now, request) == NotRejected {
					admit(queue.Offer(now, request))
				}
				admit(queue.AdmitNext(now))
			}
		}
		if len(admitted) == 0 {
			nextDone = now.Add(cost)
		}
		for len(admitted) > 0 && !now.Before(nextDone) {
			admitted = admitted[1:]
			queue.Release()
			admit(queue.AdmitNext(now))
			nextDone = nextDone.Add(cost)
		}
		admit(queue.Expire(now))
	}
	for name, minimum := range script.MinServed {
		require.GreaterOrEqual(t, served[name]/offered[name], minimum, name)
	}
	for name, maximum := range script.MaxServed {
		require.LessOrEqual(t, served[name]/offered[name], maximum, name)
	}
	for one, others := range script.TokenRatio {
		for other, bound := range others {
			require.GreaterOrEqual(t, tokens[one]/tokens[other], bound.Min, "%s to %s", one, other)
			require.LessOrEqual(t, tokens[one]/tokens[other], bound.Max, "%s to %s", one, other)
		}
	}
}

// Guards against a request that is neither admitted nor rejected, whose caller would wait
// forever, or that is both; and against a slot that is never freed.
func TestEachRequestIsAdmittedOrRejectedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		now, queue := time.Unix(0, 0), NewQueue(slots)
		decisions, taken, next := make(map[Ticket]int), 0, Ticket(0)
		record := func(change Change) {
			for _, ticket := range append(change.Admitted, change.Rejected...) {
				decisions[ticket]++
			}
			taken += len(change.Admitted)
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "millis")) * time.Millisecond)
			switch {
			case taken > 0 && rapid.Bool().Draw(t, "done"):
				taken--
				queue.Release()
			case rapid.Bool().Draw(t, "next"):
				record(queue.AdmitNext(now))
			default:
				next++
				organisation := rapid.SampledFrom([]berylspoke.OrganisationID{"a", "b", "c"}).Draw(t, "organisation")
				record(queue.Offer(now, Request{next, organisation, berylspoke.Tokens(rapid.IntRange(0, 9_000).Draw(t, "tokens"))}))
			}
			require.LessOrEqual(t, taken, slots)
			require.Equal(t, taken, queue.inUse)
		}
		for ; taken > 0; taken-- {
			queue.Release()
		}
		record(queue.Expire(now.Add(maxWait)))
		for ticket := Ticket(1); ticket <= next; ticket++ {
			require.Equal(t, 1, decisions[ticket], "ticket %d", ticket)
		}
		require.Zero(t, queue.waiting)
		require.Empty(t, queue.backlogged)
	})
}

// Guards against rejections by a daemon that is not overloaded: a burst of requests must
// be admitted whole.
func TestBurstAtAnIdleVMIsAdmitted(t *testing.T) {
	now, queue := time.Unix(0, 0), NewQueue(4)
	taken := 0
	for ticket := range Ticket(60) {
		change := queue.Offer(now, Request{ticket, "a", 2_000})
		require.Empty(t, change.Rejected)
		taken += len(change.Admitted)
	}
	for range 60 {
		now = now.Add(500 * time.Microsecond)
		queue.Release()
		change := queue.AdmitNext(now)
		require.Empty(t, change.Rejected)
		taken += len(change.Admitted)
	}
	require.Equal(t, 60, taken)
	require.False(t, queue.Overloaded(now.Add(overloadHold)))
}

// Guards against an organisation beyond its cap that takes slots for requests which the
// gate rejects after they are parsed.
func TestOverCapRequestsAreNotAdmitted(t *testing.T) {
	now, queue := time.Unix(0, 0), NewQueue(1)
	require.Len(t, queue.Offer(now, Request{1, "other", 1_000}).Admitted, 1)
	queue.SetAllowances(map[berylspoke.OrganisationID]float64{"flood": 1_500})
	require.Equal(t, NotRejected, queue.Reject(now, Request{2, "flood", 1_000}))
	queue.Offer(now, Request{2, "flood", 1_000})
	queue.Offer(now, Request{3, "flood", 1_000})
	require.Equal(t, OverCap, queue.Reject(now, Request{4, "flood", 1_000}), "the waiting requests use it up")
	require.Equal(t, NotRejected, queue.Reject(now, Request{4, "flood", 0}), "no engine serves this one")
	require.Equal(t, NotRejected, queue.Reject(now, Request{4, "other", 1_000}))
	queue.Release()
	require.Len(t, queue.AdmitNext(now).Admitted, 1)
	queue.Release()
	require.Len(t, queue.AdmitNext(now).Admitted, 1)
	require.Equal(t, OverCap, queue.Reject(now, Request{4, "flood", 1_000}), "the admitted requests have used it up")
	later := now.Add(overloadHold)
	require.Equal(t, OverCap, queue.Reject(later, Request{4, "flood", 1_000}))
	require.False(t, queue.Overloaded(later), "a rejection over the cap does not count as overload")
	queue.SetAllowances(nil)
	require.Equal(t, NotRejected, queue.Reject(later, Request{4, "flood", 1_000}))
}
