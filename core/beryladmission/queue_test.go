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

// script is what organisations ask of a processor that serves one request in each
// interval, and the part of it that must be served.
type script struct {
	Seconds    float64                     `json:"seconds"`
	CostMillis float64                     `json:"costMillis"`
	Callers    map[string]callers          `json:"callers"`
	AtLeast    map[string]float64          `json:"atLeast"`
	AtMost     map[string]float64          `json:"atMost"`
	Ratio      map[string]map[string]bound `json:"tokenRatio"`
	// Allowances are tokens a second that organisations beyond their cap may begin.
	Allowances map[string]float64 `json:"allowances"`
}

// allowEvery is the time between two settings of the allowances.
const allowEvery = 50 * time.Millisecond

// allow returns the allowances until the next setting.
func (script script) allow() map[berylspoke.OrganisationID]float64 {
	allowances := make(map[berylspoke.OrganisationID]float64)
	for name, rate := range script.Allowances {
		allowances[berylspoke.OrganisationID(name)] = rate * allowEvery.Seconds()
	}
	return allowances
}

type callers struct {
	Rate   float64           `json:"rate"`
	Tokens berylspoke.Tokens `json:"tokens"`
	// From and Until are the seconds in which they come.
	From  float64 `json:"from"`
	Until float64 `json:"until"`
}

type bound struct {
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
}

// Each script guards against one way in which a VM short of processor time would
// serve its organisations unfairly or less than it could.
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
			script.play(t)
		})
	}
}

func (script script) play(t *testing.T) {
	const slots, step = 4, 500 * time.Microsecond
	began := time.Unix(0, 0)
	queue := NewQueue(slots)
	asked, served := make(map[string]float64), make(map[string]float64)
	requests := make(map[Ticket]string)
	tokens := make(map[string]float64)
	due := make(map[string]float64)
	var busy []Ticket
	free := began
	take := func(change Change) {
		for _, ticket := range change.Admitted {
			name := requests[ticket]
			served[name]++
			tokens[name] += float64(script.Callers[name].Tokens)
		}
		busy = append(busy, change.Admitted...)
	}
	next := Ticket(0)
	cost := time.Duration(script.CostMillis * float64(time.Millisecond))
	for now := began; now.Sub(began).Seconds() < script.Seconds; now = now.Add(step) {
		if now.Sub(began)%allowEvery == 0 {
			queue.SetAllowances(script.allow())
		}
		for _, name := range []string{"flood", "other", "small"} {
			callers := script.Callers[name]
			if at := now.Sub(began).Seconds(); at < callers.From || callers.Until > 0 && at >= callers.Until {
				continue
			}
			for due[name] += callers.Rate * step.Seconds(); due[name] >= 1; due[name]-- {
				next++
				asked[name]++
				requests[next] = name
				request := Request{next, berylspoke.OrganisationID(name), callers.Tokens}
				if queue.Reject(now, request) == NotRejected {
					take(queue.Offer(now, request))
				}
				take(queue.Next(now))
			}
		}
		if len(busy) == 0 {
			free = now.Add(cost)
		}
		for len(busy) > 0 && !now.Before(free) {
			busy = busy[1:]
			queue.Done()
			take(queue.Next(now))
			free = free.Add(cost)
		}
		take(queue.Expire(now))
	}
	for name, least := range script.AtLeast {
		require.GreaterOrEqual(t, served[name]/asked[name], least, name)
	}
	for name, most := range script.AtMost {
		require.LessOrEqual(t, served[name]/asked[name], most, name)
	}
	for one, others := range script.Ratio {
		for other, bound := range others {
			require.GreaterOrEqual(t, tokens[one]/tokens[other], bound.Least, "%s to %s", one, other)
			require.LessOrEqual(t, tokens[one]/tokens[other], bound.Most, "%s to %s", one, other)
		}
	}
}

// Guards against a request that is neither admitted nor rejected, or both, whose caller
// would wait for good; and against a slot that is lost.
func TestEachRequestIsAdmittedOrRejectedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		now, queue := time.Unix(0, 0), NewQueue(slots)
		fate, taken, next := make(map[Ticket]int), 0, Ticket(0)
		settle := func(change Change) {
			for _, ticket := range append(change.Admitted, change.Rejected...) {
				fate[ticket]++
			}
			taken += len(change.Admitted)
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "millis")) * time.Millisecond)
			switch {
			case taken > 0 && rapid.Bool().Draw(t, "done"):
				taken--
				queue.Done()
			case rapid.Bool().Draw(t, "next"):
				settle(queue.Next(now))
			default:
				next++
				organisation := rapid.SampledFrom([]berylspoke.OrganisationID{"a", "b", "c"}).Draw(t, "organisation")
				settle(queue.Offer(now, Request{next, organisation, berylspoke.Tokens(rapid.IntRange(0, 9_000).Draw(t, "tokens"))}))
			}
			require.LessOrEqual(t, taken, slots)
			require.Equal(t, taken, queue.busy)
		}
		for ; taken > 0; taken-- {
			queue.Done()
		}
		settle(queue.Expire(now.Add(maxWait)))
		for ticket := Ticket(1); ticket <= next; ticket++ {
			require.Equal(t, 1, fate[ticket], "ticket %d", ticket)
		}
		require.Zero(t, queue.waiting)
		require.Empty(t, queue.backlogged)
	})
}

// Guards against rejections by a daemon at ease: a moment in which many come at once
// must pass without any.
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
		queue.Done()
		change := queue.Next(now)
		require.Empty(t, change.Rejected)
		taken += len(change.Admitted)
	}
	require.Equal(t, 60, taken)
	require.False(t, queue.Overloaded(now.Add(overloadHold)))
}

// Guards against an organisation beyond its cap that takes slots for requests which are
// refused once they are parsed.
func TestOverCapRequestsAreNotAdmitted(t *testing.T) {
	now, queue := time.Unix(0, 0), NewQueue(1)
	require.Len(t, queue.Offer(now, Request{1, "other", 1_000}).Admitted, 1)
	queue.SetAllowances(map[berylspoke.OrganisationID]float64{"flood": 1_500})
	require.Equal(t, NotRejected, queue.Reject(now, Request{2, "flood", 1_000}))
	queue.Offer(now, Request{2, "flood", 1_000})
	queue.Offer(now, Request{3, "flood", 1_000})
	require.Equal(t, OverCap, queue.Reject(now, Request{4, "flood", 1_000}), "what waits will use it up")
	require.Equal(t, NotRejected, queue.Reject(now, Request{4, "flood", 0}), "no engine serves this one")
	require.Equal(t, NotRejected, queue.Reject(now, Request{4, "other", 1_000}))
	queue.Done()
	require.Len(t, queue.Next(now).Admitted, 1)
	queue.Done()
	require.Len(t, queue.Next(now).Admitted, 1)
	require.Equal(t, OverCap, queue.Reject(now, Request{4, "flood", 1_000}), "what was admitted has used it up")
	later := now.Add(overloadHold)
	require.Equal(t, OverCap, queue.Reject(later, Request{4, "flood", 1_000}))
	require.False(t, queue.Overloaded(later), "such a rejection says nothing of the processor")
	queue.SetAllowances(nil)
	require.Equal(t, NotRejected, queue.Reject(later, Request{4, "flood", 1_000}))
}
