package beryladmission

// This file defines the fair queue of requests that wait for the processor.

import (
	"maps"
	"slices"
	"time"

	"berylspoke"
)

const (
	// maxWait is the longest time that a request waits for admission.
	maxWait = 50 * time.Millisecond
	// maxQueued is the maximum number of waiting requests.
	maxQueued = 256
	// minCostTokens is the minimum cost of a request: one without a prompt uses the
	// processor too.
	minCostTokens = 500
	// overloadHold is how long the processor counts as overloaded after a request had to
	// wait or was rejected.
	overloadHold = 200 * time.Millisecond
	// intervalWeight is the weight of one observation in the moving average of the
	// interval between two admissions.
	intervalWeight = 0.1
	// maxIdleFlows is the number of idle flows, those without waiting requests, from
	// which on they are pruned.
	maxIdleFlows = 1024
	// rejectedWeight is the weight of one decision in a flow's rejected fraction, and
	// rejectedThreshold the fraction above which the flow counts as mostly rejected.
	rejectedWeight    = 0.05
	rejectedThreshold = 0.25
)

// Ticket identifies a request in the queue.
type Ticket uint64

// Request is one request for admission.
type Request struct {
	Ticket       Ticket
	Organisation berylspoke.OrganisationID
	// Tokens is what the request counts against its organisation's share, zero for one
	// that no engine serves.
	Tokens berylspoke.Tokens
}

// Cause is the reason for a rejection.
type Cause uint8

// The causes of a rejection.
const (
	// NotRejected requests may be passed to Queue.Offer.
	NotRejected Cause = iota
	// Overload means that the processor cannot serve the request in time.
	Overload
	// OverCap means that the organisation has used up its allowance.
	OverCap
	// CauseCount is the number of causes.
	CauseCount
)

// Change lists the requests that a call decided on, in order.
type Change struct {
	Admitted, Rejected []Ticket
}

// Queue is the admission queue of one daemon.
type Queue struct {
	// slots is the number of requests that may be admitted at the same time, inUse the
	// number of slots taken.
	slots, inUse int
	// flows is kept only while the processor is overloaded.
	flows map[berylspoke.OrganisationID]*flow
	// backlogged holds the flows with waiting requests, in the order in which they
	// became backlogged.
	backlogged []*flow
	waiting    int
	// virtualTime is the maximum start tag of the admitted requests.
	virtualTime float64
	// meanInterval is the moving average of the time between two admissions from the
	// queue, zero if no request waited since the last reset; lastAdmission is the start
	// of the current interval.
	meanInterval  time.Duration
	lastAdmission time.Time
	// overloadedUntil is when the processor stops counting as overloaded.
	overloadedUntil time.Time
	// allowances holds the remaining tokens of organisations beyond their cap; others
	// are not limited.
	allowances map[berylspoke.OrganisationID]float64
}

// flow is the queue of one organisation.
type flow struct {
	// tag is the start tag of the flow's next request: a virtual time, in tokens.
	tag     float64
	waiting []queuedRequest
	// queuedCost is the total cost of the waiting requests.
	queuedCost float64
	// rejectedFraction is the moving average of the rejections among the flow's latest
	// requests.
	rejectedFraction float64
}

// recordDecision adds one decision to the rejected fraction: 1 for a rejection, 0 for
// an admission.
func (flow *flow) recordDecision(rejected float64) {
	flow.rejectedFraction += rejectedWeight * (rejected - flow.rejectedFraction)
}

// queuedRequest is one waiting request.
type queuedRequest struct {
	Request
	queuedAt time.Time
}

// cost returns the tokens by which the request advances its flow's tag.
func (request Request) cost() float64 { return float64(max(request.Tokens, minCostTokens)) }

// NewQueue returns an empty queue with the given number of slots, at least one.
func NewQueue(slots int) *Queue {
	return &Queue{slots: max(slots, 1), flows: make(map[berylspoke.OrganisationID]*flow)}
}

