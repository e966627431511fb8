package berylmember

// This file defines the membership table of one daemon.

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

// Options are the timings of failure detection.
type Options struct {
	// Interval is the time between two heartbeats on one link.
	Interval time.Duration
	// SuspectAfter is the silence after which a monitor suspects a daemon.
	SuspectAfter time.Duration
	// DeadAfter is the time for which a suspicion can be refuted before the daemon counts
	// as dead.
	DeadAfter time.Duration
	// RecheckInterval is the time between two heartbeats to a dead neighbour, and between
	// two heartbeats that check which daemons are not alive.
	RecheckInterval time.Duration
	// Open tables have no list of VMs: every daemon that a message names belongs to the
	// fleet, until it has been dead for ForgetAfter.
	Open        bool
	ForgetAfter time.Duration
}

// DefaultOptions returns timings that detect a lost daemon in about four seconds.
func DefaultOptions() Options {
	return Options{
		Interval:        time.Second,
		SuspectAfter:    2500 * time.Millisecond,
		DeadAfter:       time.Second,
		RecheckInterval: 4 * time.Second,
		ForgetAfter:     time.Minute,
	}
}

const (
	// rumourRounds is how many times a rumour is sent on each link; the repetition covers
	// a lost datagram.
	rumourRounds = 2
	// rumoursPerHeartbeat keeps a heartbeat within one datagram.
	rumoursPerHeartbeat = 16
)

// Member is one daemon as this one knows it.
type Member struct {
	VM       berylspoke.VM
	Rumour   Rumour
	Listed   bool
	LastSeen time.Time
	Changed  time.Time
	// LeavingSince is when this daemon learned that the member leaves, zero if it does not.
	LeavingSince time.Time
	// ConfigNumber is the last configuration entry that the member reported to have.
	ConfigNumber berylspoke.PatchNumber
	Serving      bool
}

// Table is the membership as one daemon knows it.
type Table struct {
	options        Options
	self           *Member
	members        map[berylspoke.VMID]*Member
	pending        map[berylspoke.VMID]int
	out, in        []berylspoke.VMID
	monitoredSince map[berylspoke.VMID]time.Time
	lastHeartbeat  time.Time
	lastRecheck    time.Time
	urgent         bool
	live           []berylspoke.VMID
	// version counts the changes of what the table says of the members. unlinked is set
	// while live, out and in do not include the changes up to changedAt.
	version   uint64
	unlinked  bool
	changedAt time.Time
	// notAlive are the members that are suspect or dead.
	notAlive map[berylspoke.VMID]bool
	// earlier is the highest incarnation of this daemon that peers reported.
	earlier berylspoke.Incarnation
}

// NewTable returns the table of a daemon that knows only itself.
func NewTable(now time.Time, vm berylspoke.VM, incarnation berylspoke.Incarnation, options Options) *Table {
	process := berylspoke.Process{VM: vm.ID, Incarnation: incarnation}
	rumour := Rumour{Process: process}
	if options.Open {
		rumour.Attributes = Attributes{FailureDomain: vm.FailureDomain, CallAddress: vm.CallAddress}
	}
	self := &Member{VM: vm, Rumour: rumour, Listed: true, LastSeen: now, Serving: true}
	table := &Table{
		options:        options,
		self:           self,
		members:        map[berylspoke.VMID]*Member{vm.ID: self},
		pending:        map[berylspoke.VMID]int{vm.ID: rumourRounds},
		monitoredSince: make(map[berylspoke.VMID]time.Time),
		notAlive:       make(map[berylspoke.VMID]bool),
	}
	table.changed(now)
	return table
}

// Self returns this daemon's process.
func (table *Table) Self() berylspoke.Process { return table.self.Rumour.Process }

// Leave announces that this daemon takes no new roles.
func (table *Table) Leave(now time.Time) {
	table.self.Rumour.Leaving, table.self.LeavingSince = true, now
	table.self.Rumour.Counter++
	table.enqueue(table.self.VM.ID)
	table.changed(now)
}

// SetListed applies the platform's list of VMs; a VM that is not on it holds no role.
func (table *Table) SetListed(now time.Time, vms []berylspoke.VM) {
	listed := make(map[berylspoke.VMID]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		member := table.member(vm.ID)
		if vm.ID != table.self.VM.ID {
			member.VM = vm
		} else if vm.Leaving && !table.self.Rumour.Leaving {
			table.Leave(now)
		}
		member.Listed = true
		member.VM.Leaving = vm.Leaving
	}
	for id, member := range table.members {
		if listed[id] || member == table.self {
			continue
		}
		table.remove(id)
	}
	table.changed(now)
}

// Join adds VMs that may belong to the fleet; they receive heartbeats, and count as dead
// if they do not answer.
func (table *Table) Join(now time.Time, vms []berylspoke.VMID) {
	for _, vm := range vms {
		if member := table.member(vm); member.LastSeen.IsZero() {
			member.Listed, member.LastSeen = true, now
		}
	}
	table.changed(now)
}

