package berylserve

// This file defines the actor that owns the node.

import (
	"context"
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylnode"
	"berylspoke/core/berylticket"
)

const (
	// tickInterval is the time between two calls of Node.Tick.
	tickInterval = 50 * time.Millisecond
	// flushDelay is how long messages to peers are batched.
	flushDelay = 2 * time.Millisecond
)

// The messages that the actor handles.
type (
	tick  struct{}
	flush struct{}
	// fromPeer carries the messages of one packet from a peer.
	fromPeer struct {
		from     berylspoke.VMID
		messages []berylspoke.Message
	}
	patchesPublished struct{ entries []berylspoke.Published }
	vmsListed        struct{ vms []berylspoke.VM }
	// submit queues a request; the decision on it is sent to the channel.
	submit struct {
		request  berylnode.Request
		decision chan decision
	}
	cancel   struct{ request berylspoke.RequestID }
	progress struct {
		request       berylspoke.RequestID
		received      berylspoke.Tokens
		tokenInterval time.Duration
	}
	finish struct {
		request berylspoke.RequestID
		outcome berylnode.Outcome
	}
	retry     struct{ allowed chan bool }
	beginCall struct {
		id    berylticket.CallID
		reply chan beginReply
	}
	settle struct {
		id    berylticket.CallID
		reply chan berylticket.Status
	}
	resolve struct {
		organisation berylspoke.OrganisationID
		reply        chan resolveReply
	}
	loadReported struct {
		target berylspoke.TargetID
		report berylspoke.LoadReport
		actual berylspoke.EngineOrder
	}
	// inspect runs a function on the node, for the dump and for other goroutines that
	// need the state of the node.
	inspect struct {
		visit func(now time.Time, node *berylnode.Node)
		done  chan struct{}
	}
)

// decision ends the wait of a queued request: a target or a refusal.
type decision struct {
	target  berylspoke.TargetID
	refusal *berylspoke.Refusal
}

// beginReply holds the owner's record of an id and whether this request created it. The
// record is nil if the owner no longer keeps one.
type beginReply struct {
	record  *berylticket.Record
	created bool
}

type resolveReply struct {
	addresses []string
	ticket    berylticket.Ticket
}

// nodeActor is the actor that owns the node.
type nodeActor struct {
	daemon         *Daemon
	node           *berylnode.Node
	decisions      map[berylspoke.RequestID]chan decision
	pendingSettles map[uint64]chan berylticket.Status
	vms            []berylspoke.VM
	lastToken      uint64
	flushScheduled bool
}

var _ actor.Actor = (*nodeActor)(nil)

// Receive implements actor.Actor. A panic ends the message that caused it: the actor system would stop
// the actor after a few, and the process would go on without it.
func (runner *nodeActor) Receive(context actor.Context) {
	defer runner.recoverPanic(context.Message())
	now := time.Now()
	switch message := context.Message().(type) {
	case tick:
		runner.node.Tick(now)
	case flush:
		runner.flushScheduled = false
		runner.node.Flush(now)
	case fromPeer:
		for _, item := range message.messages {
			runner.node.Deliver(now, message.from, item)
		}
	case patchesPublished:
		runner.node.AddPatches(now, message.entries)
	case vmsListed:
		runner.vms = message.vms
		runner.refreshMembers()
		runner.node.SetVMs(now, message.vms)
	case submit:
		runner.decisions[message.request.Request] = message.decision
		runner.node.Submit(now, message.request)
	case cancel:
		runner.node.Cancel(now, message.request)
	case progress:
		runner.node.Progress(message.request, message.received, message.tokenInterval)
	case finish:
		runner.node.Finish(now, message.request, message.outcome)
	case retry:
		message.allowed <- runner.node.AllowRetry(now)
	case beginCall:
		record, created := runner.node.BeginCall(now, message.id)
		if record != nil {
			copied := *record
			record = &copied
		}
		message.reply <- beginReply{record, created}
	case settle:
		runner.lastToken++
		runner.pendingSettles[runner.lastToken] = message.reply
		runner.node.Settle(now, runner.lastToken, message.id)
	case resolve:
		addresses, ticket := runner.node.Resolve(message.organisation)
		message.reply <- resolveReply{addresses, ticket}
	case berylnode.Advice:
		runner.node.FollowAdvice(now, message)
	case loadReported:
		runner.node.HandleLoadReport(now, message.target, message.report)
		runner.node.ReconcileEngine(now, message.target, message.actual)
	case inspect:
		message.visit(now, runner.node)
		close(message.done)
	default:
		return
	}
	runner.applyEffects()
	runner.scheduleFlush(context)
}

