package berylnode

// This file defines the node and the flow of its inputs.

import (
	"math/rand/v2"
	"time"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylmember"
	"berylspoke/core/berylroute"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
	"berylspoke/core/berylticket"
)

const (
	// pauseAfter is the gap between ticks that shows that the process slept.
	pauseAfter = time.Second
	// forgetEvery is the time between two sweeps over idle state.
	forgetEvery = 10 * time.Second
	// loopRounds bounds the messages a node passes to itself in one flush.
	loopRounds = 8
)

// service is the state of one declared service.
type service struct {
	id      berylspoke.ServiceID
	queue   *berylshare.Queue
	holder  *berylslot.Holder
	keeper  *berylslot.Keeper
	keepers *berylroute.Keepers
	round   uint64
	turned  time.Time
	// backlogged is the time since when a request has always been waiting.
	backlogged time.Time
}

// running is a request that holds a slot.
type running struct {
	service *service
	started *berylshare.StartedRequest
	place   berylslot.Place
	call    *berylticket.CallID
}

// Node is one daemon's state.
type Node struct {
	options  Options
	self     berylspoke.Process
	random   *rand.Rand
	table    *berylmember.Table
	store    *berylconfig.Store
	services map[berylspoke.ServiceID]*service
	running  map[berylspoke.RequestID]*running
	waiting  map[berylspoke.RequestID]*Request
	ledger   *berylshare.Ledger
	owner    *berylticket.Owner
	witness  *berylticket.Witness
	health   *berylroute.Health
	prefixes *berylroute.Prefixes
	retries  *berylroute.Budget
	crossing *berylroute.Budget
	permits  map[berylticket.CallID]*permitWait
	settles  map[uint64]*settleWait
	reported map[berylspoke.VMID]time.Time
	ordered  map[berylspoke.TargetID]orderState
	start    startup
	fleet    berylroute.Fleet
	placed   placedFor
	weights  float64
	ticked   time.Time
	swept    time.Time
	closed   bool
	pulledAt time.Time
	inbox    []berylspoke.Message
	lazy     map[berylspoke.VMID]*lazy
	effects  Effects
}

// placedFor names the state that the placement was computed from.
type placedFor struct {
	version berylspoke.ConfigVersion
	live    string
}

// New returns a node that knows nothing but its own VM.
func New(now time.Time, options Options, seed uint64) *Node {
	self := berylspoke.Process{VM: options.VM.ID, Incarnation: options.Incarnation}
	options.Queue.Policy = options.Policy
	options.Keeper.IgnoreTags = options.Policy != berylshare.FleetFair
	return &Node{
		options:  options,
		self:     self,
		random:   rand.New(rand.NewPCG(seed, uint64(options.Incarnation))),
		table:    berylmember.NewTable(now, options.VM, options.Incarnation, berylmember.DefaultOptions()),
		store:    berylconfig.NewStore(),
		services: make(map[berylspoke.ServiceID]*service),
		running:  make(map[berylspoke.RequestID]*running),
		waiting:  make(map[berylspoke.RequestID]*Request),
		ledger:   berylshare.NewLedger(),
		owner:    berylticket.NewOwner(self, options.Records),
		witness:  berylticket.NewWitness(self, options.Records),
		health:   berylroute.NewHealth(),
		prefixes: berylroute.NewPrefixes(),
		retries:  berylroute.NewBudget(now, 1, retryBurst),
		crossing: berylroute.NewBudget(now, options.CrossBytes, options.CrossBytes*crossBurst),
		permits:  make(map[berylticket.CallID]*permitWait),
		settles:  make(map[uint64]*settleWait),
		reported: make(map[berylspoke.VMID]time.Time),
		ordered:  make(map[berylspoke.TargetID]orderState),
		start:    startup{since: now, asked: make(map[berylspoke.VMID]*startupPeer)},
		lazy:     make(map[berylspoke.VMID]*lazy),
		ticked:   now,
		swept:    now,
	}
}

const (
	retryBurst = 20
	crossBurst = 2
)

// Self returns this node's process.
func (node *Node) Self() berylspoke.Process { return node.self }

// Declarations returns the declarations in force.
func (node *Node) Declarations() *berylconfig.Declarations { return node.store.State().Declarations }

// Config returns the configuration state in force.
func (node *Node) Config() *berylconfig.State { return node.store.State() }

// Member returns what is known of a VM, or nil.
func (node *Node) Member(vm berylspoke.VMID) *berylmember.Member { return node.table.Member(vm) }

// Owner returns the tickets and records of this node.
func (node *Node) Owner() *berylticket.Owner { return node.owner }

// Drain announces that this daemon takes no new roles and no new requests.
func (node *Node) Drain(now time.Time) { node.table.Leave(now) }

// Draining says whether the daemon is leaving.
func (node *Node) Draining() bool { return node.table.Member(node.self.VM).Rumour.Leaving }

// Close refuses new requests from now on; those here go on to their end.
func (node *Node) Close() { node.closed = true }

// Busy returns the number of requests that wait or run here.
func (node *Node) Busy() int { return len(node.waiting) + len(node.running) }

// SetVMs takes the platform's list of VMs.
func (node *Node) SetVMs(now time.Time, vms []berylspoke.VM) {
	node.table.SetListed(now, vms)
	node.start.listed = true
	node.place(now)
}

