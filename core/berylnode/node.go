package berylnode

// This file defines the node and how it handles its inputs.

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
	// pauseThreshold is the gap between ticks above which the process counts as paused.
	pauseThreshold = time.Second
	// sweepInterval is the time between two sweeps that drop idle state.
	sweepInterval = 10 * time.Second
	// maxFlushRounds bounds the rounds of messages that a node sends to itself in one
	// flush.
	maxFlushRounds = 8
)

// service is the state of one declared service.
type service struct {
	id      berylspoke.ServiceID
	queue   *berylshare.Queue
	holder  *berylslot.Holder
	lessor  *berylslot.Lessor
	lessors *berylroute.Lessors
	// round selects the last lessor of the window that this daemon requests slots from;
	// rotated is when round last changed.
	round   uint64
	rotated time.Time
	// backlogged is the time since which the queue has not been empty, zero if it is empty.
	backlogged time.Time
}

// activeRequest is a request that holds a slot.
type activeRequest struct {
	service   *service
	started   *berylshare.StartedRequest
	placement berylslot.Placement
	call      *berylticket.CallID
}

// Node is the state machine of one daemon.
type Node struct {
	options            Options
	self               berylspoke.Process
	random             *rand.Rand
	table              *berylmember.Table
	store              *berylconfig.Store
	services           map[berylspoke.ServiceID]*service
	running            map[berylspoke.RequestID]*activeRequest
	waiting            map[berylspoke.RequestID]*Request
	ledger             *berylshare.Ledger
	owner              *berylticket.Owner
	witness            *berylticket.Witness
	health             *berylroute.Health
	holds              map[berylspoke.TargetID]hold
	prefixes           *berylroute.Prefixes
	retryBudget        *berylroute.Budget
	crossBudget        *berylroute.Budget
	pendingPermits     map[berylticket.CallID]*pendingPermit
	pendingSettlements map[uint64]*pendingSettlement
	reportedAt         map[berylspoke.VMID]time.Time
	lastOrders         map[berylspoke.TargetID]orderState
	startup            startup
	fleet              berylroute.Fleet
	placement          placementKey
	totalWeight        float64
	lastTick           time.Time
	lastSweep          time.Time
	notAccepting       bool
	pulledAt           time.Time
	inbox              []berylspoke.Message
	deferred           map[berylspoke.VMID]*deferredSends
	effects            Effects
}

// placementKey identifies the inputs that the placement was computed from.
type placementKey struct {
	version berylspoke.ConfigVersion
	live    string
}

// New returns a node that knows only its own VM.
func New(now time.Time, options Options, seed uint64) *Node {
	self := berylspoke.Process{VM: options.VM.ID, Incarnation: options.Incarnation}
	options.Queue.Policy = options.Policy
	options.Lessor.IgnoreTags = options.Policy != berylshare.FleetFair
	return &Node{
		options:            options,
		self:               self,
		random:             rand.New(rand.NewPCG(seed, uint64(options.Incarnation))),
		table:              berylmember.NewTable(now, options.VM, options.Incarnation, berylmember.DefaultOptions()),
		store:              berylconfig.NewStore(),
		services:           make(map[berylspoke.ServiceID]*service),
		running:            make(map[berylspoke.RequestID]*activeRequest),
		waiting:            make(map[berylspoke.RequestID]*Request),
		ledger:             berylshare.NewLedger(),
		owner:              berylticket.NewOwner(self, options.MaxRecords),
		witness:            berylticket.NewWitness(self, options.MaxRecords),
		health:             berylroute.NewHealth(),
		holds:              make(map[berylspoke.TargetID]hold),
		prefixes:           berylroute.NewPrefixes(),
		retryBudget:        berylroute.NewBudget(now, 1, retryBurst),
		crossBudget:        berylroute.NewBudget(now, options.CrossBytesPerSecond, options.CrossBytesPerSecond*crossBurstSeconds),
		pendingPermits:     make(map[berylticket.CallID]*pendingPermit),
		pendingSettlements: make(map[uint64]*pendingSettlement),
		reportedAt:         make(map[berylspoke.VMID]time.Time),
		lastOrders:         make(map[berylspoke.TargetID]orderState),
		startup:            startup{since: now, peers: make(map[berylspoke.VMID]*startupPeer)},
		deferred:           make(map[berylspoke.VMID]*deferredSends),
		lastTick:           now,
		lastSweep:          now,
	}
}

