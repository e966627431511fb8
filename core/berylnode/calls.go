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

// pendingSettlement is an ID whose outcome this daemon is finding out.
type pendingSettlement struct {
	id          berylticket.CallID
	since, sent time.Time
	atWitness   bool
}

// BeginCall returns the owner's record of an ID and whether the call created it. A nil
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
	wait := node.pendingPermits[answer.ID]
	delete(node.pendingPermits, answer.ID)
	if wait == nil {
		return
	}
	if dispatch {
		node.launch(wait.active)
	}
	if refused {
		node.abandon(now, wait.active, berylspoke.ReasonWitnessUnreachable)
	}
}

// tickPermits resends unanswered permit requests and gives up on a witness that does not
// answer. The owner first records the ID as not run, so a permit that arrives later finds
// it finished and dispatches nothing.
func (node *Node) tickPermits(now time.Time) {
	for id, wait := range node.pendingPermits {
		switch {
		case now.Sub(wait.since) > node.options.PermitTimeout:
			delete(node.pendingPermits, id)
			if node.owner.Abandon(now, id) {
				node.abandon(now, wait.active, berylspoke.ReasonWitnessUnreachable)
			}
		case now.Sub(wait.sent) > resendAfter:
			wait.sent = now
			node.send(id.Ticket.Witness.VM, berylticket.PermitRequest{ID: id})
		}
	}
}

// Settle finds out the outcome of an ID, which arrives as a Settled effect with the token.
func (node *Node) Settle(now time.Time, token uint64, id berylticket.CallID) {
	if node.owner.Owns(id) {
		node.completeSettlement(token, node.owner.Settle(now, id))
		return
	}
	wait := &pendingSettlement{id: id, since: now}
	node.pendingSettlements[token] = wait
	if node.table.Incarnation(id.Ticket.Owner.VM) > id.Ticket.Owner.Incarnation {
		node.settleAtWitness(now, token, wait)
		return
	}
	node.sendSettleRequest(now, token, wait)
}

func (node *Node) completeSettlement(token uint64, status berylticket.Status) {
	delete(node.pendingSettlements, token)
	node.effects.Settled = append(node.effects.Settled, Settled{token, status})
}

// settleAtWitness asks the witness when the owner is gone or does not answer. Only a close
// by the witness process named in the ticket proves "not run". A silent owner proves
// nothing: it may be frozen between getting its permit and dispatching.
func (node *Node) settleAtWitness(now time.Time, token uint64, wait *pendingSettlement) {
	wait.atWitness, wait.since = true, now
	witness := wait.id.Ticket.Witness
	switch {
	case witness == (berylspoke.Process{}):
		node.completeSettlement(token, berylticket.StatusMayHaveRun)
	case witness == node.self:
		node.completeSettlement(token, node.witness.Close(wait.id))
	default:
		node.sendSettleRequest(now, token, wait)
	}
}

func (node *Node) sendSettleRequest(now time.Time, token uint64, wait *pendingSettlement) {
	wait.sent = now
	if wait.atWitness {
		node.send(wait.id.Ticket.Witness.VM, berylticket.CloseRequest{ID: wait.id, Token: token})
		return
	}
	node.send(wait.id.Ticket.Owner.VM, berylticket.SettleRequest{ID: wait.id, Token: token})
}

func (node *Node) handleSettleAnswer(now time.Time, answer berylticket.SettleAnswer) {
	wait := node.pendingSettlements[answer.Token]
	if wait == nil || wait.id != answer.ID || wait.atWitness != answer.ByWitness {
		return
	}
	switch {
	case answer.Status != berylticket.StatusUnknown:
		node.completeSettlement(answer.Token, answer.Status)
	case wait.atWitness:
		node.completeSettlement(answer.Token, berylticket.StatusMayHaveRun)
	default:
		node.settleAtWitness(now, answer.Token, wait)
	}
}

func (node *Node) tickSettlements(now time.Time) {
	for token, wait := range node.pendingSettlements {
		switch {
		case now.Sub(wait.since) > node.options.SettleTimeout && wait.atWitness:
			node.completeSettlement(token, berylticket.StatusMayHaveRun)
		case now.Sub(wait.since) > node.options.SettleTimeout:
			node.settleAtWitness(now, token, wait)
		case now.Sub(wait.sent) > resendAfter:
			node.sendSettleRequest(now, token, wait)
		}
	}
}