// Overloaded reports whether requests are waiting, or had to wait or were rejected
// recently.
func (queue *Queue) Overloaded(now time.Time) bool {
	return len(queue.backlogged) > 0 || now.Before(queue.overloadedUntil)
}

// SetAllowances sets the tokens of organisations beyond their cap that may be admitted
// until the next call. The queue takes ownership of the map.
func (queue *Queue) SetAllowances(allowances map[berylspoke.OrganisationID]float64) {
	queue.allowances = allowances
}

// Reject reports whether a request is rejected without being offered, and why. It counts
// a rejection for overload. It spares the caller the work that only a waiting request
// needs.
func (queue *Queue) Reject(now time.Time, request Request) Cause {
	if queue.allowanceExhausted(request) {
		return OverCap
	}
	if !queue.Overloaded(now) || queue.waiting < queue.waitingLimit() {
		return NotRejected
	}
	flow := queue.flow(request.Organisation)
	ahead := flow.tag + flow.queuedCost + request.cost()
	for _, other := range queue.backlogged {
		if other != flow && other.tag+other.queuedCost > ahead {
			return NotRejected
		}
	}
	flow.recordDecision(1)
	queue.overloadedUntil = now.Add(overloadHold)
	return Overload
}

// allowanceExhausted reports whether a request's organisation has used up its allowance,
// including its waiting requests.
func (queue *Queue) allowanceExhausted(request Request) bool {
	allowance, bounded := queue.allowances[request.Organisation]
	if !bounded || request.Tokens == 0 {
		return false
	}
	if flow := queue.flows[request.Organisation]; flow != nil {
		allowance -= flow.queuedCost
	}
	return allowance <= 0
}

// MostlyRejected reports whether more than rejectedThreshold of an organisation's latest
// requests were rejected because the processor is overloaded.
func (queue *Queue) MostlyRejected(organisation berylspoke.OrganisationID) bool {
	flow := queue.flows[organisation]
	return flow != nil && flow.rejectedFraction > rejectedThreshold
}

// Offer admits a request immediately unless the processor is overloaded or no slot is
// free. Otherwise the request waits or is rejected, or a waiting one is rejected in its
// place.
func (queue *Queue) Offer(now time.Time, request Request) Change {
	change := queue.Expire(now)
	if !queue.Overloaded(now) {
		queue.reset()
		if queue.inUse < queue.slots {
			queue.inUse++
			change.Admitted = append(change.Admitted, request.Ticket)
			return change
		}
	}
	if len(queue.backlogged) == 0 {
		queue.lastAdmission = now
	}
	queue.push(queue.flow(request.Organisation), queuedRequest{request, now})
	for queue.waiting > queue.waitingLimit() {
		change.Rejected = append(change.Rejected, queue.evict())
	}
	return change
}

// Acquire takes a slot for a request that was admitted before it was parsed. It does not
// wait, so the slots taken may exceed the number of slots.
func (queue *Queue) Acquire() { queue.inUse++ }

// Release frees the slot of a request that was forwarded or abandoned.
func (queue *Queue) Release() { queue.inUse-- }

// Ready reports whether AdmitNext would admit a request.
func (queue *Queue) Ready() bool { return queue.waiting > 0 && queue.inUse < queue.slots }

// AdmitNext admits waiting requests while slots are free. Call it when the processor has
// nothing else to do, so that requests admitted earlier are served first.
func (queue *Queue) AdmitNext(now time.Time) Change {
	change := queue.Expire(now)
	for queue.Ready() {
		change.Admitted = append(change.Admitted, queue.admitNext(now))
	}
	return change
}

// Expire rejects the requests that have waited for maxWait or longer.
func (queue *Queue) Expire(now time.Time) Change {
	var change Change
	for i := len(queue.backlogged) - 1; i >= 0; i-- {
		flow := queue.backlogged[i]
		for len(flow.waiting) > 0 && now.Sub(flow.waiting[0].queuedAt) >= maxWait {
			change.Rejected = append(change.Rejected, queue.remove(flow, 0).Ticket)
			flow.recordDecision(1)
			queue.overloadedUntil = now.Add(overloadHold)
		}
	}
	return change
}

