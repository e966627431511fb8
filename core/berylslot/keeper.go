package berylslot

// This file defines the keeper of the targets of one service.

import (
	"sort"
	"time"

	"berylspoke"
)

// KeeperOptions bound a keeper's leases.
type KeeperOptions struct {
	// Spare is the number of idle slots an entry may hold on one target while
	// nobody waits.
	Spare int
	// Slack is how far above the lowest waiting tag a freed slot may be reused;
	// it buys fewer messages with a wider service gap.
	Slack berylspoke.Tag
	// Silence is the time after which an unheard entry loses its slots; it
	// exceeds LeaseLife, so the entry has stopped using them by then.
	Silence time.Duration
	// Resend is the time after which an unapplied lease is repeated.
	Resend time.Duration
	// IgnoreTags grants in turn, as a baseline without fleet-wide order.
	IgnoreTags bool
	Limiter    LimiterOptions
}

// DefaultKeeperOptions returns the product's bounds.
func DefaultKeeperOptions() KeeperOptions {
	return KeeperOptions{
		Spare:   2,
		Slack:   0,
		Silence: LeaseLife + 3*time.Second,
		Resend:  150 * time.Millisecond,
		Limiter: DefaultLimiterOptions(),
	}
}

// slots is what one entry holds of one target.
type slots struct {
	held, used, granted int
	// peak is the highest grant since the entry last confirmed one.
	peak int
}

// most is the number of requests the entry may be running as far as known.
func (slots *slots) most() int { return max(slots.held, slots.used, slots.granted, slots.peak) }

type holder struct {
	process  berylspoke.Process
	asked    uint32
	sequence uint32
	sent     time.Time
	heard    time.Time
	waiting  int
	tags     []berylspoke.Tag
	targets  map[berylspoke.TargetID]*slots
	dirty    bool
	// changed is set when a grant differs from the one last sent.
	changed bool
	last    Lease
}

// change marks a grant that the entry must hear of.
func (holder *holder) change() { holder.dirty, holder.changed = true, true }

// idle is the number of granted slots that the entry has not used yet.
func (holder *holder) idle() int {
	idle := 0
	for _, slots := range holder.targets {
		idle += max(slots.granted-slots.used, 0)
	}
	return idle
}

// tag returns the tag of the request after the first skip waiting ones.
func (holder *holder) tag(skip int) berylspoke.Tag {
	if len(holder.tags) == 0 {
		return 0
	}
	return holder.tags[min(skip, len(holder.tags)-1)]
}

// Keeper leases the targets of one service that are placed on one daemon.
type Keeper struct {
	options  KeeperOptions
	self     berylspoke.Process
	service  berylspoke.ServiceID
	limiters map[berylspoke.TargetID]*Limiter
	holders  map[berylspoke.VMID]*holder
	time     berylspoke.Tag
	since    time.Time
	turn     int
	// unmet is when a request last waited for want of a slot.
	unmet time.Time
	// sequence numbers the leases to all entries. A number used twice for an
	// entry that was forgotten and came back would let it confirm, with an old
	// lease that was late, what it never got.
	sequence uint32
}

// NewKeeper returns a keeper without targets.
func NewKeeper(now time.Time, self berylspoke.Process, service berylspoke.ServiceID, options KeeperOptions) *Keeper {
	return &Keeper{
		options:  options,
		self:     self,
		service:  service,
		limiters: make(map[berylspoke.TargetID]*Limiter),
		holders:  make(map[berylspoke.VMID]*holder),
		since:    now,
	}
}

// SetTargets sets the targets this daemon keeps; slots of others lapse.
func (keeper *Keeper) SetTargets(now time.Time, targets []berylspoke.TargetID) {
	kept := make(map[berylspoke.TargetID]*Limiter, len(targets))
	for _, target := range targets {
		kept[target] = keeper.limiters[target]
		if kept[target] == nil {
			kept[target] = NewLimiter(keeper.options.Limiter)
			keeper.since = now
		}
	}
	for _, holder := range keeper.holders {
		for target := range holder.targets {
			if kept[target] == nil {
				delete(holder.targets, target)
				holder.dirty = true
			}
		}
	}
	keeper.limiters = kept
}