func (table *Table) member(id berylspoke.VMID) *Member {
	member := table.members[id]
	if member == nil {
		member = &Member{VM: berylspoke.VM{ID: id}, Rumour: Rumour{Process: berylspoke.Process{VM: id}}, Listed: table.options.Open}
		table.members[id] = member
	}
	return member
}

// Member returns what is known of a VM, or nil.
func (table *Table) Member(id berylspoke.VMID) *Member { return table.members[id] }

// Incarnation returns the current incarnation of a VM, or zero.
func (table *Table) Incarnation(id berylspoke.VMID) berylspoke.Incarnation {
	if member := table.members[id]; member != nil {
		return member.Rumour.Process.Incarnation
	}
	return 0
}

// Live returns the listed VMs that are neither leaving nor dead, sorted by id.
func (table *Table) Live() []berylspoke.VMID {
	table.relink()
	return table.live
}

// Urgent reports whether rumours wait to be sent.
func (table *Table) Urgent() bool { return table.urgent }

// Version returns a number that grows with each change of what the table says of the
// members.
func (table *Table) Version() uint64 { return table.version }

// Announce spreads the address at which this daemon takes callers' requests, and its
// processor time in hundredths of a core.
func (table *Table) Announce(callAddress string, capacity uint16) {
	table.self.Rumour.Attributes.Capacity = capacity
	table.self.Rumour.Attributes.CallAddress = callAddress
	table.self.VM.CallAddress = callAddress
	table.self.Rumour.Counter++
	table.version++
	table.enqueue(table.self.VM.ID)
}

// Sync returns a heartbeat that requests all that its receiver knows if that differs from
// what is known here.
func (table *Table) Sync() Heartbeat {
	heartbeat := table.heartbeat(nil)
	heartbeat.Sync, heartbeat.Digest = true, table.digest()
	return heartbeat
}

// digest returns a hash of the rumours about live daemons. Daemons with the same rumours
// need not exchange them: in steady state that is nearly always the case, and the size of
// all rumours grows with the fleet.
func (table *Table) digest() uint64 {
	var digest uint64
	for id, member := range table.members {
		rumour := member.Rumour
		if rumour.Process.Incarnation == 0 || rumour.Status != Alive {
			continue
		}
		// The order of the members must not matter.
		digest ^= xxhash.Sum64String(fmt.Sprint(id, rumour.Process.Incarnation, rumour.Counter, rumour.Leaving))
	}
	return digest
}

// Links returns the VMs this daemon exchanges heartbeats with.
func (table *Table) Links() []berylspoke.VMID {
	table.relink()
	seen := make(map[berylspoke.VMID]bool)
	var both []berylspoke.VMID
	for _, id := range append(append([]berylspoke.VMID(nil), table.out...), table.in...) {
		if !seen[id] {
			seen[id] = true
			both = append(both, id)
		}
	}
	return both
}

// Monitored returns the VMs whose heartbeats this daemon expects.
func (table *Table) Monitored() []berylspoke.VMID {
	table.relink()
	return table.in
}

// Members returns every known member sorted by id.
func (table *Table) Members() []*Member {
	all := make([]*Member, 0, len(table.members))
	for _, member := range table.members {
		all = append(all, member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].VM.ID < all[j].VM.ID })
	return all
}

// changed records a change of the members. The links follow when they are needed: a
// message may bring many changes, and each sort of the members costs more than all of them.
func (table *Table) changed(now time.Time) {
	table.version++
	table.unlinked, table.changedAt = true, now
}

// setStatus sets the status in a member's rumour.
func (table *Table) setStatus(member *Member, status Status) {
	member.Rumour.Status = status
	if status == Alive {
		delete(table.notAlive, member.VM.ID)
	} else {
		table.notAlive[member.VM.ID] = true
	}
}

// remove forgets a VM.
func (table *Table) remove(id berylspoke.VMID) {
	delete(table.members, id)
	delete(table.pending, id)
	delete(table.notAlive, id)
}

// relink recomputes the live VMs and the links if the members changed.
func (table *Table) relink() {
	if !table.unlinked {
		return
	}
	table.unlinked = false
	var live, linked []berylspoke.VMID
	for id, member := range table.members {
		if !member.Listed || member.Rumour.Status == Dead {
			continue
		}
		linked = append(linked, id)
		if !member.Rumour.Leaving && !member.VM.Leaving {
			live = append(live, id)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i] < live[j] })
	table.live = live
	table.out, table.in = links(table.self.VM.ID, linked)
	monitoredSince := make(map[berylspoke.VMID]time.Time, len(table.in))
	for _, id := range table.in {
		since, ok := table.monitoredSince[id]
		if !ok {
			since = table.changedAt
		}
		monitoredSince[id] = since
	}
	table.monitoredSince = monitoredSince
}

func (table *Table) enqueue(id berylspoke.VMID) {
	table.pending[id] = rumourRounds
	table.urgent = true
}