// reset discards the flows and their tags, which count only within one overload.
func (queue *Queue) reset() {
	clear(queue.flows)
	queue.virtualTime, queue.meanInterval = 0, 0
}

// flow returns the flow of an organisation. The tag of a flow without waiting requests is
// at least the virtual time, so that an idle flow accumulates no credit.
func (queue *Queue) flow(organisation berylspoke.OrganisationID) *flow {
	found := queue.flows[organisation]
	if found == nil {
		queue.prune()
		found = new(flow)
		queue.flows[organisation] = found
	}
	if len(found.waiting) == 0 {
		found.tag = max(found.tag, queue.virtualTime)
	}
	return found
}

// prune drops idle flows whose tag would be raised to the virtual time anyway.
func (queue *Queue) prune() {
	if len(queue.flows)-len(queue.backlogged) < maxIdleFlows {
		return
	}
	maps.DeleteFunc(queue.flows, func(_ berylspoke.OrganisationID, flow *flow) bool {
		return len(flow.waiting) == 0 && flow.tag <= queue.virtualTime
	})
}

// push appends a request to a flow's waiting requests.
func (queue *Queue) push(flow *flow, request queuedRequest) {
	if len(flow.waiting) == 0 {
		queue.backlogged = append(queue.backlogged, flow)
	}
	flow.waiting = append(flow.waiting, request)
	flow.queuedCost += request.cost()
	queue.waiting++
	queue.overloadedUntil = request.queuedAt.Add(overloadHold)
}

// remove removes the waiting request at an index of a flow.
func (queue *Queue) remove(flow *flow, index int) queuedRequest {
	removed := flow.waiting[index]
	flow.waiting = slices.Delete(flow.waiting, index, index+1)
	flow.queuedCost -= removed.cost()
	queue.waiting--
	if len(flow.waiting) == 0 {
		at := slices.Index(queue.backlogged, flow)
		queue.backlogged = slices.Delete(queue.backlogged, at, at+1)
	}
	return removed
}

// admitNext admits the oldest request of the flow with the minimum tag.
func (queue *Queue) admitNext(now time.Time) Ticket {
	lowest := queue.backlogged[0]
	for _, flow := range queue.backlogged[1:] {
		if flow.tag < lowest.tag {
			lowest = flow
		}
	}
	oldest := queue.remove(lowest, 0)
	queue.virtualTime = max(queue.virtualTime, lowest.tag)
	lowest.tag += oldest.cost()
	lowest.recordDecision(0)
	if _, bounded := queue.allowances[oldest.Organisation]; bounded {
		queue.allowances[oldest.Organisation] -= float64(oldest.Tokens)
	}
	queue.inUse++
	queue.meanInterval += time.Duration(intervalWeight * float64(now.Sub(queue.lastAdmission)-queue.meanInterval))
	queue.lastAdmission = now
	queue.overloadedUntil = now.Add(overloadHold)
	return oldest.Ticket
}

// waitingLimit returns how many requests may wait: those that can expect to be admitted
// within maxWait at the current rate of admission.
func (queue *Queue) waitingLimit() int {
	if queue.meanInterval <= 0 {
		return maxQueued
	}
	return min(max(int(maxWait/queue.meanInterval), queue.slots), maxQueued)
}

// evict rejects the newest request of the flow that is furthest ahead, including the
// cost of its waiting requests.
func (queue *Queue) evict() Ticket {
	furthest := queue.backlogged[0]
	for _, flow := range queue.backlogged[1:] {
		if flow.tag+flow.queuedCost > furthest.tag+furthest.queuedCost {
			furthest = flow
		}
	}
	furthest.recordDecision(1)
	return queue.remove(furthest, len(furthest.waiting)-1).Ticket
}