// Targets returns the targets kept, sorted by id.
func (keeper *Keeper) Targets() []berylspoke.TargetID {
	targets := make([]berylspoke.TargetID, 0, len(keeper.limiters))
	for target := range keeper.limiters {
		targets = append(targets, target)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i] < targets[j] })
	return targets
}

// Limiter returns a target's limiter, or nil.
func (keeper *Keeper) Limiter(target berylspoke.TargetID) *Limiter { return keeper.limiters[target] }

// Time returns the highest tag started on this keeper's targets.
func (keeper *Keeper) Time() berylspoke.Tag { return keeper.time }

// Report takes a target's load report.
func (keeper *Keeper) Report(now time.Time, target berylspoke.TargetID, report berylspoke.LoadReport) {
	limiter := keeper.limiters[target]
	if limiter == nil {
		return
	}
	limiter.Use(now, keeper.out(target))
	limiter.Report(now, report, now.Sub(keeper.unmet) < wantedFor)
}

// out is the number of slots that entries may be using.
func (keeper *Keeper) out(target berylspoke.TargetID) int {
	out := 0
	for _, holder := range keeper.holders {
		if slots := holder.targets[target]; slots != nil {
			out += slots.most()
		}
	}
	return out
}

// Ask takes an entry's view; an ask overtaken by a newer one is dropped.
func (keeper *Keeper) Ask(now time.Time, ask Ask) {
	from := keeper.holders[ask.From.VM]
	if from != nil && from.process != ask.From {
		if ask.From.Incarnation < from.process.Incarnation {
			return
		}
		from = nil
	}
	if from == nil {
		from = &holder{process: ask.From, targets: make(map[berylspoke.TargetID]*slots)}
		keeper.holders[ask.From.VM] = from
	}
	if ask.Sequence <= from.asked {
		return
	}
	stale := now.Sub(from.heard) > LeaseLife
	from.asked, from.heard = ask.Sequence, now
	from.waiting, from.tags = ask.Waiting, ask.Tags
	keeper.advance(ask)
	if stale {
		from.tags = lifted(ask.Tags, keeper.time)
	}
	keeper.confirm(now, from, ask)
}

// lifted raises tags to the floor. An entry that was idle knows only an old
// virtual time, and its organisations would go before everyone else until its
// first lease tells it the present one.
func lifted(tags []berylspoke.Tag, floor berylspoke.Tag) []berylspoke.Tag {
	raised := make([]berylspoke.Tag, len(tags))
	for i, tag := range tags {
		raised[i] = max(tag, floor)
	}
	return raised
}

// advance moves the virtual time; a keeper that starts empty adopts the
// entries' time, or the newly backlogged would go before everyone for long.
func (keeper *Keeper) advance(ask Ask) {
	if keeper.time == 0 {
		keeper.time = ask.Time
	}
	keeper.time = max(keeper.time, ask.Started)
}

// confirm brings the books in line with what the entry says it holds.
func (keeper *Keeper) confirm(now time.Time, from *holder, ask Ask) {
	confirmed := ask.Applied == from.sequence
	seen := make(map[berylspoke.TargetID]bool, len(ask.Holds))
	for _, hold := range ask.Holds {
		limiter := keeper.limiters[hold.Target]
		if limiter == nil {
			from.dirty = true
			continue
		}
		seen[hold.Target] = true
		limiter.Pace(hold.Pace)
		entry := from.slots(hold.Target)
		entry.held, entry.used = hold.Held, hold.Used
		if confirmed {
			entry.granted, entry.peak = hold.Held, hold.Held
		}
	}
	for target, slots := range from.targets {
		if !seen[target] {
			slots.held, slots.used = 0, 0
			if confirmed {
				delete(from.targets, target)
			}
		}
	}
	if !confirmed && now.Sub(from.sent) > keeper.options.Resend || now.Sub(from.sent) > LeaseLife/3 {
		// The lease was lost on the way, or must be renewed before it lapses.
		from.dirty = true
	}
}

func (holder *holder) slots(target berylspoke.TargetID) *slots {
	found := holder.targets[target]
	if found == nil {
		found = new(slots)
		holder.targets[target] = found
	}
	return found
}

// Drop takes back the slots of a daemon that died.
func (keeper *Keeper) Drop(vm berylspoke.VMID) { delete(keeper.holders, vm) }
