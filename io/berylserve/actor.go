package berylserve

// This file defines the actor that owns the node.

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylnode"
	"berylspoke/core/berylticket"
)

const (
	// tickEvery is the time between two ticks of the core.
	tickEvery = 50 * time.Millisecond
	// flushAfter is the time in which messages to peers gather.
	flushAfter = 2 * time.Millisecond
)

// The messages of the actor.
type (
	tick  struct{}
	flush struct{}
	// fromPeer carries the messages of one packet.
	fromPeer struct {
		from     berylspoke.VMID
		messages []berylspoke.Message
	}
	published struct{ entries []berylspoke.Published }
	listed    struct{ vms []berylspoke.VM }
	// submit queues a request whose fate goes to the channel.
	submit struct {
		request berylnode.Request
		fate    chan fate
	}
	cancel   struct{ request berylspoke.RequestID }
	progress struct {
		request  berylspoke.RequestID
		received berylspoke.Tokens
		pace     time.Duration
	}
	finish struct {
		request berylspoke.RequestID
		outcome berylnode.Outcome
	}
	retry     struct{ allowed chan bool }
	beginCall struct {
		id    berylticket.CallID
		begun chan begun
	}
	settle struct {
		id       berylticket.CallID
		standing chan berylticket.Standing
	}
	resolve struct {
		organisation berylspoke.OrganisationID
		resolved     chan resolved
	}
	reported struct {
		target berylspoke.TargetID
		report berylspoke.LoadReport
		held   berylspoke.Order
	}
	// inspect runs a function on the node, for the dump and for loops that need
	// a look at its state.
	inspect struct {
		look func(now time.Time, node *berylnode.Node)
		done chan struct{}
	}
)

// fate is what becomes of a waiting request: a target or a refusal.
type fate struct {
	target  berylspoke.TargetID
	refusal *berylspoke.Refusal
}

// begun is what the owner knows of an id; a nil record means forgotten.
type begun struct {
	record *berylticket.Record
	fresh  bool
}

type resolved struct {
	addresses []string
	ticket    berylticket.Ticket
}

// core is the actor.
type core struct {
	daemon   *Daemon
	node     *berylnode.Node
	fates    map[berylspoke.RequestID]chan fate
	settles  map[uint64]chan berylticket.Standing
	vms      []berylspoke.VM
	tokens   uint64
	flushing bool
}

var _ actor.Actor = (*core)(nil)

// Receive implements actor.Actor.
func (core *core) Receive(context actor.Context) {
	now := time.Now()
	switch message := context.Message().(type) {
	case tick:
		core.node.Tick(now)
	case flush:
		core.flushing = false
		core.node.Flush(now)
	case fromPeer:
		for _, item := range message.messages {
			core.node.Deliver(now, message.from, item)
		}
	case published:
		core.node.AddPatches(now, message.entries)
	case listed:
		core.vms = message.vms
		core.relocate()
		core.node.SetVMs(now, message.vms)
	case submit:
		core.fates[message.request.Request] = message.fate
		core.node.Submit(now, message.request)
	case cancel:
		core.node.Cancel(now, message.request)
	case progress:
		core.node.Progress(message.request, message.received, message.pace)
	case finish:
		core.node.Finish(now, message.request, message.outcome)
	case retry:
		message.allowed <- core.node.Retry(now)
	case beginCall:
		record, fresh := core.node.BeginCall(now, message.id)
		if record != nil {
			copied := *record
			record = &copied
		}
		message.begun <- begun{record, fresh}
	case settle:
		core.tokens++
		core.settles[core.tokens] = message.standing
		core.node.Settle(now, core.tokens, message.id)
	case resolve:
		addresses, ticket := core.node.Resolve(message.organisation)
		message.resolved <- resolved{addresses, ticket}
	case reported:
		core.node.Load(now, message.target, message.report)
		core.node.Compare(now, message.target, message.held)
	case inspect:
		message.look(now, core.node)
		close(message.done)
	default:
		return
	}
	core.carryOut()
	core.scheduleFlush(context)
}

func (core *core) scheduleFlush(context actor.Context) {
	if _, flushed := context.Message().(flush); flushed || core.flushing {
		return
	}
	core.flushing = true
	self := context.Self()
	time.AfterFunc(flushAfter, func() { core.daemon.system.Root.Send(self, flush{}) })
}

// carryOut hands the effects to those who act on them.
func (core *core) carryOut() {
	effects := core.node.Take()
	if self := core.node.Self(); self != core.daemon.process() {
		core.daemon.log.Warn("earlier run is newer by its clock", zap.Stringer("takes", self.Incarnation))
		core.daemon.incarnation.Store(uint64(self.Incarnation))
	}
	for _, start := range effects.Starts {
		core.tell(start.Request, fate{target: start.Target})
	}
	for _, refuse := range effects.Refusals {
		core.tell(refuse.Request, fate{refusal: refuse.Refusal})
	}
	for _, settled := range effects.Settled {
		if waiter := core.settles[settled.Token]; waiter != nil {
			waiter <- settled.Standing
			delete(core.settles, settled.Token)
		}
	}
	core.sendAll(effects.Sends)
	for _, order := range effects.Orders {
		go core.daemon.order(order)
	}
	if effects.Reconfigured {
		core.reconfigured()
	}
}

// tell hands a request its fate; the channel has room for the one there is.
func (core *core) tell(id berylspoke.RequestID, verdict fate) {
	if waiter := core.fates[id]; waiter != nil {
		waiter <- verdict
		delete(core.fates, id)
	}
}

func (core *core) sendAll(sends []berylnode.Send) {
	byPeer := make(map[berylspoke.VMID][]berylspoke.Message)
	for _, send := range sends {
		byPeer[send.To] = append(byPeer[send.To], send.Message)
	}
	for to, messages := range byPeer {
		core.daemon.transport.SendAll(to, messages)
	}
}

func (core *core) reconfigured() {
	state := core.node.Config()
	core.daemon.keys.Store(newKeyIndex(state.Declarations))
	core.daemon.declarations.Store(state.Declarations)
	core.relocate()
	core.daemon.log.Info("configuration in force", zap.Uint64("version", uint64(state.Version)),
		zap.Uint64("number", uint64(state.Number)), zap.String("hash", state.Hash.Short()))
	for _, outcome := range core.node.Outcomes() {
		if outcome.Number == state.Number && !outcome.Accepted {
			core.daemon.log.Warn("patch rejected", zap.Any("outcome", outcome))
		}
	}
}

// relocate recomputes where VMs stand, which depends on the list of VMs and on
// the declared regions.
func (core *core) relocate() {
	daemon := core.daemon
	daemon.members.Store(newMemberIndex(daemon.settings, core.vms, daemon.Declarations()))
	daemon.transport.Relink()
}

// send hands the actor a message.
func (daemon *Daemon) send(message any) { daemon.system.Root.Send(daemon.core, message) }

// look runs a function on the node and waits for it, or for the context.
func (daemon *Daemon) look(ctx context.Context, look func(now time.Time, node *berylnode.Node)) error {
	done := make(chan struct{})
	daemon.send(inspect{look, done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Declarations returns the declarations in force.
func (daemon *Daemon) Declarations() *berylconfig.Declarations { return daemon.declarations.Load() }