const (
	// retryBurst is the capacity of the retry budget, in retries.
	retryBurst = 20
	// crossBurstSeconds is the capacity of the budget for traffic between regions, in
	// seconds of its rate.
	crossBurstSeconds = 2
)

// Self returns this node's process.
func (node *Node) Self() berylspoke.Process { return node.self }

// Declarations returns the declarations in force.
func (node *Node) Declarations() *berylconfig.Declarations { return node.store.State().Declarations }

// Config returns the configuration state in force.
func (node *Node) Config() *berylconfig.State { return node.store.State() }

// Member returns the membership state of a VM, or nil if it is unknown.
func (node *Node) Member(vm berylspoke.VMID) *berylmember.Member { return node.table.Member(vm) }

// Owner returns the owner role of this node, which holds its tickets and records.
func (node *Node) Owner() *berylticket.Owner { return node.owner }

// Drain announces to the fleet that this daemon is leaving and takes no new roles.
func (node *Node) Drain(now time.Time) { node.table.Leave(now) }

// Draining reports whether the daemon is leaving.
func (node *Node) Draining() bool { return node.table.Member(node.self.VM).Rumour.Leaving }

// StopAccepting makes the node refuse new requests; waiting and running requests continue.
func (node *Node) StopAccepting() { node.notAccepting = true }

// ActiveRequests returns the number of waiting and running requests.
func (node *Node) ActiveRequests() int { return len(node.waiting) + len(node.running) }

// SetVMs applies the platform's list of VMs.
func (node *Node) SetVMs(now time.Time, vms []berylspoke.VM) {
	node.table.SetListed(now, vms)
	node.startup.listed = true
	node.updatePlacement(now)
}

// Tick advances all state that depends on time.
func (node *Node) Tick(now time.Time) {
	if now.Sub(node.lastTick) > pauseThreshold {
		// The process or its VM was paused and received nothing, so every peer seems
		// silent. Without this call the daemon would declare the whole fleet dead and
		// take over all its roles.
		node.table.Resume(now)
	}
	node.lastTick = now
	node.heartbeat(now)
	node.updatePlacement(now)
	node.tickStartup(now)
	node.tickPermits(now)
	node.tickSettlements(now)
	for _, service := range node.services {
		node.expire(now, service)
	}
	node.sendReports(now)
	if now.Sub(node.lastSweep) > sweepInterval {
		node.sweep(now)
	}
}

func (node *Node) sweep(now time.Time) {
	node.lastSweep = now
	node.ledger.Forget(now)
	for _, service := range node.services {
		service.queue.Forget(now)
	}
}

