package berylnode

// This file defines permits and the settling of non-idempotent requests.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylticket"
)

// permitRepeat is the time after which an unanswered message is repeated.
const permitRepeat = 200 * time.Millisecond

// permitWait is a request that holds a slot and waits for its permit.
type permitWait struct {
	entry       *running
	since, sent time.Time
}

// settleWait is an id that this daemon asks about.
type settleWait struct {
	id          berylticket.CallID
	since, sent time.Time
	atWitness   bool
}

// BeginCall returns what the owner knows of an id and whether it is new here.
func (node *Node) BeginCall(now time.Time, id berylticket.CallID) (*berylticket.Record, bool) {
	return node.owner.Begin(now, id)
}

// askPermit asks the witness before a non-idempotent request is dispatched.
func (node *Node) askPermit(now time.Time, entry *running) {
	id := *entry.call
	if !node.owner.Ask(now, id) {
		node.abandon(now, entry, berylspoke.ReasonClosed)
		return
	}
	if id.Ticket.Witness == (berylspoke.Process{}) {
		node.permitAnswered(now, berylticket.PermitAnswer{ID: id, Granted: true})
		if record := node.owner.Record(id); record != nil && record.Stage == berylticket.Dispatched {
			node.launch(entry)
		}
		return
	}
	node.permits[id] = &permitWait{entry: entry, since: now, sent: now}
	node.send(id.Ticket.Witness.VM, berylticket.PermitRequest{ID: id})
}

// abandon frees the slot of a request that is settled as not run.
func (node *Node) abandon(now time.Time, entry *running, reason berylspoke.Reason) {
	id := entry.started.Request
	node.effects.Refusals = append(node.effects.Refusals, Refuse{id, &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: reason, RetryAfter: startingRetry,
	}})
	node.Finish(now, id, Outcome{Verdict: berylspoke.NotRun})
}

func (node *Node) permitAnswered(now time.Time, answer berylticket.PermitAnswer) {
	dispatch, refused := node.owner.Permit(now, answer.ID, answer.Granted)
	wait := node.permits[answer.ID]
	delete(node.permits, answer.ID)
	if wait == nil {
		return
	}
	if dispatch {
		node.launch(wait.entry)
	}
	if refused {
		node.abandon(now, wait.entry, berylspoke.ReasonWitness)
	}
}

// tickPermits repeats unanswered requests and gives up on a lost witness. The
// owner settles the id as not run for itself first, so a permit that arrives
// later finds it finished and starts nothing.
func (node *Node) tickPermits(now time.Time) {
	for id, wait := range node.permits {
		switch {
		case now.Sub(wait.since) > node.options.PermitTimeout:
			delete(node.permits, id)
			if node.owner.GiveUp(now, id) {
				node.abandon(now, wait.entry, berylspoke.ReasonWitness)
			}
		case now.Sub(wait.sent) > permitRepeat:
			wait.sent = now
			node.send(id.Ticket.Witness.VM, berylticket.PermitRequest{ID: id})
		}
	}
}

// Settle finds out what became of an id; the answer arrives as an effect under
// the token.
func (node *Node) Settle(now time.Time, token uint64, id berylticket.CallID) {
	if node.owner.Owns(id) {
		node.settled(token, node.owner.Settle(now, id))
		return
	}
	wait := &settleWait{id: id, since: now}
	node.settles[token] = wait
	if node.table.Known(id.Ticket.Owner.VM) > id.Ticket.Owner.Incarnation {
		node.askWitness(now, token, wait)
		return
	}
	node.askSettle(now, token, wait)
}

func (node *Node) settled(token uint64, standing berylticket.Standing) {
	delete(node.settles, token)
	node.effects.Settled = append(node.effects.Settled, Settled{token, standing})
}

// askWitness turns to the witness when the owner is gone or silent. Only a
// close by the named witness process proves "not run"; the owner's silence
// proves nothing, since it may be frozen between its permit and its dispatch.
func (node *Node) askWitness(now time.Time, token uint64, wait *settleWait) {
	wait.atWitness, wait.since = true, now
	witness := wait.id.Ticket.Witness
	switch {
	case witness == (berylspoke.Process{}):
		node.settled(token, berylticket.StandsMayHaveRun)
	case witness == node.self:
		node.settled(token, node.witness.Close(wait.id))
	default:
		node.askSettle(now, token, wait)
	}
}

func (node *Node) askSettle(now time.Time, token uint64, wait *settleWait) {
	wait.sent = now
	if wait.atWitness {
		node.send(wait.id.Ticket.Witness.VM, berylticket.CloseRequest{ID: wait.id, Token: token})
		return
	}
	node.send(wait.id.Ticket.Owner.VM, berylticket.SettleRequest{ID: wait.id, Token: token})
}

func (node *Node) settleAnswered(now time.Time, answer berylticket.SettleAnswer) {
	wait := node.settles[answer.Token]
	if wait == nil || wait.id != answer.ID || wait.atWitness != answer.ByWitness {
		return
	}
	switch {
	case answer.Standing != berylticket.Unknowable:
		node.settled(answer.Token, answer.Standing)
	case wait.atWitness:
		node.settled(answer.Token, berylticket.StandsMayHaveRun)
	default:
		node.askWitness(now, answer.Token, wait)
	}
}

func (node *Node) tickSettles(now time.Time) {
	for token, wait := range node.settles {
		switch {
		case now.Sub(wait.since) > node.options.SettleTimeout && wait.atWitness:
			node.settled(token, berylticket.StandsMayHaveRun)
		case now.Sub(wait.since) > node.options.SettleTimeout:
			node.askWitness(now, token, wait)
		case now.Sub(wait.sent) > permitRepeat:
			node.askSettle(now, token, wait)
		}
	}
}
