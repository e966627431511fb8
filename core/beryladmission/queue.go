package beryladmission

// This file defines the fair queue of requests that wait for the processor.

import (
	"maps"
	"slices"
	"time"

	"berylspoke"
)

const (
	// maxWait is the longest that a request waits to be admitted.
	maxWait = 50 * time.Millisecond
	// maxQueued bounds the requests that wait.
	maxQueued = 256
	// minCost is the least tokens that a request counts for: one without a
	// prompt uses the processor too.
	minCost = 500
	// overloadHold is how long the processor counts as overloaded after a request
	// had to wait or was rejected.
	overloadHold = 200 * time.Millisecond
	// intervalWeight is the part of one observation in the mean interval between two
	// admissions.
	intervalWeight = 0.1
	// maxIdleFlows bounds the flows that are kept though nothing waits for them.
	maxIdleFlows = 1024
	// rejectedWeight is the part of one decision in a flow's rejected part, and
	// rejectedHigh the part from which on the flow counts as mostly rejected.
	rejectedWeight = 0.05
	rejectedHigh   = 0.25
)

// Ticket identifies a request in the queue.
type Ticket uint64

// Request is one request that asks to be admitted.
type Request struct {
	Ticket       Ticket
	Organisation berylspoke.OrganisationID
	// Tokens are what the request counts in its organisation's share, zero for one that
	// no engine serves.
	Tokens berylspoke.Tokens
}

// Cause is why a request is rejected at once.
type Cause uint8

// The causes of a rejection.
const (
	// NotRejected requests may be offered.
	NotRejected Cause = iota
	// Overload says that the processor cannot serve the request in time.
	Overload
	// OverCap says that the organisation has used up its allowance.
	OverCap
	// Causes is the number of causes.
	Causes
)

// Change lists the requests that were decided on, in order.
type Change struct {
	Admitted, Rejected []Ticket
}

// Queue is the admission queue of one daemon.
type Queue struct {
	// slots is the number of requests that may be admitted at once, busy those that are
	// taken.
	slots, busy int
	// flows are kept only while the processor is overloaded.
	flows map[berylspoke.OrganisationID]*flow
	// backlogged are the flows with waiting requests, in the order in which they became
	// backlogged.
	backlogged []*flow
	waiting    int
	// virtual is the virtual time: the highest start tag of an admitted request.
	virtual float64
	// interval is the mean time between two admissions from the queue while others
	// waited, zero if none waited lately; last is when the latest was.
	interval time.Duration
	last     time.Time
	// overloaded is until when the processor counts as overloaded.
	overloaded time.Time
	// allowances are the tokens that may still be admitted of organisations beyond
	// their cap; others are not bounded.
	allowances map[berylspoke.OrganisationID]float64
}

// flow is one organisation's part of the queue.
type flow struct {
	// tag is the service that it received, in tokens on the scale of virtual.
	tag     float64
	waiting []entry
	// queued is the cost of those that wait.
	queued float64
	// rejected is the mean part of its latest requests that were rejected.
	rejected float64
}

// decided takes one decision into the rejected part.
func (flow *flow) decided(rejected float64) {
	flow.rejected += rejectedWeight * (rejected - flow.rejected)
}

// entry is one request that waits.
type entry struct {
	Request
	since time.Time
}

// cost returns what the request counts in the queue.
func (request Request) cost() float64 { return float64(max(request.Tokens, minCost)) }

// NewQueue returns an empty queue that admits so many requests at once.
func NewQueue(slots int) *Queue {
	return &Queue{slots: max(slots, 1), flows: make(map[berylspoke.OrganisationID]*flow)}
}

// Overloaded reports whether requests had to wait or were rejected until just now.
func (queue *Queue) Overloaded(now time.Time) bool {
	return len(queue.backlogged) > 0 || now.Before(queue.overloaded)
}

// SetAllowances sets the tokens that may be admitted until the next call of
// organisations beyond their cap. The queue takes the map over.
func (queue *Queue) SetAllowances(allowances map[berylspoke.OrganisationID]float64) {
	queue.allowances = allowances
}

// Reject reports why Offer would reject a request at once, and counts it as rejected
// if so. It spares the caller what only a waiting request needs.
func (queue *Queue) Reject(now time.Time, request Request) Cause {
	if queue.exhausted(request) {
		return OverCap
	}
	if !queue.Overloaded(now) || queue.waiting < queue.limit() {
		return NotRejected
	}
	flow := queue.flow(request.Organisation)
	ahead := flow.tag + flow.queued + request.cost()
	for _, other := range queue.backlogged {
		if other != flow && other.tag+other.queued > ahead {
			return NotRejected
		}
	}
	flow.decided(1)
	queue.overloaded = now.Add(overloadHold)
	return Overload
}

// exhausted reports whether a request's organisation has used up its allowance,
// counting what waits.
func (queue *Queue) exhausted(request Request) bool {
	allowance, bounded := queue.allowances[request.Organisation]
	if !bounded || request.Tokens == 0 {
		return false
	}
	if flow := queue.flows[request.Organisation]; flow != nil {
		allowance -= flow.queued
	}
	return allowance <= 0
}

// MostlyRejected reports whether a good part of an organisation's latest requests were
// rejected as the processor is overloaded.
func (queue *Queue) MostlyRejected(organisation berylspoke.OrganisationID) bool {
	flow := queue.flows[organisation]
	return flow != nil && flow.rejected > rejectedHigh
}