// recoverPanic logs a panic.
func (runner *nodeActor) recoverPanic(message any) {
	if reason := recover(); reason != nil {
		runner.daemon.log.Error("core panicked", zap.Any("reason", reason), zap.String("message", fmt.Sprintf("%T", message)), zap.Stack("stack"))
	}
}

func (runner *nodeActor) scheduleFlush(context actor.Context) {
	if _, flushed := context.Message().(flush); flushed || runner.flushScheduled {
		return
	}
	runner.flushScheduled = true
	self := context.Self()
	time.AfterFunc(flushDelay, func() { runner.daemon.system.Root.Send(self, flush{}) })
}

// applyEffects executes the effects that the node returned.
func (runner *nodeActor) applyEffects() {
	effects := runner.node.TakeEffects()
	if self := runner.node.Self(); self != runner.daemon.process() {
		runner.daemon.log.Warn("an earlier run on this VM has a higher incarnation; taking one above it", zap.Stringer("takes", self.Incarnation))
		runner.daemon.incarnation.Store(uint64(self.Incarnation))
	}
	for _, start := range effects.Starts {
		runner.decide(start.Request, decision{target: start.Target})
	}
	for _, refuse := range effects.Refusals {
		runner.decide(refuse.Request, decision{refusal: refuse.Refusal})
	}
	for _, settled := range effects.Settled {
		if waiter := runner.pendingSettles[settled.Token]; waiter != nil {
			waiter <- settled.Status
			delete(runner.pendingSettles, settled.Token)
		}
	}
	runner.sendAll(effects.Sends)
	for _, order := range effects.Orders {
		go runner.daemon.sendOrder(order)
	}
	if effects.Reconfigured {
		runner.configurationChanged()
	}
}

// decide sends a request its decision. It never blocks: there is one decision per request
// and the channel has room for it.
func (runner *nodeActor) decide(id berylspoke.RequestID, result decision) {
	if waiter := runner.decisions[id]; waiter != nil {
		waiter <- result
		delete(runner.decisions, id)
	}
}

func (runner *nodeActor) sendAll(sends []berylnode.Send) {
	byPeer := make(map[berylspoke.VMID][]berylspoke.Message)
	for _, send := range sends {
		byPeer[send.To] = append(byPeer[send.To], send.Message)
	}
	for to, messages := range byPeer {
		runner.daemon.transport.SendAll(to, messages)
	}
}

func (runner *nodeActor) configurationChanged() {
	state := runner.node.Config()
	runner.daemon.keys.Store(newKeyIndex(state.Declarations))
	runner.daemon.declarations.Store(state.Declarations)
	runner.refreshMembers()
	runner.daemon.log.Info("configuration in force", zap.Uint64("version", uint64(state.Version)),
		zap.Uint64("number", uint64(state.Number)), zap.String("hash", state.Hash.Short()))
	for _, outcome := range runner.node.Outcomes() {
		if outcome.Number == state.Number && !outcome.Accepted {
			runner.daemon.log.Warn("patch rejected", zap.Any("outcome", outcome))
		}
	}
}

// refreshMembers rebuilds the addresses and links of VMs, which depend on the list of
// VMs and on the declared regions.
func (runner *nodeActor) refreshMembers() {
	daemon := runner.daemon
	daemon.members.Store(newMemberIndex(daemon.settings, runner.vms, daemon.Declarations()))
	daemon.transport.UpdateLinks()
}

// send puts a message into the mailbox of the actor.
func (daemon *Daemon) send(message any) { daemon.system.Root.Send(daemon.actorPID, message) }

// inspect runs a function on the node in the actor and returns when it is done or the
// context has ended.
func (daemon *Daemon) inspect(ctx context.Context, visit func(now time.Time, node *berylnode.Node)) error {
	done := make(chan struct{})
	daemon.send(inspect{visit, done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Declarations returns the declarations in force.
func (daemon *Daemon) Declarations() *berylconfig.Declarations { return daemon.declarations.Load() }