// HandleHeartbeat applies a heartbeat and returns the reply to send, if any.
func (table *Table) HandleHeartbeat(now time.Time, heartbeat Heartbeat) *Heartbeat {
	from := heartbeat.Self.Process.VM
	member := table.members[from]
	if member == nil {
		// A new VM may start before the platform lists it; it holds no role until it is
		// listed, but its heartbeat must count.
		member = table.member(from)
	}
	if heartbeat.Self.Process.Incarnation < member.Rumour.Process.Incarnation {
		// The clock of the VM stepped back before its daemon restarted. Unless the daemon
		// learns its earlier incarnation, every member would ignore it.
		reply := table.heartbeat([]Rumour{member.Rumour})
		return &reply
	}
	member.LastSeen, member.ConfigNumber, member.Serving = now, heartbeat.ConfigNumber, heartbeat.Serving
	disputed := member.Rumour.Status != Alive && member.Rumour.Process == heartbeat.Self.Process &&
		member.Rumour.Counter >= heartbeat.Self.Counter
	oldCounter, oldStatus := table.self.Rumour.Counter, member.Rumour.Status
	table.apply(now, heartbeat.Self)
	corrections := table.corrections(heartbeat.Rumours)
	for _, rumour := range heartbeat.Rumours {
		table.apply(now, rumour)
	}
	if heartbeat.Sync && heartbeat.Digest != 0 && heartbeat.Digest == table.digest() {
		return nil
	}
	if heartbeat.Sync {
		reply := table.heartbeat(table.knownRumours(len(table.members)))
		return &reply
	}
	if oldStatus == Dead && member.Rumour.Status == Alive {
		// After a healed partition the other side learns from this reply which daemons
		// this side considers dead, and they refute that. The heartbeats to dead
		// neighbours alone reach only the few daemons that are ring neighbours across the
		// partition.
		reply := table.heartbeat(table.rumoursNotAlive())
		return &reply
	}
	if table.self.Rumour.Counter != oldCounter || len(corrections) > 0 {
		reply := table.heartbeat(corrections)
		return &reply
	}
	if disputed {
		// The rejoined daemon learns from this reply that it was declared suspect or
		// dead, and refutes that with a higher counter.
		reply := table.heartbeat([]Rumour{member.Rumour})
		return &reply
	}
	return nil
}

// corrections returns the rumours known here that override given rumours of suspect or
// dead daemons.
func (table *Table) corrections(rumours []Rumour) []Rumour {
	var newer []Rumour
	for _, rumour := range rumours {
		member := table.members[rumour.Process.VM]
		if member != nil && member != table.self && rumour.Status != Alive && member.Rumour.overrides(rumour) {
			newer = append(newer, member.Rumour)
		}
	}
	return newer
}

func (table *Table) apply(now time.Time, rumour Rumour) {
	id := rumour.Process.VM
	if id == table.self.VM.ID {
		table.refute(rumour)
		return
	}
	member := table.members[id]
	if member == nil && table.options.Open && rumour.Status != Dead {
		member = table.member(id)
	}
	if member == nil || !rumour.overrides(member.Rumour) {
		return
	}
	switch {
	case !rumour.Leaving:
		member.LeavingSince = time.Time{}
	case !member.Rumour.Leaving:
		member.LeavingSince = now
	}
	member.Rumour, member.Changed = rumour, now
	table.setStatus(member, rumour.Status)
	if rumour.Attributes.FailureDomain != "" {
		member.VM.FailureDomain, member.VM.CallAddress = rumour.Attributes.FailureDomain, rumour.Attributes.CallAddress
	}
	if rumour.Status == Alive {
		member.LastSeen = now
	}
	table.enqueue(id)
	table.changed(now)
}

// EarlierIncarnation returns the highest incarnation that peers report of an earlier run
// of this daemon, zero if none is above its own.
func (table *Table) EarlierIncarnation() berylspoke.Incarnation {
	if table.earlier <= table.self.Rumour.Process.Incarnation {
		return 0
	}
	return table.earlier
}

// SetIncarnation sets an incarnation above that of an earlier run.
func (table *Table) SetIncarnation(incarnation berylspoke.Incarnation) {
	table.self.Rumour.Process.Incarnation = incarnation
	table.enqueue(table.self.VM.ID)
}

// refute overrides a false rumour about this daemon. Such rumours arise when a partition or
// a pause of this daemon keeps its heartbeats from a monitor.
func (table *Table) refute(rumour Rumour) {
	if rumour.Process.Incarnation > table.self.Rumour.Process.Incarnation {
		table.earlier = max(table.earlier, rumour.Process.Incarnation)
		if table.options.Open {
			table.SetIncarnation(rumour.Process.Incarnation + 1)
		}
		return
	}
	if rumour.Process.Incarnation != table.self.Rumour.Process.Incarnation || rumour.Status == Alive {
		return
	}
	if rumour.Counter >= table.self.Rumour.Counter {
		table.self.Rumour.Counter = rumour.Counter + 1
		table.enqueue(table.self.VM.ID)
	}
}
