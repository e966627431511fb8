package berylslot

// This file defines the lessor of the targets of one service.

import (
	"sort"
	"time"

	"berylspoke"
)

// LessorOptions bound the leases of a lessor.
type LessorOptions struct {
	// SpareSlots is the number of idle slots that an entry daemon may be granted at a
	// time while no request waits.
	SpareSlots int
	// Slack is how far above the lowest waiting tag a freed slot may be reused; a larger
	// slack saves messages and widens the gap in service between organisations.
	Slack berylspoke.Tag
	// HolderTimeout is the time without a demand after which an entry daemon loses its
	// slots; it exceeds LeaseDuration, after which the entry daemon starts no request on
	// them.
	HolderTimeout time.Duration
	// ResendAfter is the time after which an unapplied lease is sent again.
	ResendAfter time.Duration
	// IgnoreTags grants slots in turn, as a baseline without an order across the fleet.
	IgnoreTags bool
	Limiter    LimiterOptions
}

// DefaultLessorOptions returns the options of a daemon.
func DefaultLessorOptions() LessorOptions {
	return LessorOptions{
		SpareSlots:    2,
		Slack:         0,
		HolderTimeout: LeaseDuration + 3*time.Second,
		ResendAfter:   150 * time.Millisecond,
		Limiter:       DefaultLimiterOptions(),
	}
}

// slotUse is one entry daemon's use of the slots of one target.
type slotUse struct {
	held, used, granted int
	// peak is the highest grant since the entry daemon last confirmed one.
	peak int
}

// maxUsed returns the highest number of requests that the entry daemon may be running.
func (slots *slotUse) maxUsed() int { return max(slots.held, slots.used, slots.granted, slots.peak) }

type holderState struct {
	process        berylspoke.Process
	demandSequence uint32
	leaseSequence  uint32
	lastSent       time.Time
	lastReceived   time.Time
	waiting        int
	tags           []berylspoke.Tag
	targets        map[berylspoke.TargetID]*slotUse
	dirty          bool
	// changed is set when a grant differs from the one last sent.
	changed   bool
	lastLease Lease
}

// markChanged marks that the holder must be sent its changed grants.
func (holder *holderState) markChanged() { holder.dirty, holder.changed = true, true }

// idle returns the number of granted slots that the holder does not use.
func (holder *holderState) idle() int {
	idle := 0
	for _, slots := range holder.targets {
		idle += max(slots.granted-slots.used, 0)
	}
	return idle
}

// tag returns the tag of the request after the first skip waiting ones.
func (holder *holderState) tag(skip int) berylspoke.Tag {
	if len(holder.tags) == 0 {
		return 0
	}
	return holder.tags[min(skip, len(holder.tags)-1)]
}

// Lessor leases the targets of one service that are assigned to this daemon.
type Lessor struct {
	options     LessorOptions
	self        berylspoke.Process
	service     berylspoke.ServiceID
	limiters    map[berylspoke.TargetID]*Limiter
	holders     map[berylspoke.VMID]*holderState
	virtualTime berylspoke.Tag
	takenOver   time.Time
	rotation    int
	// lastUnmet is when a request last waited for lack of a slot.
	lastUnmet time.Time
	// sequence numbers the leases to all entry daemons. If a number were used twice for
	// an entry daemon that was removed and came back, a late old lease could make it
	// confirm slots that it never received.
	sequence uint32
}

// NewLessor returns a lessor without targets.
func NewLessor(now time.Time, self berylspoke.Process, service berylspoke.ServiceID, options LessorOptions) *Lessor {
	return &Lessor{
		options:   options,
		self:      self,
		service:   service,
		limiters:  make(map[berylspoke.TargetID]*Limiter),
		holders:   make(map[berylspoke.VMID]*holderState),
		takenOver: now,
	}
}

// SetTargets sets the targets that this daemon leases; slots of other targets lapse.
func (lessor *Lessor) SetTargets(now time.Time, targets []berylspoke.TargetID) {
	limiters := make(map[berylspoke.TargetID]*Limiter, len(targets))
	for _, target := range targets {
		limiters[target] = lessor.limiters[target]
		if limiters[target] == nil {
			limiters[target] = NewLimiter(lessor.options.Limiter)
			lessor.takenOver = now
		}
	}
	for _, holder := range lessor.holders {
		for target := range holder.targets {
			if limiters[target] == nil {
				delete(holder.targets, target)
				holder.dirty = true
			}
		}
	}
	lessor.limiters = limiters
}