// Tick advances everything that depends on time.
func (node *Node) Tick(now time.Time) {
	if now.Sub(node.ticked) > pauseAfter {
		// The process was stopped or its VM froze. Every peer looks silent now
		// although only this daemon was; without this it would declare the
		// whole fleet dead and take over all its roles.
		node.table.Resume(now)
	}
	node.ticked = now
	node.heartbeat(now)
	node.place(now)
	node.tickStartup(now)
	node.tickPermits(now)
	node.tickSettles(now)
	for _, service := range node.services {
		node.expire(now, service)
	}
	node.report(now)
	if now.Sub(node.swept) > forgetEvery {
		node.sweep(now)
	}
}

func (node *Node) sweep(now time.Time) {
	node.swept = now
	node.ledger.Forget(now)
	for _, service := range node.services {
		service.queue.Forget(now)
	}
}

func (node *Node) heartbeat(now time.Time) {
	for _, due := range node.table.Tick(now) {
		beat := due.Beat
		beat.Number, beat.Serving = node.store.State().Number, node.Ready()
		for _, to := range due.To {
			node.sendOr(now, to, beat, len(beat.Rumours) > 0)
		}
	}
}

func (node *Node) send(to berylspoke.VMID, message berylspoke.Message) {
	switch to {
	case "":
	case node.self.VM:
		node.inbox = append(node.inbox, message)
	default:
		node.effects.Sends = append(node.effects.Sends, Send{to, message})
	}
}

// laterAfter is how long a message that is not urgent waits for another one to
// the same peer, whose packet it then shares.
const laterAfter = 400 * time.Millisecond

// lazy are messages to one peer that wait for company.
type lazy struct {
	messages []berylspoke.Message
	since    time.Time
}

// later sends a message with the next one to the same peer, or after a while.
// A packet costs more in headers and acknowledgements than most messages.
func (node *Node) later(now time.Time, to berylspoke.VMID, message berylspoke.Message) {
	if to == "" || to == node.self.VM {
		node.send(to, message)
		return
	}
	waiting := node.lazy[to]
	if waiting == nil {
		waiting = &lazy{since: now}
		node.lazy[to] = waiting
	}
	waiting.messages = append(waiting.messages, message)
}

// sendLazy adds the lazy messages that found company or waited long enough.
func (node *Node) sendLazy(now time.Time) {
	if len(node.lazy) == 0 {
		return
	}
	for _, send := range node.effects.Sends {
		node.release(send.To)
	}
	for to, waiting := range node.lazy {
		if now.Sub(waiting.since) >= laterAfter {
			node.release(to)
		}
	}
}

func (node *Node) release(to berylspoke.VMID) {
	if waiting := node.lazy[to]; waiting != nil {
		delete(node.lazy, to)
		for _, message := range waiting.messages {
			node.send(to, message)
		}
	}
}

// Flush does the work worth coalescing; its effects join those of the inputs.
func (node *Node) Flush(now time.Time) {
	for range loopRounds {
		for _, service := range node.services {
			node.flushService(now, service)
		}
		inbox := node.inbox
		if len(inbox) == 0 {
			break
		}
		node.inbox = nil
		for _, message := range inbox {
			node.Deliver(now, node.self.VM, message)
		}
	}
	node.sendLazy(now)
}

// Take returns the effects since the last call.
func (node *Node) Take() Effects {
	effects := node.effects
	node.effects = Effects{}
	return effects
}

func (node *Node) flushService(now time.Time, service *service) {
	if service.keeper != nil {
		for _, lease := range service.keeper.Assign(now) {
			node.sendOr(now, lease.To, lease.Lease, lease.Urgent)
		}
	}
	node.dispatch(now, service)
	service.holder.Release(service.queue.Head())
	if node.options.Policy == berylshare.FirstCome {
		return
	}
	need := berylslot.Need{
		Waiting: service.queue.Waiting(),
		Tags:    service.queue.Tags(berylslot.AskTags, node.options.Keeper.Slack),
		Time:    service.queue.VirtualTime(),
	}
	for _, ask := range service.holder.Asks(now, node.askable(now, service), need) {
		node.sendOr(now, ask.To, ask.Ask, ask.Urgent)
	}
}

// sendOr sends an urgent message at once and any other one later.
func (node *Node) sendOr(now time.Time, to berylspoke.VMID, message berylspoke.Message, urgent bool) {
	if urgent {
		node.send(to, message)
		return
	}
	node.later(now, to, message)
}

// Deliver takes a message of a peer.
func (node *Node) Deliver(now time.Time, from berylspoke.VMID, message berylspoke.Message) {
	switch message := message.(type) {
	case berylmember.Heartbeat:
		node.heard(now, message)
	case berylconfig.PullRequest:
		node.pulled(from, message)
	case berylconfig.PullAnswer:
		node.pullAnswered(now, from, message)
	case berylslot.Ask:
		if service := node.services[message.Service]; service != nil && service.keeper != nil {
			service.keeper.Ask(now, message)
		}
	case berylslot.Lease:
		if service := node.services[message.Service]; service != nil {
			service.holder.Take(message)
		}
	case berylshare.Reports:
		node.sum(now, message)
	case berylshare.Totals:
		node.totals(message)
	case berylticket.PermitRequest:
		node.send(from, berylticket.PermitAnswer{ID: message.ID, Granted: node.witness.Permit(message.ID)})
	case berylticket.PermitAnswer:
		node.permitAnswered(now, message)
	case berylticket.SettleRequest:
		standing := node.owner.Settle(now, message.ID)
		node.send(from, berylticket.SettleAnswer{ID: message.ID, Token: message.Token, Standing: standing})
	case berylticket.CloseRequest:
		standing := node.witness.Close(message.ID)
		node.send(from, berylticket.SettleAnswer{ID: message.ID, Token: message.Token, Standing: standing, ByWitness: true})
	case berylticket.SettleAnswer:
		node.settleAnswered(now, message)
	}
}
