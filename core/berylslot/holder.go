package berylslot

// This file defines the entry daemon's side of leases.

import (
	"sort"
	"time"

	"berylspoke"
)

const (
	// LeaseDuration is how long an entry daemon starts requests on a lease, counted from
	// when it sent the demand that the lease answers.
	LeaseDuration = 12 * time.Second
	// renewAfter is the time after which an entry daemon that uses slots renews its
	// leases.
	renewAfter = 4 * time.Second
	// resendTagsAfter is the time after which an entry daemon with a backlog sends its
	// tags again.
	resendTagsAfter = 3 * time.Second
	// replenishAfter is the time after which an entry daemon without idle slots requests
	// some in advance.
	replenishAfter = 250 * time.Millisecond
	// lowerTagInterval is the minimum time between demands that report a lower first tag.
	lowerTagInterval = 50 * time.Millisecond
	// maxDemandTags is the number of waiting requests that a demand describes.
	maxDemandTags = 8
	// activeWindow is the time after its last request for which an entry daemon renews
	// idle leases.
	activeWindow = 10 * time.Second
)

// holding is the number of slots of one target that this entry daemon holds and uses.
type holding struct {
	held, used    int
	tokenInterval time.Duration
}

// lessorView is one lessor as this entry daemon knows it.
type lessorView struct {
	process        berylspoke.Process
	demandSequence uint32
	applied        uint32
	acknowledged   uint32
	sentAt         [8]time.Time
	lastSent       time.Time
	validUntil     time.Time
	contended      bool
	threshold      berylspoke.Tag
	// margin is how much lower than the tags of others a tag must be at this lessor.
	margin      berylspoke.Tag
	virtualTime berylspoke.Tag
	// maxStarted is the highest tag started on this lessor's targets.
	maxStarted berylspoke.Tag
	lastStart  time.Time
	targets    map[berylspoke.TargetID]*holding
	dirty      bool
	// reportedWaiting and reportedHead are the number of waiting requests and the first
	// tag in the last demand.
	reportedWaiting int
	reportedHead    berylspoke.Tag
}

// Holder holds the leases of one entry daemon for one service.
type Holder struct {
	self       berylspoke.Process
	service    berylspoke.ServiceID
	lessors    map[berylspoke.VMID]*lessorView
	lastActive time.Time
	uses       UseCounts
}

// UseCounts counts freed slots that were reused here, freed slots that were returned, and
// granted slots that were returned unused because the next tag was above the threshold.
type UseCounts struct {
	Reused   uint64 `json:"reused"`
	Returned uint64 `json:"returned"`
	Unused   uint64 `json:"refused"`
}

// Uses returns the counts so far.
func (holder *Holder) Uses() UseCounts { return holder.uses }

// NewHolder returns a holder without leases.
func NewHolder(self berylspoke.Process, service berylspoke.ServiceID) *Holder {
	return &Holder{self: self, service: service, lessors: make(map[berylspoke.VMID]*lessorView)}
}

func (holder *Holder) lessor(vm berylspoke.VMID) *lessorView {
	view := holder.lessors[vm]
	if view == nil {
		view = &lessorView{targets: make(map[berylspoke.TargetID]*holding)}
		holder.lessors[vm] = view
	}
	return view
}