// Targets returns the leased targets, sorted by id.
func (lessor *Lessor) Targets() []berylspoke.TargetID {
	targets := make([]berylspoke.TargetID, 0, len(lessor.limiters))
	for target := range lessor.limiters {
		targets = append(targets, target)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i] < targets[j] })
	return targets
}

// Limiter returns a target's limiter, or nil.
func (lessor *Lessor) Limiter(target berylspoke.TargetID) *Limiter { return lessor.limiters[target] }

// VirtualTime returns the highest tag started on this lessor's targets.
func (lessor *Lessor) VirtualTime() berylspoke.Tag { return lessor.virtualTime }

// Report applies a target's load report.
func (lessor *Lessor) Report(now time.Time, target berylspoke.TargetID, report berylspoke.LoadReport) {
	limiter := lessor.limiters[target]
	if limiter == nil {
		return
	}
	limiter.RecordUse(now, lessor.outstanding(target))
	limiter.Report(now, report, now.Sub(lessor.lastUnmet) < unmetWindow)
}

// outstanding returns the number of slots of a target that entry daemons may be using.
func (lessor *Lessor) outstanding(target berylspoke.TargetID) int {
	out := 0
	for _, holder := range lessor.holders {
		if slots := holder.targets[target]; slots != nil {
			out += slots.maxUsed()
		}
	}
	return out
}

// ApplyDemand applies an entry daemon's demand; one older than the last received is
// dropped.
func (lessor *Lessor) ApplyDemand(now time.Time, demand Demand) {
	holder := lessor.holders[demand.From.VM]
	if holder != nil && holder.process != demand.From {
		if demand.From.Incarnation < holder.process.Incarnation {
			return
		}
		holder = nil
	}
	if holder == nil {
		holder = &holderState{process: demand.From, targets: make(map[berylspoke.TargetID]*slotUse)}
		lessor.holders[demand.From.VM] = holder
	}
	if demand.Sequence <= holder.demandSequence {
		return
	}
	expired := now.Sub(holder.lastReceived) > LeaseDuration
	holder.demandSequence, holder.lastReceived = demand.Sequence, now
	holder.waiting, holder.tags = demand.Waiting, demand.Tags
	lessor.advanceTime(demand)
	if expired {
		holder.tags = raiseTags(demand.Tags, lessor.virtualTime)
	}
	lessor.reconcile(now, holder, demand)
}

// raiseTags raises tags to the floor. An entry daemon that was idle knows only an old
// virtual time, so its organisations would take precedence over all others until its
// first lease reports the present one.
func raiseTags(tags []berylspoke.Tag, floor berylspoke.Tag) []berylspoke.Tag {
	raised := make([]berylspoke.Tag, len(tags))
	for i, tag := range tags {
		raised[i] = max(tag, floor)
	}
	return raised
}

// advanceTime advances the virtual time; a lessor that starts empty adopts the entry
// daemons' time, or organisations with a new backlog would take precedence over all
// others for long.
func (lessor *Lessor) advanceTime(demand Demand) {
	if lessor.virtualTime == 0 {
		lessor.virtualTime = demand.VirtualTime
	}
	lessor.virtualTime = max(lessor.virtualTime, demand.MaxStarted)
}

// reconcile updates the records of a holder from the slots that its demand reports.
func (lessor *Lessor) reconcile(now time.Time, holder *holderState, demand Demand) {
	confirmed := demand.Applied == holder.leaseSequence
	reported := make(map[berylspoke.TargetID]bool, len(demand.Holdings))
	for _, holding := range demand.Holdings {
		limiter := lessor.limiters[holding.Target]
		if limiter == nil {
			holder.dirty = true
			continue
		}
		reported[holding.Target] = true
		limiter.RecordTokenInterval(holding.TokenInterval)
		held := holder.slotsOn(holding.Target)
		held.held, held.used = holding.Held, holding.Used
		if confirmed {
			held.granted, held.peak = holding.Held, holding.Held
		}
	}
	for target, slots := range holder.targets {
		if !reported[target] {
			slots.held, slots.used = 0, 0
			if confirmed {
				delete(holder.targets, target)
			}
		}
	}
	if !confirmed && now.Sub(holder.lastSent) > lessor.options.ResendAfter || now.Sub(holder.lastSent) > LeaseDuration/3 {
		// The lease was lost, or must be renewed before it expires.
		holder.dirty = true
	}
}

func (holder *holderState) slotsOn(target berylspoke.TargetID) *slotUse {
	found := holder.targets[target]
	if found == nil {
		found = new(slotUse)
		holder.targets[target] = found
	}
	return found
}

// RemoveHolder takes back the slots of a daemon that died.
func (lessor *Lessor) RemoveHolder(vm berylspoke.VMID) { delete(lessor.holders, vm) }
