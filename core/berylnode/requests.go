package berylnode

// This file defines the path of a request through the queue to a target.

import (
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
)

const (
	// overloadRetryAfter is the retry delay sent to a caller that is refused for overload.
	overloadRetryAfter = 2 * time.Second
	// startingRetryAfter is the retry delay sent to a caller of a starting or draining
	// daemon.
	startingRetryAfter = time.Second
)

// Submit queues a request. A Start or Refuse effect with its id follows.
func (node *Node) Submit(now time.Time, request Request) {
	node.waiting[request.Request] = &request
	organisation, known := node.Declarations().Organisations[request.Organisation]
	service := node.services[request.Service]
	switch {
	case !node.Ready():
		node.refuse(now, request.Request, berylspoke.ReasonStarting, startingRetryAfter)
		return
	case node.notAccepting:
		node.refuse(now, request.Request, berylspoke.ReasonDraining, startingRetryAfter)
		return
	case service == nil || !known:
		node.refuse(now, request.Request, berylspoke.ReasonUnknownService, 0)
		return
	case len(service.lessors.Of) == 0:
		node.refuse(now, request.Request, berylspoke.ReasonNoTarget, overloadRetryAfter)
		return
	}
	if refusal := node.refuseHeld(now, service); refusal != nil {
		node.refuse(now, request.Request, refusal.Reason, refusal.RetryAfter)
		return
	}
	node.retryBudget.Earn(node.options.RetriesPerRequest)
	node.updateVirtualTime(now, service)
	displaced, err := service.queue.Push(request.QueuedRequest, organisation.Weight, organisation.MaxWaiting)
	if displaced != nil {
		node.refuse(now, displaced.Request, berylspoke.ReasonOverload, overloadRetryAfter)
	}
	switch {
	case errors.Is(err, berylshare.ErrOrganisationFull):
		node.refuse(now, request.Request, berylspoke.ReasonOrganisationLimit, overloadRetryAfter)
	case err != nil:
		node.refuse(now, request.Request, berylspoke.ReasonOverload, overloadRetryAfter)
	default:
		node.dispatch(now, service)
	}
}

// AllowRetry reports whether the budget allows a retry of an idempotent request, and
// charges it.
func (node *Node) AllowRetry(now time.Time) bool { return node.retryBudget.Spend(now, 1) }

func (node *Node) updateVirtualTime(now time.Time, service *service) {
	service.queue.SetVirtualTime(service.holder.VirtualTime(now, service.lessors.Local))
}

// refuse ends a request that never reached a target.
func (node *Node) refuse(now time.Time, id berylspoke.RequestID, reason berylspoke.Reason, after time.Duration) {
	request := node.waiting[id]
	if request == nil {
		return
	}
	delete(node.waiting, id)
	if request.Call != nil && !node.owner.Abandon(now, *request.Call) {
		return
	}
	node.effects.Refusals = append(node.effects.Refusals, Refuse{id, &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: reason, RetryAfter: after,
	}})
}

// expire refuses the requests that waited past their deadline.
func (node *Node) expire(now time.Time, service *service) {
	for _, request := range service.queue.Expire(now) {
		node.refuse(now, request.Request, berylspoke.ReasonWaitedTooLong, overloadRetryAfter)
	}
}

// Cancel ends a waiting request whose caller disconnected. It returns false if the
// request is not waiting.
func (node *Node) Cancel(now time.Time, id berylspoke.RequestID) bool {
	request := node.waiting[id]
	if request == nil {
		return false
	}
	if service := node.services[request.Service]; service != nil {
		service.queue.Remove(request.Organisation, id)
	}
	node.refuse(now, id, berylspoke.ReasonClosed, 0)
	return true
}

// dispatch starts waiting requests while slots are free.
func (node *Node) dispatch(now time.Time, service *service) {
	node.updateVirtualTime(now, service)
	for service.queue.Waiting() > 0 {
		placements := node.usablePlacements(now, service)
		if len(placements) == 0 {
			return
		}
		started, ok := service.queue.Pop()
		if !ok {
			return
		}
		node.startRequest(now, service, started, node.choosePlacement(placements, started.Prefix))
	}
}

// usablePlacements returns the placements where the next request may start.
func (node *Node) usablePlacements(now time.Time, service *service) []berylslot.Placement {
	if node.ignoresLeases() {
		return node.randomPlacement(now, service)
	}
	cross := node.mayCrossRegions(now, service)
	tag, _ := service.queue.Head()
	var usable []berylslot.Placement
	for _, placement := range service.holder.Free(now, tag) {
		// A draining target has no lessor. Slots leased before it was declared draining
		// must not be used.
		if service.lessors.Of[placement.Target] == "" || !node.usable(now, placement.Target) {
			continue
		}
		if !cross && node.isRemote(placement.Target) {
			continue
		}
		usable = append(usable, placement)
	}
	return usable
}