// ApplyLease applies a lease; one older than the last applied is dropped.
func (holder *Holder) ApplyLease(lease Lease) {
	view := holder.lessors[lease.From.VM]
	if view == nil {
		return
	}
	if view.process != lease.From {
		if lease.From.Incarnation < view.process.Incarnation {
			return
		}
		view.process, view.applied, view.acknowledged = lease.From, 0, 0
		view.validUntil = time.Time{}
	}
	if lease.Sequence <= view.applied {
		return
	}
	view.applied = lease.Sequence
	view.contended, view.threshold, view.virtualTime = lease.Contended, lease.Threshold, lease.VirtualTime
	if lease.Acknowledged > view.acknowledged && lease.Acknowledged <= view.demandSequence {
		view.acknowledged = lease.Acknowledged
		if view.demandSequence-lease.Acknowledged < uint32(len(view.sentAt)) {
			view.validUntil = view.sentAt[lease.Acknowledged%uint32(len(view.sentAt))].Add(LeaseDuration)
		}
	}
	granted := make(map[berylspoke.TargetID]bool, len(lease.Grants))
	for _, grant := range lease.Grants {
		granted[grant.Target] = true
		held := view.targets[grant.Target]
		if held == nil {
			held = new(holding)
			view.targets[grant.Target] = held
		}
		if grant.Slots < held.held {
			// The lessor grants a recalled slot to others only after this confirmation.
			view.dirty = true
		}
		held.held = max(grant.Slots, held.used)
	}
	for target, held := range view.targets {
		if !granted[target] {
			held.held = held.used
		}
	}
}

// Placement is a target together with the lessor that leased it.
type Placement struct {
	Lessor berylspoke.VMID
	Target berylspoke.TargetID
}

// Free lists the placements where a request of the given tag may start now, those with the
// most idle slots first. A lease is valid from the sending of the demand that it answers:
// an entry daemon that was paused resumes with leases whose slots its lessor may have
// granted to others, and must see them as expired.
//
// Under contention a slot is only for tags within the lessor's threshold. Several lessors
// see the same low tag and each grants it a slot; without this check an organisation that
// lags by one request would start one per lessor.
func (holder *Holder) Free(now time.Time, tag berylspoke.Tag) []Placement {
	type candidate struct {
		placement Placement
		idle      int
	}
	var candidates []candidate
	for vm, view := range holder.lessors {
		if now.After(view.validUntil) || !view.admits(tag) {
			continue
		}
		for target, held := range view.targets {
			if held.held > held.used {
				candidates = append(candidates, candidate{Placement{vm, target}, held.held - held.used})
			}
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		left, right := candidates[i], candidates[j]
		return left.idle > right.idle || left.idle == right.idle && left.placement.Target < right.placement.Target
	})
	placements := make([]Placement, len(candidates))
	for i, candidate := range candidates {
		placements[i] = candidate.placement
	}
	return placements
}

// admits reports whether a request of the tag may use this lessor's slots.
func (view *lessorView) admits(tag berylspoke.Tag) bool {
	return !view.contended || tag+view.margin <= view.threshold
}

// Start takes a slot for a request of the given tag.
func (holder *Holder) Start(now time.Time, placement Placement, tag berylspoke.Tag) {
	view := holder.lessors[placement.Lessor]
	view.targets[placement.Target].used++
	view.lastStart = now
	view.maxStarted = max(view.maxStarted, tag)
	holder.lastActive = now
}

// Finish frees a slot. If the lease is valid, the slot is kept unless there is contention
// and no request here is within the threshold; the next one has the tag next. Otherwise
// it is returned at once.
func (holder *Holder) Finish(now time.Time, placement Placement, next berylspoke.Tag, waiting bool) {
	holder.lastActive = now
	view, held := holder.find(placement)
	if held == nil {
		return
	}
	held.used--
	if held.held <= held.used {
		return
	}
	if now.After(view.validUntil) || view.contended && !(waiting && view.admits(next)) {
		held.held = held.used
		view.dirty = true
		holder.uses.Returned++
		return
	}
	holder.uses.Reused++
}

// find returns the slots of a placement, whose target another lessor may have taken over
// since the request started.
func (holder *Holder) find(placement Placement) (*lessorView, *holding) {
	if view := holder.lessors[placement.Lessor]; view != nil && view.targets[placement.Target] != nil {
		return view, view.targets[placement.Target]
	}
	for _, view := range holder.lessors {
		if held := view.targets[placement.Target]; held != nil {
			return view, held
		}
	}
	return nil, nil
}

