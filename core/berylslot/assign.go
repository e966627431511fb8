package berylslot

// This file defines how a keeper assigns slots to the lowest tags.

import (
	"sort"
	"time"

	"berylspoke"
)

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