// randomPlacement returns one random usable target, for the baseline without lessors.
func (node *Node) randomPlacement(now time.Time, service *service) []berylslot.Placement {
	targets := node.Declarations().TargetsOf(service.id)
	var usable []berylspoke.TargetID
	for _, target := range targets {
		if node.usable(now, target) {
			usable = append(usable, target)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return []berylslot.Placement{{Target: usable[node.random.IntN(len(usable))]}}
}

// choosePlacement prefers the target that last received the request's prompt prefix, then
// targets in this daemon's region, then the target with the most idle slots.
func (node *Node) choosePlacement(placements []berylslot.Placement, prefix uint64) berylslot.Placement {
	if target := node.prefixes.Target(prefix); target != "" {
		for _, placement := range placements {
			if placement.Target == target {
				return placement
			}
		}
	}
	for _, placement := range placements {
		if !node.isRemote(placement.Target) {
			return placement
		}
	}
	return placements[0]
}

func (node *Node) startRequest(now time.Time, service *service, started *berylshare.StartedRequest, placement berylslot.Placement) {
	request := node.waiting[started.Request]
	delete(node.waiting, started.Request)
	if placement.Lessor != "" {
		service.holder.Start(now, placement, started.Tag)
	}
	active := &activeRequest{service: service, started: started, placement: placement, call: request.Call}
	node.running[started.Request] = active
	if request.Call == nil {
		node.launch(active)
		return
	}
	node.requestPermit(now, active)
}

// launch appends the effect that sends the request to its target.
func (node *Node) launch(active *activeRequest) {
	node.prefixes.Record(active.started.Prefix, active.placement.Target)
	node.effects.Starts = append(node.effects.Starts, Start{active.started.Request, active.placement.Target})
}

// Progress charges the service that a running request received and records the time
// between its tokens.
func (node *Node) Progress(id berylspoke.RequestID, received berylspoke.Tokens, tokenInterval time.Duration) {
	active := node.running[id]
	if active == nil {
		return
	}
	active.service.queue.Progress(active.started, received)
	active.service.holder.RecordTokenInterval(active.placement, tokenInterval)
}

// Outcome is the result of an attempt at a target.
type Outcome struct {
	Received berylspoke.Tokens
	// Bytes is the traffic of the attempt between entry daemon and target.
	Bytes int
	// Failed is set if the target or the connection to it failed.
	Failed  bool
	Verdict berylspoke.Verdict
	Answer  berylspoke.Answer
}

// Finish ends a running request and frees its slot.
func (node *Node) Finish(now time.Time, id berylspoke.RequestID, outcome Outcome) {
	active := node.running[id]
	if active == nil {
		return
	}
	delete(node.running, id)
	service := active.service
	service.queue.Finish(active.started, outcome.Received)
	if outcome.Failed {
		node.health.Failed(now, active.placement.Target)
	} else {
		node.health.Succeeded(active.placement.Target)
	}
	if node.isRemote(active.placement.Target) {
		node.crossBudget.Charge(now, float64(outcome.Bytes))
	}
	if active.call != nil {
		node.owner.Finish(now, *active.call, outcome.Verdict, outcome.Answer)
	}
	next, waiting := service.queue.Head()
	if active.placement.Lessor != "" {
		service.holder.Finish(now, active.placement, next, waiting)
	}
	node.dispatch(now, service)
}

// Target returns the target where a request runs, or "" if it is not running.
func (node *Node) Target(id berylspoke.RequestID) berylspoke.TargetID {
	if active := node.running[id]; active != nil {
		return active.placement.Target
	}
	return ""
}

// HandleLoadReport passes a target's load report to its lessor.
func (node *Node) HandleLoadReport(now time.Time, target berylspoke.TargetID, report berylspoke.LoadReport) {
	service := node.services[node.Declarations().Targets[target].Service]
	if service != nil && service.lessor != nil {
		service.lessor.Report(now, target, report)
	}
}

// LeasedTargets returns the targets whose lessor is this daemon and whose load it must
// read.
func (node *Node) LeasedTargets() []berylspoke.TargetID {
	var targets []berylspoke.TargetID
	for _, service := range node.services {
		if service.lessor != nil {
			targets = append(targets, service.lessor.Targets()...)
		}
	}
	return targets
}
