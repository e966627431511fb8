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

// Assign grants free slots and returns the leases to send.
func (keeper *Keeper) Assign(now time.Time) []Addressed {
	for vm, holder := range keeper.holders {
		if now.Sub(holder.heard) > keeper.options.Silence {
			delete(keeper.holders, vm)
		}
	}
	free := keeper.free(now)
	unmet := keeper.grantWaiting(free)
	contended := unmet > 0
	if contended {
		keeper.unmet = now
		keeper.recall()
	} else {
		keeper.grantSpare(free)
	}
	return keeper.leases(now, contended)
}

// free returns the free slots of each target. A keeper that just took a target
// over has not heard yet from every entry that runs requests there; until a
// heartbeat round has passed, it grants half.
func (keeper *Keeper) free(now time.Time) map[berylspoke.TargetID]int {
	free := make(map[berylspoke.TargetID]int, len(keeper.limiters))
	for target, limiter := range keeper.limiters {
		out := keeper.out(target)
		limiter.Use(now, out)
		limit := limiter.Limit()
		if now.Sub(keeper.since) < takeoverTime {
			limit /= 2
		}
		free[target] = limit - out
	}
	return free
}

// wantedFor is how long a want of slots counts; a few load reports fit in it.
const wantedFor = 5 * time.Second

// takeoverTime is the time within which every entry that holds slots has asked
// a new keeper.
const takeoverTime = time.Second

// ordered returns the holders by VM, so that a run can be repeated.
func (keeper *Keeper) ordered() []*holder {
	holders := make([]*holder, 0, len(keeper.holders))
	for _, holder := range keeper.holders {
		holders = append(holders, holder)
	}
	sort.Slice(holders, func(i, j int) bool { return holders[i].process.VM < holders[j].process.VM })
	return holders
}

// grantWaiting gives free slots to the lowest tags and returns the number of
// waiting requests left without one.
func (keeper *Keeper) grantWaiting(free map[berylspoke.TargetID]int) int {
	holders := keeper.ordered()
	met := make([]int, len(holders))
	unmet := 0
	for i, holder := range holders {
		met[i] = min(holder.idle(), holder.waiting)
		unmet += holder.waiting - met[i]
	}
	for unmet > 0 {
		target, ok := freest(free)
		if !ok {
			break
		}
		next := keeper.next(holders, met)
		slots := holders[next].slots(target)
		slots.granted++
		slots.peak = max(slots.peak, slots.granted)
		holders[next].change()
		met[next]++
		free[target]--
		unmet--
	}
	return unmet
}

// next returns the holder whose next unmet request has the lowest tag; the
// baseline takes the holders in turn.
func (keeper *Keeper) next(holders []*holder, met []int) int {
	best := -1
	keeper.turn++
	for i := range holders {
		at := i
		if keeper.options.IgnoreTags {
			at = (i + keeper.turn) % len(holders)
		}
		if met[at] >= holders[at].waiting {
			continue
		}
		if best < 0 || !keeper.options.IgnoreTags && holders[at].tag(met[at]) < holders[best].tag(met[best]) {
			best = at
		}
	}
	return best
}

// freest returns the target with the most free slots.
func freest(free map[berylspoke.TargetID]int) (berylspoke.TargetID, bool) {
	var best berylspoke.TargetID
	for target, count := range free {
		if count > 0 && (best == "" || count > free[best] || count == free[best] && target < best) {
			best = target
		}
	}
	return best, best != ""
}

// recall takes back idle slots of entries that have nothing waiting for them.
func (keeper *Keeper) recall() {
	for _, holder := range keeper.holders {
		surplus := holder.idle() - holder.waiting
		for _, slots := range holder.targets {
			back := min(surplus, slots.granted-slots.used)
			if back > 0 {
				slots.granted -= back
				surplus -= back
				holder.change()
			}
		}
	}
}

