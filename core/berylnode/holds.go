package berylnode

// This file defines which targets get nothing for a while because they asked for it in
// answers. Slots that were leased there before stay unused.

import (
	"time"

	"berylspoke"
)

const (
	// leavingHold is how long a target that said that it leaves gets nothing more, unless
	// it is declared with another address. Targets do not tell their runs apart, so one
	// that restarted at its address is found only by trying.
	leavingHold = time.Minute
	// returnSpread is the time over which callers that were refused for a hold return.
	returnSpread = 500 * time.Millisecond
)

// Advice is what a target asked for in an answer, and the address that answered.
type Advice struct {
	Target  berylspoke.TargetID
	Address string
	// Leaving targets accept no new requests.
	Leaving bool
	// Rest is for how long the target wants nothing from this daemon.
	Rest time.Duration
	At   time.Time
}

// HeldUntil returns until when the target gets nothing.
func (advice Advice) HeldUntil() time.Time {
	if advice.Leaving {
		return advice.At.Add(max(leavingHold, advice.Rest))
	}
	return advice.At.Add(advice.Rest)
}

// hold says until when nothing is sent to a target.
type hold struct {
	address string
	until   time.Time
	leaving bool
}

// FollowAdvice applies what a target asked for. If that leaves none for a service, the
// requests that wait for one are refused.
func (node *Node) FollowAdvice(now time.Time, advice Advice) {
	for target, held := range node.holds {
		if !now.Before(held.until) {
			delete(node.holds, target)
		}
	}
	until := advice.HeldUntil()
	known := node.holds[advice.Target]
	if known.address == advice.Address && !until.After(known.until) || !until.After(now) {
		return
	}
	leaving := advice.Leaving || known.address == advice.Address && known.leaving
	node.holds[advice.Target] = hold{advice.Address, until, leaving}
	service := node.services[node.Declarations().Targets[advice.Target].Service]
	if service == nil {
		return
	}
	if refusal := node.refuseHeld(now, service); refusal != nil {
		for id, request := range node.waiting {
			if request.Service == service.id {
				service.queue.Remove(request.Organisation, id)
				node.refuse(now, id, refusal.Reason, refusal.RetryAfter)
			}
		}
	}
}

// held returns the hold of a target, and whether it has one.
func (node *Node) held(now time.Time, target berylspoke.TargetID) (hold, bool) {
	found, known := node.holds[target]
	if !known || !now.Before(found.until) || found.address != node.Declarations().Targets[target].Address {
		return hold{}, false
	}
	return found, true
}

// usable reports whether a request may be sent to a target.
func (node *Node) usable(now time.Time, target berylspoke.TargetID) bool {
	_, held := node.held(now, target)
	return !held && node.health.Usable(now, target)
}

// refuseHeld returns the refusal of a request to a service all of whose targets are held,
// nil if one is not. The caller is told to return when the first of them has rested.
func (node *Node) refuseHeld(now time.Time, service *service) *berylspoke.Refusal {
	refusal := &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonNoTarget, RetryAfter: overloadRetryAfter}
	for target := range service.lessors.Of {
		found, held := node.held(now, target)
		if !held {
			return nil
		}
		rest := found.until.Sub(now)
		if !found.leaving && (refusal.Reason == berylspoke.ReasonNoTarget || rest < refusal.RetryAfter) {
			refusal.Reason, refusal.RetryAfter = berylspoke.ReasonTargetsResting, rest
		}
	}
	refusal.RetryAfter += time.Duration(node.random.Float64() * float64(returnSpread))
	return refusal
}
