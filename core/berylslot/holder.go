package berylslot

// This file defines the entry's side of leases.

import (
	"sort"
	"time"

	"berylspoke"
)

const (
	// LeaseLife is the time an entry starts requests on a lease after it sent
	// the ask that the lease answers.
	LeaseLife = 12 * time.Second
	// refreshAfter is the time after which an entry in use renews its leases.
	refreshAfter = 4 * time.Second
	// retellAfter is the time after which an entry with a backlog tells its
	// tags again.
	retellAfter = 3 * time.Second
	// repeatAfter is the time after which an entry without idle slots asks for
	// some in advance.
	repeatAfter = 250 * time.Millisecond
	// overtakeAfter bounds how often a lower first tag is told.
	overtakeAfter = 50 * time.Millisecond
	// askTags is the number of waiting requests an ask describes.
	askTags = 8
	// activeFor is the time after its last request that an entry keeps leases.
	activeFor = 10 * time.Second
)

// holding is what this entry holds and uses of one target.
type holding struct {
	held, used int
	pace       time.Duration
}

// keeperView is one keeper as this entry knows it.
type keeperView struct {
	process   berylspoke.Process
	sequence  uint32
	applied   uint32
	answered  uint32
	sentAt    [8]time.Time
	lastSent  time.Time
	valid     time.Time
	contended bool
	threshold berylspoke.Tag
	// margin is how much lower than the others' a tag must be here.
	margin berylspoke.Tag
	time   berylspoke.Tag
	// started is the highest tag started on this keeper's targets.
	started berylspoke.Tag
	granted time.Time
	targets map[berylspoke.TargetID]*holding
	dirty   bool
	// told and toldHead are what the last ask said of the queue.
	told     int
	toldHead berylspoke.Tag
}

// Holder holds the leases of one entry for one service.
type Holder struct {
	self    berylspoke.Process
	service berylspoke.ServiceID
	keepers map[berylspoke.VMID]*keeperView
	active  time.Time
	uses    Uses
}

// Uses counts what became of slots: freed and reused here, freed and returned,
// or granted and returned unused because the next tag was above the threshold.
type Uses struct {
	Reused   uint64 `json:"reused"`
	Returned uint64 `json:"returned"`
	Refused  uint64 `json:"refused"`
}

// Uses returns what became of slots so far.
func (holder *Holder) Uses() Uses { return holder.uses }

// NewHolder returns a holder without leases.
func NewHolder(self berylspoke.Process, service berylspoke.ServiceID) *Holder {
	return &Holder{self: self, service: service, keepers: make(map[berylspoke.VMID]*keeperView)}
}

func (holder *Holder) keeper(vm berylspoke.VMID) *keeperView {
	view := holder.keepers[vm]
	if view == nil {
		view = &keeperView{targets: make(map[berylspoke.TargetID]*holding)}
		holder.keepers[vm] = view
	}
	return view
}

// Take applies a lease; one overtaken by a newer one is dropped.
func (holder *Holder) Take(lease Lease) {
	view := holder.keepers[lease.From.VM]
	if view == nil {
		return
	}
	if view.process != lease.From {
		if lease.From.Incarnation < view.process.Incarnation {
			return
		}
		view.process, view.applied, view.answered = lease.From, 0, 0
		view.valid = time.Time{}
	}
	if lease.Sequence <= view.applied {
		return
	}
	view.applied = lease.Sequence
	view.contended, view.threshold, view.time = lease.Contended, lease.Threshold, lease.Time
	if lease.Answers > view.answered && lease.Answers <= view.sequence {
		view.answered = lease.Answers
		if view.sequence-lease.Answers < uint32(len(view.sentAt)) {
			view.valid = view.sentAt[lease.Answers%uint32(len(view.sentAt))].Add(LeaseLife)
		}
	}
	named := make(map[berylspoke.TargetID]bool, len(lease.Grants))
	for _, grant := range lease.Grants {
		named[grant.Target] = true
		held := view.targets[grant.Target]
		if held == nil {
			held = new(holding)
			view.targets[grant.Target] = held
		}
		if grant.Slots < held.held {
			// A recall waits for this confirmation before others get the slot.
			view.dirty = true
		}
		held.held = max(grant.Slots, held.used)
	}
	for target, held := range view.targets {
		if !named[target] {
			held.held = held.used
		}
	}
}

// Place is a target together with the keeper that leased it.
type Place struct {
	Keeper berylspoke.VMID
	Target berylspoke.TargetID
}