// Offer asks for a request to be admitted. Unless the processor is overloaded that
// happens at once; otherwise the request waits or is rejected, or another one is
// rejected for it.
func (queue *Queue) Offer(now time.Time, request Request) Change {
	change := queue.Expire(now)
	if !queue.Overloaded(now) {
		queue.reset()
		if queue.busy < queue.slots {
			queue.busy++
			change.Admitted = append(change.Admitted, request.Ticket)
			return change
		}
	}
	if len(queue.backlogged) == 0 {
		queue.last = now
	}
	queue.push(queue.flow(request.Organisation), entry{request, now})
	for queue.waiting > queue.limit() {
		change.Rejected = append(change.Rejected, queue.evict())
	}
	return change
}

// Begin takes a slot for a request that was admitted earlier and had not begun.
func (queue *Queue) Begin() { queue.busy++ }

// Done frees the slot of a request that was sent on or given up.
func (queue *Queue) Done() { queue.busy-- }

// Ready reports whether Next would admit a request.
func (queue *Queue) Ready() bool { return queue.waiting > 0 && queue.busy < queue.slots }

// Next admits waiting requests while there are slots. It is to be called when the
// processor has nothing else to do, so that requests admitted before are served first.
func (queue *Queue) Next(now time.Time) Change {
	change := queue.Expire(now)
	for queue.Ready() {
		change.Admitted = append(change.Admitted, queue.next(now))
	}
	return change
}

// Expire rejects the requests that have waited for maxWait.
func (queue *Queue) Expire(now time.Time) Change {
	var change Change
	for i := len(queue.backlogged) - 1; i >= 0; i-- {
		flow := queue.backlogged[i]
		for len(flow.waiting) > 0 && now.Sub(flow.waiting[0].since) >= maxWait {
			change.Rejected = append(change.Rejected, queue.remove(flow, 0).Ticket)
			flow.decided(1)
			queue.overloaded = now.Add(overloadHold)
		}
	}
	return change
}

// reset forgets what flows received, which counts only within one overload.
func (queue *Queue) reset() {
	clear(queue.flows)
	queue.virtual, queue.interval = 0, 0
}

// flow returns the flow of an organisation. One with nothing waiting starts at the
// virtual time, so that idleness saves no credit.
func (queue *Queue) flow(organisation berylspoke.OrganisationID) *flow {
	found := queue.flows[organisation]
	if found == nil {
		queue.prune()
		found = new(flow)
		queue.flows[organisation] = found
	}
	if len(found.waiting) == 0 {
		found.tag = max(found.tag, queue.virtual)
	}
	return found
}

// prune drops the flows that would start at the virtual time anyway.
func (queue *Queue) prune() {
	if len(queue.flows)-len(queue.backlogged) < maxIdleFlows {
		return
	}
	maps.DeleteFunc(queue.flows, func(_ berylspoke.OrganisationID, flow *flow) bool {
		return len(flow.waiting) == 0 && flow.tag <= queue.virtual
	})
}

// push adds a request to those that wait.
func (queue *Queue) push(flow *flow, waiting entry) {
	if len(flow.waiting) == 0 {
		queue.backlogged = append(queue.backlogged, flow)
	}
	flow.waiting = append(flow.waiting, waiting)
	flow.queued += waiting.cost()
	queue.waiting++
	queue.overloaded = waiting.since.Add(overloadHold)
}

// remove takes a request out of those that wait.
func (queue *Queue) remove(flow *flow, at int) entry {
	removed := flow.waiting[at]
	flow.waiting = slices.Delete(flow.waiting, at, at+1)
	flow.queued -= removed.cost()
	queue.waiting--
	if len(flow.waiting) == 0 {
		at := slices.Index(queue.backlogged, flow)
		queue.backlogged = slices.Delete(queue.backlogged, at, at+1)
	}
	return removed
}

// next admits the oldest request of the flow with the lowest tag.
func (queue *Queue) next(now time.Time) Ticket {
	least := queue.backlogged[0]
	for _, flow := range queue.backlogged[1:] {
		if flow.tag < least.tag {
			least = flow
		}
	}
	oldest := queue.remove(least, 0)
	queue.virtual = max(queue.virtual, least.tag)
	least.tag += oldest.cost()
	least.decided(0)
	if _, bounded := queue.allowances[oldest.Organisation]; bounded {
		queue.allowances[oldest.Organisation] -= float64(oldest.Tokens)
	}
	queue.busy++
	queue.interval += time.Duration(intervalWeight * float64(now.Sub(queue.last)-queue.interval))
	queue.last = now
	queue.overloaded = now.Add(overloadHold)
	return oldest.Ticket
}

// limit returns how many may wait: those that can expect to be admitted in time.
func (queue *Queue) limit() int {
	if queue.interval <= 0 {
		return maxQueued
	}
	return min(max(int(maxWait/queue.interval), queue.slots), maxQueued)
}

// evict rejects the newest request of the flow that is furthest ahead, counting what
// waits there.
func (queue *Queue) evict() Ticket {
	most := queue.backlogged[0]
	for _, flow := range queue.backlogged[1:] {
		if flow.tag+flow.queued > most.tag+most.queued {
			most = flow
		}
	}
	most.decided(1)
	return queue.remove(most, len(most.waiting)-1).Ticket
}