// grantSpare lets active entries hold idle slots while nobody waits.
func (keeper *Keeper) grantSpare(free map[berylspoke.TargetID]int) {
	holders := keeper.ordered()
	for _, holder := range holders {
		if holder.idle() > 0 {
			continue
		}
		for count := 0; count < keeper.options.Spare; count++ {
			target, ok := freest(free)
			if !ok || free[target] <= len(holders) {
				return
			}
			slots := holder.slots(target)
			slots.granted++
			slots.peak = max(slots.peak, slots.granted)
			free[target]--
			holder.change()
		}
	}
}

// Addressed is a lease and the VM of the entry it is for; one that only renews
// is not urgent.
type Addressed struct {
	To     berylspoke.VMID
	Urgent bool
	Lease  Lease
}

// leases returns the leases to send: changed grants, a change of contention,
// or a threshold that fell below the one told.
func (keeper *Keeper) leases(now time.Time, contended bool) []Addressed {
	var leases []Addressed
	holders := keeper.ordered()
	for i, holder := range holders {
		threshold := keeper.threshold(holders, i)
		stale := contended && threshold < holder.last.Threshold-keeper.options.Slack
		if !holder.dirty && contended == holder.last.Contended && !stale {
			continue
		}
		keeper.sequence++
		holder.sequence = keeper.sequence
		holder.dirty = false
		holder.sent = now
		lease := Lease{
			From: keeper.self, Service: keeper.service,
			Sequence: holder.sequence, Answers: holder.asked,
			Contended: contended, Threshold: threshold, Time: keeper.time,
		}
		for target, slots := range holder.targets {
			lease.Grants = append(lease.Grants, Grant{target, slots.granted})
		}
		sort.Slice(lease.Grants, func(i, j int) bool { return lease.Grants[i].Target < lease.Grants[j].Target })
		urgent := holder.changed || contended != holder.last.Contended || stale
		holder.changed = false
		holder.last = lease
		leases = append(leases, Addressed{holder.process.VM, urgent, lease})
	}
	return leases
}

// threshold is the tag up to which a holder may reuse a freed slot: the lowest
// unmet tag of the other holders, plus the slack.
func (keeper *Keeper) threshold(holders []*holder, self int) berylspoke.Tag {
	lowest := noThreshold
	for i, holder := range holders {
		idle := holder.idle()
		if i != self && holder.waiting > idle {
			lowest = min(lowest, holder.tag(idle))
		}
	}
	if lowest == noThreshold {
		return lowest
	}
	return lowest + keeper.options.Slack
}

// noThreshold lets every tag reuse a slot.
const noThreshold = berylspoke.Tag(1 << 62)

// Slot is the state of one target for the dump.
type Slot struct {
	Target  berylspoke.TargetID `json:"target"`
	Limit   int                 `json:"limit"`
	Foreign int                 `json:"foreign"`
	Out     int                 `json:"out"`
	Leased  []Leased            `json:"leased"`
}

// Leased is what one entry has of a target, as its keeper knows it.
type Leased struct {
	Entry     berylspoke.VMID `json:"entry"`
	Granted   int             `json:"granted"`
	Used      int             `json:"used"`
	Confirmed bool            `json:"confirmed"`
	Waiting   int             `json:"waiting"`
	Tag       berylspoke.Tag  `json:"tag"`
	Threshold berylspoke.Tag  `json:"threshold"`
}

// Slots lists the targets kept.
func (keeper *Keeper) Slots() []Slot {
	var list []Slot
	for _, target := range keeper.Targets() {
		limiter := keeper.limiters[target]
		list = append(list, Slot{target, limiter.limit, limiter.foreign, keeper.out(target), keeper.leased(target)})
	}
	return list
}

func (keeper *Keeper) leased(target berylspoke.TargetID) []Leased {
	var list []Leased
	for _, holder := range keeper.ordered() {
		if slots := holder.targets[target]; slots != nil {
			list = append(list, Leased{
				Entry: holder.process.VM, Granted: slots.granted, Used: slots.used,
				Confirmed: slots.peak == slots.granted && slots.held == slots.granted,
				Waiting:   holder.waiting, Tag: holder.tag(0), Threshold: holder.last.Threshold,
			})
		}
	}
	return list
}