// Free lists the places where a request of the given tag may start now, the
// ones with the most idle slots first. The life of a lease counts from the
// sending of the ask it answers: an entry that was paused wakes up with leases
// that its keeper may have given to others, and must find them expired.
//
// Under contention a slot is only for tags within the keeper's threshold.
// Several keepers see the same low tag and each grants it a slot; without this
// check an organisation that lags by one request would start one for each
// keeper.
func (holder *Holder) Free(now time.Time, tag berylspoke.Tag) []Place {
	type candidate struct {
		place Place
		idle  int
	}
	var candidates []candidate
	for vm, view := range holder.keepers {
		if now.After(view.valid) || !view.admits(tag) {
			continue
		}
		for target, held := range view.targets {
			if held.held > held.used {
				candidates = append(candidates, candidate{Place{vm, target}, held.held - held.used})
			}
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		left, right := candidates[i], candidates[j]
		return left.idle > right.idle || left.idle == right.idle && left.place.Target < right.place.Target
	})
	places := make([]Place, len(candidates))
	for i, candidate := range candidates {
		places[i] = candidate.place
	}
	return places
}

// admits says whether a request of the tag may use this keeper's slots.
func (view *keeperView) admits(tag berylspoke.Tag) bool {
	return !view.contended || tag+view.margin <= view.threshold
}

// Start uses a slot for a request of the given tag.
func (holder *Holder) Start(now time.Time, place Place, tag berylspoke.Tag) {
	view := holder.keepers[place.Keeper]
	view.targets[place.Target].used++
	view.granted = now
	view.started = max(view.started, tag)
	holder.active = now
}

// Finish ends the use of a slot. The slot is kept if nobody is waiting
// elsewhere or if the next request here, of tag next, is within the threshold;
// otherwise it goes back at once.
func (holder *Holder) Finish(now time.Time, place Place, next berylspoke.Tag, waiting bool) {
	holder.active = now
	view, held := holder.find(place)
	if held == nil {
		return
	}
	held.used--
	if held.held <= held.used {
		return
	}
	if now.After(view.valid) || view.contended && !(waiting && view.admits(next)) {
		held.held = held.used
		view.dirty = true
		holder.uses.Returned++
		return
	}
	holder.uses.Reused++
}

// find returns the slots of a place, which another keeper may have taken over
// since the request started.
func (holder *Holder) find(place Place) (*keeperView, *holding) {
	if view := holder.keepers[place.Keeper]; view != nil && view.targets[place.Target] != nil {
		return view, view.targets[place.Target]
	}
	for _, view := range holder.keepers {
		if held := view.targets[place.Target]; held != nil {
			return view, held
		}
	}
	return nil, nil
}

// Move tells the new keeper of a target what still runs there: a keeper that
// took the target over starts empty and would otherwise lease those slots again.
func (holder *Holder) Move(target berylspoke.TargetID, to berylspoke.VMID) {
	for vm, view := range holder.keepers {
		held := view.targets[target]
		if vm == to || held == nil {
			continue
		}
		delete(view.targets, target)
		view.dirty = true
		if held.used == 0 || to == "" {
			continue
		}
		next := holder.keeper(to)
		if there := next.targets[target]; there != nil {
			held.used += there.used
		}
		held.held = held.used
		next.targets[target] = held
		next.dirty = true
	}
}

// Pace notes the time between tokens seen on a target.
func (holder *Holder) Pace(place Place, pace time.Duration) {
	_, held := holder.find(place)
	if held == nil || pace <= 0 {
		return
	}
	if held.pace == 0 {
		held.pace = pace
	}
	held.pace += (pace - held.pace) / 8
}

// Release gives back idle slots of contended keepers that the next request
// here, of tag next, may not use.
func (holder *Holder) Release(next berylspoke.Tag, waiting bool) {
	for _, view := range holder.keepers {
		if !view.contended || waiting && view.admits(next) {
			continue
		}
		for _, held := range view.targets {
			if held.held > held.used {
				holder.uses.Refused += uint64(held.held - held.used)
				held.held = held.used
				view.dirty = true
			}
		}
	}
}

// Drop forgets a keeper that died; requests running on its targets go on and
// are told to the next keeper of the target.
func (holder *Holder) Drop(vm berylspoke.VMID) {
	if view := holder.keepers[vm]; view != nil {
		view.valid = time.Time{}
		view.applied, view.answered = 0, 0
		view.process = berylspoke.Process{}
	}
}

// Time returns the virtual time of the pool, the lowest among the given keepers
// whose lease is valid, and whether there is one. Without a valid lease the time
// known may be old.
func (holder *Holder) Time(now time.Time, keepers []berylspoke.VMID) (berylspoke.Tag, bool) {
	lowest, found := berylspoke.Tag(0), false
	for _, vm := range keepers {
		view := holder.keepers[vm]
		if view == nil || now.After(view.valid) || view.time == 0 {
			continue
		}
		if time := max(view.time, view.started); !found || time < lowest {
			lowest, found = time, true
		}
	}
	return lowest, found
}

