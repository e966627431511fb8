package berylnode

// This file defines the way of a request through the queue to a target.

import (
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
)

const (
	// overloadRetry is when to come back after a refusal for overload.
	overloadRetry = 2 * time.Second
	// startingRetry is when to come back to a daemon that is starting.
	startingRetry = time.Second
)

// Submit queues a request; its fate arrives as an effect under its id.
func (node *Node) Submit(now time.Time, request Request) {
	node.waiting[request.Request] = &request
	organisation, known := node.Declarations().Organisations[request.Organisation]
	service := node.services[request.Service]
	switch {
	case !node.Ready():
		node.refuse(now, request.Request, berylspoke.ReasonStarting, startingRetry)
		return
	case node.closed:
		node.refuse(now, request.Request, berylspoke.ReasonDraining, startingRetry)
		return
	case service == nil || !known:
		node.refuse(now, request.Request, berylspoke.ReasonUnknown, 0)
		return
	case len(service.keepers.Of) == 0:
		node.refuse(now, request.Request, berylspoke.ReasonNoTarget, overloadRetry)
		return
	}
	node.retries.Earn(node.options.Retries)
	node.setTime(now, service)
	displaced, err := service.queue.Push(request.Waiting, organisation.Weight, organisation.MaxWaiting)
	if displaced != nil {
		node.refuse(now, displaced.Request, berylspoke.ReasonOverload, overloadRetry)
	}
	switch {
	case errors.Is(err, berylshare.ErrOrganisationFull):
		node.refuse(now, request.Request, berylspoke.ReasonOrganisation, overloadRetry)
	case err != nil:
		node.refuse(now, request.Request, berylspoke.ReasonOverload, overloadRetry)
	default:
		node.dispatch(now, service)
	}
}

// Retry says whether the budget allows a retry of an idempotent request.
func (node *Node) Retry(now time.Time) bool { return node.retries.Spend(now, 1) }

func (node *Node) setTime(now time.Time, service *service) {
	service.queue.SetVirtualTime(service.holder.Time(now, service.keepers.Local))
}

// refuse ends a request that never reached a target.
func (node *Node) refuse(now time.Time, id berylspoke.RequestID, reason berylspoke.Reason, after time.Duration) {
	request := node.waiting[id]
	if request == nil {
		return
	}
	delete(node.waiting, id)
	if request.Call != nil && !node.owner.GiveUp(now, *request.Call) {
		return
	}
	node.effects.Refusals = append(node.effects.Refusals, Refuse{id, &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: reason, RetryAfter: after,
	}})
}

// expire refuses what waited past its deadline, with the final answer at once.
func (node *Node) expire(now time.Time, service *service) {
	for _, request := range service.queue.Expire(now) {
		node.refuse(now, request.Request, berylspoke.ReasonWaitedTooLong, overloadRetry)
	}
}

// Cancel ends a request whose caller went away; it returns true if the request
// had not started.
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

// dispatch starts waiting requests while there are slots for them.
func (node *Node) dispatch(now time.Time, service *service) {
	node.setTime(now, service)
	for service.queue.Waiting() > 0 {
		places := node.usable(now, service)
		if len(places) == 0 {
			return
		}
		started, ok := service.queue.Pop()
		if !ok {
			return
		}
		node.begin(now, service, started, node.choose(places, started.Prefix))
	}
}

// usable lists the places where the next request may start.
func (node *Node) usable(now time.Time, service *service) []berylslot.Place {
	if node.startsAnywhere() {
		return node.anywhere(now, service)
	}
	cross := node.mayCross(now, service)
	tag, _ := service.queue.Head()
	var usable []berylslot.Place
	for _, place := range service.holder.Free(now, tag) {
		// A leaving target has no keeper any more; the slots that were leased
		// before it was declared leaving must not be used.
		if service.keepers.Of[place.Target] == "" || !node.health.Usable(now, place.Target) {
			continue
		}
		if !cross && node.remote(place.Target) {
			continue
		}
		usable = append(usable, place)
	}
	return usable
}