// ReassignTarget reports to the new lessor of a target what still runs there: a lessor
// that took the target over starts empty and would otherwise lease those slots again.
func (holder *Holder) ReassignTarget(target berylspoke.TargetID, to berylspoke.VMID) {
	for vm, view := range holder.lessors {
		held := view.targets[target]
		if vm == to || held == nil {
			continue
		}
		delete(view.targets, target)
		view.dirty = true
		if held.used == 0 || to == "" {
			continue
		}
		successor := holder.lessor(to)
		if existing := successor.targets[target]; existing != nil {
			held.used += existing.used
		}
		held.held = held.used
		successor.targets[target] = held
		successor.dirty = true
	}
}

// RecordTokenInterval averages a time between tokens measured on a target.
func (holder *Holder) RecordTokenInterval(placement Placement, interval time.Duration) {
	_, held := holder.find(placement)
	if held == nil || interval <= 0 {
		return
	}
	if held.tokenInterval == 0 {
		held.tokenInterval = interval
	}
	held.tokenInterval += (interval - held.tokenInterval) / 8
}

// Release returns the idle slots of contended lessors that no request here may use; the
// next request, if one is waiting, has the tag next.
func (holder *Holder) Release(next berylspoke.Tag, waiting bool) {
	for _, view := range holder.lessors {
		if !view.contended || waiting && view.admits(next) {
			continue
		}
		for _, held := range view.targets {
			if held.held > held.used {
				holder.uses.Unused += uint64(held.held - held.used)
				held.held = held.used
				view.dirty = true
			}
		}
	}
}

// ExpireLessor expires the lease of a lessor that died; requests running on its targets
// continue and are reported to the next lessor of the target.
func (holder *Holder) ExpireLessor(vm berylspoke.VMID) {
	if view := holder.lessors[vm]; view != nil {
		view.validUntil = time.Time{}
		view.applied, view.acknowledged = 0, 0
		view.process = berylspoke.Process{}
	}
}

// VirtualTime returns the virtual time of the service, the lowest among the given lessors
// whose lease is valid, and whether there is one. Without a valid lease the known time
// may be old.
func (holder *Holder) VirtualTime(now time.Time, lessors []berylspoke.VMID) (berylspoke.Tag, bool) {
	lowest, found := berylspoke.Tag(0), false
	for _, vm := range lessors {
		view := holder.lessors[vm]
		if view == nil || now.After(view.validUntil) || view.virtualTime == 0 {
			continue
		}
		if known := max(view.virtualTime, view.maxStarted); !found || known < lowest {
			lowest, found = known, true
		}
	}
	return lowest, found
}

// QueueState summarises the queue of an entry daemon at one moment.
type QueueState struct {
	Waiting     int
	Tags        []berylspoke.Tag
	VirtualTime berylspoke.Tag
}

// Lessors are the lessors that an entry daemon requests slots from. Remote ones are in
// another region, and their slots are only for requests whose tags are lower by the
// margin than those waiting there.
type Lessors struct {
	Local, Remote []berylspoke.VMID
	Margin        berylspoke.Tag
}

// Demands returns the demands to send now. Lessors that are not listed get a demand of
// zero, and no further ones.
func (holder *Holder) Demands(now time.Time, lessors Lessors, state QueueState) []AddressedDemand {
	listed := make(map[berylspoke.VMID]bool, len(lessors.Local)+len(lessors.Remote))
	for _, vm := range lessors.Local {
		listed[vm] = true
		holder.lessor(vm).margin = 0
	}
	for _, vm := range lessors.Remote {
		listed[vm] = true
		holder.lessor(vm).margin = lessors.Margin
	}
	var demands []AddressedDemand
	for _, vm := range holder.sortedLessors() {
		view := holder.lessors[vm]
		effective := state
		if !listed[vm] {
			effective = QueueState{VirtualTime: state.VirtualTime}
			view.returnIdle()
			if view.used() == 0 && now.Sub(view.lastSent) > forgetAfter {
				delete(holder.lessors, vm)
				continue
			}
		}
		if due, urgent := holder.due(now, view, effective); due {
			demands = append(demands, AddressedDemand{vm, urgent, holder.newDemand(now, view, effective)})
		}
	}
	return demands
}