func (node *Node) heartbeat(now time.Time) {
	for _, due := range node.table.Tick(now) {
		heartbeat := due.Heartbeat
		heartbeat.ConfigNumber, heartbeat.Serving = node.store.State().Number, node.Ready()
		for _, to := range due.To {
			node.sendOrDefer(now, to, heartbeat, len(heartbeat.Rumours) > 0)
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

// maxDeferral is how long a message that is not urgent waits for another message to the
// same peer to share a packet with.
const maxDeferral = 400 * time.Millisecond

// deferredSends are messages to one peer that wait to share a packet.
type deferredSends struct {
	messages []berylspoke.Message
	since    time.Time
}

// deferSend sends a message together with the next one to the same peer, or alone after
// maxDeferral. The headers and acknowledgements of a packet cost more than most messages.
func (node *Node) deferSend(now time.Time, to berylspoke.VMID, message berylspoke.Message) {
	if to == "" || to == node.self.VM {
		node.send(to, message)
		return
	}
	pending := node.deferred[to]
	if pending == nil {
		pending = &deferredSends{since: now}
		node.deferred[to] = pending
	}
	pending.messages = append(pending.messages, message)
}

// flushDeferred sends the deferred messages of peers that get another message now, and
// those that were deferred for maxDeferral.
func (node *Node) flushDeferred(now time.Time) {
	if len(node.deferred) == 0 {
		return
	}
	for _, send := range node.effects.Sends {
		node.flushDeferredTo(send.To)
	}
	for to, pending := range node.deferred {
		if now.Sub(pending.since) >= maxDeferral {
			node.flushDeferredTo(to)
		}
	}
}

func (node *Node) flushDeferredTo(to berylspoke.VMID) {
	if pending := node.deferred[to]; pending != nil {
		delete(node.deferred, to)
		for _, message := range pending.messages {
			node.send(to, message)
		}
	}
}

// Flush does the work that is worth coalescing. Its effects are added to those of the
// inputs.
func (node *Node) Flush(now time.Time) {
	for range maxFlushRounds {
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
	node.flushDeferred(now)
}

// TakeEffects returns and clears the effects accumulated since the last call.
func (node *Node) TakeEffects() Effects {
	effects := node.effects
	node.effects = Effects{}
	return effects
}

func (node *Node) flushService(now time.Time, service *service) {
	if service.lessor != nil {
		for _, lease := range service.lessor.Assign(now) {
			node.sendOrDefer(now, lease.To, lease.Lease, lease.Urgent)
		}
	}
	node.dispatch(now, service)
	service.holder.Release(service.queue.Head())
	if node.options.Policy == berylshare.FirstCome {
		return
	}
	state := berylslot.QueueState{
		Waiting:     service.queue.Waiting(),
		Tags:        service.queue.Tags(berylslot.MaxDemandTags, node.options.Lessor.Slack),
		VirtualTime: service.queue.VirtualTime(),
	}
	for _, demand := range service.holder.Demands(now, node.activeLessors(now, service), state) {
		node.sendOrDefer(now, demand.To, demand.Demand, demand.Urgent)
	}
}

// sendOrDefer sends an urgent message at once and defers any other.
func (node *Node) sendOrDefer(now time.Time, to berylspoke.VMID, message berylspoke.Message, urgent bool) {
	if urgent {
		node.send(to, message)
		return
	}
	node.deferSend(now, to, message)
}

// Deliver handles a message from a peer.
func (node *Node) Deliver(now time.Time, from berylspoke.VMID, message berylspoke.Message) {
	switch message := message.(type) {
	case berylmember.Heartbeat:
		node.handleHeartbeat(now, message)
	case berylconfig.PullRequest:
		node.handlePullRequest(from, message)
	case berylconfig.PullAnswer:
		node.handlePullAnswer(now, from, message)
	case berylslot.Demand:
		if service := node.services[message.Service]; service != nil && service.lessor != nil {
			service.lessor.ApplyDemand(now, message)
		}
	case berylslot.Lease:
		if service := node.services[message.Service]; service != nil {
			service.holder.ApplyLease(message)
		}
	case berylshare.Reports:
		node.handleReports(now, message)
	case berylshare.Totals:
		node.handleTotals(message)
	case berylticket.PermitRequest:
		node.send(from, berylticket.PermitAnswer{ID: message.ID, Granted: node.witness.Permit(message.ID)})
	case berylticket.PermitAnswer:
		node.handlePermitAnswer(now, message)
	case berylticket.SettleRequest:
		status := node.owner.Settle(now, message.ID)
		node.send(from, berylticket.SettleAnswer{ID: message.ID, Token: message.Token, Status: status})
	case berylticket.CloseRequest:
		status := node.witness.Close(message.ID)
		node.send(from, berylticket.SettleAnswer{ID: message.ID, Token: message.Token, Status: status, ByWitness: true})
	case berylticket.SettleAnswer:
		node.handleSettleAnswer(now, message)
	}
}
