package berylnode

// This file defines how non-idempotent requests get permits and are settled.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylticket"
)

// resendAfter is the time after which an unanswered permit or settlement message is sent
// again.
const resendAfter = 200 * time.Millisecond

// pendingPermit is a request that holds a slot and waits for its permit.
type pendingPermit struct {
	active      *activeRequest
	since, sent time.Time
}

// pendingSettlement is an id whose outcome this daemon is finding out.
type pendingSettlement struct {
	id          berylticket.CallID
	since, sent time.Time
	atWitness   bool
}

// BeginCall returns the owner's record of an id and whether the call created it. A nil
// record means that the outcome is forgotten.
func (node *Node) BeginCall(now time.Time, id berylticket.CallID) (*berylticket.Record, bool) {
	return node.owner.Register(now, id)
}

// requestPermit asks the witness for permission to dispatch a non-idempotent request.
func (node *Node) requestPermit(now time.Time, active *activeRequest) {
	id := *active.call
	if !node.owner.RequestPermit(now, id) {
		node.abandon(now, active, berylspoke.ReasonClosed)
		return
	}
	if id.Ticket.Witness == (berylspoke.Process{}) {
		node.handlePermitAnswer(now, berylticket.PermitAnswer{ID: id, Granted: true})
		if record := node.owner.Record(id); record != nil && record.Stage == berylticket.Dispatched {
			node.launch(active)
		}
		return
	}
	node.pendingPermits[id] = &pendingPermit{active: active, since: now, sent: now}
	node.send(id.Ticket.Witness.VM, berylticket.PermitRequest{ID: id})
}

// abandon refuses a request that is settled as not run and frees its slot.
func (node *Node) abandon(now time.Time, active *activeRequest, reason berylspoke.Reason) {
	id := active.started.Request
	node.effects.Refusals = append(node.effects.Refusals, Refuse{id, &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: reason, RetryAfter: startingRetryAfter,
	}})
	node.Finish(now, id, Outcome{Verdict: berylspoke.NotRun})
}

func (node *Node) handlePermitAnswer(now time.Time, answer berylticket.PermitAnswer) {
	dispatch, refused := node.owner.Permit(now, answer.ID, answer.Granted)
	pending := node.pendingPermits[answer.ID]
	delete(node.pendingPermits, answer.ID)
	if pending == nil {
		return
	}
	if dispatch {
		node.launch(pending.active)
	}
	if refused {
		node.abandon(now, pending.active, berylspoke.ReasonWitnessUnreachable)
	}
}

// tickPermits resends unanswered permit requests and gives up on a witness that does not
// answer. The owner first records the id as not run, so a permit that arrives later finds
// it finished and dispatches nothing.
func (node *Node) tickPermits(now time.Time) {
	for id, pending := range node.pendingPermits {
		switch {
		case now.Sub(pending.since) > node.options.PermitTimeout:
			delete(node.pendingPermits, id)
			if node.owner.Abandon(now, id) {
				node.abandon(now, pending.active, berylspoke.ReasonWitnessUnreachable)
			}
		case now.Sub(pending.sent) > resendAfter:
			pending.sent = now
			node.send(id.Ticket.Witness.VM, berylticket.PermitRequest{ID: id})
		}
	}
}

// Settle finds out the outcome of an id, which arrives as a Settled effect with the token.
func (node *Node) Settle(now time.Time, token uint64, id berylticket.CallID) {
	if node.owner.Owns(id) {
		node.completeSettlement(token, node.owner.Settle(now, id))
		return
	}
	pending := &pendingSettlement{id: id, since: now}
	node.pendingSettlements[token] = pending
	if node.table.Incarnation(id.Ticket.Owner.VM) > id.Ticket.Owner.Incarnation {
		node.settleAtWitness(now, token, pending)
		return
	}
	node.sendSettleRequest(now, token, pending)
}

func (node *Node) completeSettlement(token uint64, status berylticket.Status) {
	delete(node.pendingSettlements, token)
	node.effects.Settled = append(node.effects.Settled, Settled{token, status})
}

// settleAtWitness asks the witness when the owner is gone or does not answer. Only a close
// by the witness process named in the ticket proves "not run". A silent owner proves
// nothing: it may be frozen between getting its permit and dispatching.
func (node *Node) settleAtWitness(now time.Time, token uint64, pending *pendingSettlement) {
	pending.atWitness, pending.since = true, now
	witness := pending.id.Ticket.Witness
	switch {
	case witness == (berylspoke.Process{}):
		node.completeSettlement(token, berylticket.StatusMayHaveRun)
	case witness == node.self:
		node.completeSettlement(token, node.witness.Close(pending.id))
	default:
		node.sendSettleRequest(now, token, pending)
	}
}

func (node *Node) sendSettleRequest(now time.Time, token uint64, pending *pendingSettlement) {
	pending.sent = now
	if pending.atWitness {
		node.send(pending.id.Ticket.Witness.VM, berylticket.CloseRequest{ID: pending.id, Token: token})
		return
	}
	node.send(pending.id.Ticket.Owner.VM, berylticket.SettleRequest{ID: pending.id, Token: token})
}

func (node *Node) handleSettleAnswer(now time.Time, answer berylticket.SettleAnswer) {
	pending := node.pendingSettlements[answer.Token]
	if pending == nil || pending.id != answer.ID || pending.atWitness != answer.ByWitness {
		return
	}
	switch {
	case answer.Status != berylticket.StatusUnknown:
		node.completeSettlement(answer.Token, answer.Status)
	case pending.atWitness:
		node.completeSettlement(answer.Token, berylticket.StatusMayHaveRun)
	default:
		node.settleAtWitness(now, answer.Token, pending)
	}
}

func (node *Node) tickSettlements(now time.Time) {
	for token, pending := range node.pendingSettlements {
		switch {
		case now.Sub(pending.since) > node.options.SettleTimeout && pending.atWitness:
			node.completeSettlement(token, berylticket.StatusMayHaveRun)
		case now.Sub(pending.since) > node.options.SettleTimeout:
			node.settleAtWitness(now, token, pending)
		case now.Sub(pending.sent) > resendAfter:
			node.sendSettleRequest(now, token, pending)
		}
	}
}