// forgetAfter is the time after which no lease of a lessor can arrive any more.
const forgetAfter = 2 * LeaseDuration

// returnIdle returns the idle slots granted by a lessor that gets no more demands.
// Without notice these slots would stay idle until the lessor considers the entry daemon
// dead. A lease that was in flight is returned the same way.
func (view *lessorView) returnIdle() {
	if view.reportedWaiting > 0 {
		view.dirty = true
	}
	for _, held := range view.targets {
		if held.held > held.used {
			held.held = held.used
			view.dirty = true
		}
	}
}

func (holder *Holder) sortedLessors() []berylspoke.VMID {
	vms := make([]berylspoke.VMID, 0, len(holder.lessors))
	for vm := range holder.lessors {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i] < vms[j] })
	return vms
}

// AddressedDemand is a demand and the VM of the lessor that receives it; one that only
// renews is not urgent.
type AddressedDemand struct {
	To     berylspoke.VMID
	Urgent bool
	Demand Demand
}

func (view *lessorView) used() int {
	used := 0
	for _, held := range view.targets {
		used += held.used
	}
	return used
}

func (view *lessorView) idle() int {
	idle := 0
	for _, held := range view.targets {
		idle += held.held - held.used
	}
	return idle
}

// due reports whether a demand must be sent to a lessor now, and whether it is urgent.
func (holder *Holder) due(now time.Time, view *lessorView, state QueueState) (due, urgent bool) {
	sinceSent := now.Sub(view.lastSent)
	if view.dirty {
		return true, true
	}
	if state.Waiting > 0 {
		grew := state.Waiting > view.reportedWaiting && view.reportedWaiting < maxDemandTags
		overtook := len(state.Tags) > 0 && state.Tags[0]+view.margin < view.reportedHead && sinceSent >= lowerTagInterval
		return grew || overtook || sinceSent >= resendTagsAfter, grew || overtook
	}
	if view.used() == 0 && (view.idle() == 0 || now.Sub(holder.lastActive) > activeWindow) {
		return false, false
	}
	depleted := view.idle() == 0 && !view.contended && sinceSent >= replenishAfter && now.Sub(holder.lastActive) < time.Second
	return depleted || sinceSent >= renewAfter, depleted
}

func (holder *Holder) newDemand(now time.Time, view *lessorView, state QueueState) Demand {
	view.demandSequence++
	view.sentAt[view.demandSequence%uint32(len(view.sentAt))] = now
	view.lastSent = now
	view.dirty = false
	view.reportedWaiting = state.Waiting
	view.reportedHead = 0
	demand := Demand{
		From: holder.self, Service: holder.service,
		Sequence: view.demandSequence, Applied: view.applied,
		Waiting: state.Waiting, VirtualTime: state.VirtualTime, MaxStarted: view.maxStarted,
	}
	for _, tag := range state.Tags {
		demand.Tags = append(demand.Tags, tag+view.margin)
	}
	if len(demand.Tags) > 0 {
		view.reportedHead = demand.Tags[0]
	}
	for target, held := range view.targets {
		if held.held == 0 && held.used == 0 {
			delete(view.targets, target)
			continue
		}
		demand.Holdings = append(demand.Holdings, Holding{target, held.held, held.used, held.tokenInterval})
	}
	sort.Slice(demand.Holdings, func(i, j int) bool { return demand.Holdings[i].Target < demand.Holdings[j].Target })
	return demand
}

// MaxDemandTags is the maximum number of tags in a demand.
const MaxDemandTags = maxDemandTags