// Need is what an entry wants of its keepers at one moment.
type Need struct {
	Waiting int
	Tags    []berylspoke.Tag
	Time    berylspoke.Tag
}

// Asked are the keepers that an entry asks for slots. Remote ones stand in
// another region, and their slots are only for requests whose tags are lower by
// the margin than those that wait there.
type Asked struct {
	Local, Remote []berylspoke.VMID
	Margin        berylspoke.Tag
}

// Asks returns the asks due to the keepers; keepers not listed are told to expect
// nothing, and asked no more.
func (holder *Holder) Asks(now time.Time, asked Asked, need Need) []AddressedAsk {
	wanted := make(map[berylspoke.VMID]bool, len(asked.Local)+len(asked.Remote))
	for _, vm := range asked.Local {
		wanted[vm] = true
		holder.keeper(vm).margin = 0
	}
	for _, vm := range asked.Remote {
		wanted[vm] = true
		holder.keeper(vm).margin = asked.Margin
	}
	var asks []AddressedAsk
	for _, vm := range holder.ordered() {
		view := holder.keepers[vm]
		mine := need
		if !wanted[vm] {
			mine = Need{Time: need.Time}
			view.retire()
			if view.used() == 0 && now.Sub(view.lastSent) > forgetAfter {
				delete(holder.keepers, vm)
				continue
			}
		}
		if due, urgent := holder.due(now, view, mine); due {
			asks = append(asks, AddressedAsk{vm, urgent, holder.ask(now, view, mine)})
		}
	}
	return asks
}

// forgetAfter is the time after which no lease of a keeper can arrive any more.
const forgetAfter = 2 * LeaseLife

// retire gives back what a keeper that is asked no more has granted. Forgetting
// the keeper without a word would leave its slots idle until it takes the entry
// for dead; a lease that was on its way is given back in the same manner.
func (view *keeperView) retire() {
	if view.told > 0 {
		view.dirty = true
	}
	for _, held := range view.targets {
		if held.held > held.used {
			held.held = held.used
			view.dirty = true
		}
	}
}

func (holder *Holder) ordered() []berylspoke.VMID {
	vms := make([]berylspoke.VMID, 0, len(holder.keepers))
	for vm := range holder.keepers {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i] < vms[j] })
	return vms
}

// AddressedAsk is an ask and the VM of the keeper it is for; one that only renews
// is not urgent.
type AddressedAsk struct {
	To     berylspoke.VMID
	Urgent bool
	Ask    Ask
}

func (view *keeperView) used() int {
	used := 0
	for _, held := range view.targets {
		used += held.used
	}
	return used
}

func (view *keeperView) idle() int {
	idle := 0
	for _, held := range view.targets {
		idle += held.held - held.used
	}
	return idle
}

// due says whether a keeper must hear from this entry now.
func (holder *Holder) due(now time.Time, view *keeperView, need Need) (due, urgent bool) {
	silent := now.Sub(view.lastSent)
	if view.dirty {
		return true, true
	}
	if need.Waiting > 0 {
		grew := need.Waiting > view.told && view.told < askTags
		overtook := len(need.Tags) > 0 && need.Tags[0]+view.margin < view.toldHead && silent >= overtakeAfter
		return grew || overtook || silent >= retellAfter, grew || overtook
	}
	if view.used() == 0 && (view.idle() == 0 || now.Sub(holder.active) > activeFor) {
		return false, false
	}
	short := view.idle() == 0 && !view.contended && silent >= repeatAfter && now.Sub(holder.active) < time.Second
	return short || silent >= refreshAfter, short
}

func (holder *Holder) ask(now time.Time, view *keeperView, need Need) Ask {
	view.sequence++
	view.sentAt[view.sequence%uint32(len(view.sentAt))] = now
	view.lastSent = now
	view.dirty = false
	view.told = need.Waiting
	view.toldHead = 0
	ask := Ask{
		From: holder.self, Service: holder.service,
		Sequence: view.sequence, Applied: view.applied,
		Waiting: need.Waiting, Time: need.Time, Started: view.started,
	}
	for _, tag := range need.Tags {
		ask.Tags = append(ask.Tags, tag+view.margin)
	}
	if len(ask.Tags) > 0 {
		view.toldHead = ask.Tags[0]
	}
	for target, held := range view.targets {
		if held.held == 0 && held.used == 0 {
			delete(view.targets, target)
			continue
		}
		ask.Holds = append(ask.Holds, Hold{target, held.held, held.used, held.pace})
	}
	sort.Slice(ask.Holds, func(i, j int) bool { return ask.Holds[i].Target < ask.Holds[j].Target })
	return ask
}

// AskTags is the number of tags an ask describes.
const AskTags = askTags