// anywhere lists one random target, for the baseline without keepers.
func (node *Node) anywhere(now time.Time, service *service) []berylslot.Place {
	targets := node.Declarations().TargetsOf(service.id)
	var usable []berylspoke.TargetID
	for _, target := range targets {
		if node.health.Usable(now, target) {
			usable = append(usable, target)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return []berylslot.Place{{Target: usable[node.random.IntN(len(usable))]}}
}

// choose prefers a free target that holds the request's prefix, then one of the
// own region, then the one with the most idle slots.
func (node *Node) choose(places []berylslot.Place, prefix uint64) berylslot.Place {
	if target := node.prefixes.Target(prefix); target != "" {
		for _, place := range places {
			if place.Target == target {
				return place
			}
		}
	}
	for _, place := range places {
		if !node.remote(place.Target) {
			return place
		}
	}
	return places[0]
}

func (node *Node) begin(now time.Time, service *service, started *berylshare.StartedRequest, place berylslot.Place) {
	request := node.waiting[started.Request]
	delete(node.waiting, started.Request)
	if place.Keeper != "" {
		service.holder.Start(now, place, started.Tag)
	}
	entry := &running{service: service, started: started, place: place, call: request.Call}
	node.running[started.Request] = entry
	if request.Call == nil {
		node.launch(entry)
		return
	}
	node.askPermit(now, entry)
}

// launch tells io to send the request.
func (node *Node) launch(entry *running) {
	node.prefixes.Note(entry.started.Prefix, entry.place.Target)
	node.effects.Starts = append(node.effects.Starts, Start{entry.started.Request, entry.place.Target})
}

// Progress charges what a running request received and notes its pace.
func (node *Node) Progress(id berylspoke.RequestID, received berylspoke.Tokens, pace time.Duration) {
	entry := node.running[id]
	if entry == nil {
		return
	}
	entry.service.queue.Progress(entry.started, received)
	entry.service.holder.Pace(entry.place, pace)
}

// Outcome is how the attempt of a request at a target ended.
type Outcome struct {
	Received berylspoke.Tokens
	// Bytes is what the attempt moved between entry and target.
	Bytes int
	// Failed is set if the target or the way to it failed.
	Failed  bool
	Verdict berylspoke.Verdict
	Answer  berylspoke.Answer
}

// Finish ends a running request and frees its slot.
func (node *Node) Finish(now time.Time, id berylspoke.RequestID, outcome Outcome) {
	entry := node.running[id]
	if entry == nil {
		return
	}
	delete(node.running, id)
	service := entry.service
	service.queue.Finish(entry.started, outcome.Received)
	if outcome.Failed {
		node.health.Failed(now, entry.place.Target)
	} else {
		node.health.Worked(entry.place.Target)
	}
	if node.remote(entry.place.Target) {
		node.crossing.Charge(now, float64(outcome.Bytes))
	}
	if entry.call != nil {
		node.owner.Finish(now, *entry.call, outcome.Verdict, outcome.Answer)
	}
	next, waiting := service.queue.Head()
	if entry.place.Keeper != "" {
		service.holder.Finish(now, entry.place, next, waiting)
	}
	node.dispatch(now, service)
}

// Target returns where a request runs, or "".
func (node *Node) Target(id berylspoke.RequestID) berylspoke.TargetID {
	if entry := node.running[id]; entry != nil {
		return entry.place.Target
	}
	return ""
}

// Load takes a target's load report.
func (node *Node) Load(now time.Time, target berylspoke.TargetID, report berylspoke.LoadReport) {
	service := node.services[node.Declarations().Targets[target].Service]
	if service != nil && service.keeper != nil {
		service.keeper.Report(now, target, report)
	}
}

// Kept lists the targets whose load this daemon reads.
func (node *Node) Kept() []berylspoke.TargetID {
	var kept []berylspoke.TargetID
	for _, service := range node.services {
		if service.keeper != nil {
			kept = append(kept, service.keeper.Targets()...)
		}
	}
	return kept
}
