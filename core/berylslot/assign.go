package berylslot

// This file defines how a lessor assigns slots to the lowest tags.

import (
	"sort"
	"time"

	"berylspoke"
)

// Assign grants free slots and returns the leases to send.
func (lessor *Lessor) Assign(now time.Time) []AddressedLease {
	for vm, holder := range lessor.holders {
		if now.Sub(holder.lastReceived) > lessor.options.HolderTimeout {
			delete(lessor.holders, vm)
		}
	}
	free := lessor.free(now)
	unmet := lessor.grantWaiting(free)
	contended := unmet > 0
	if contended {
		lessor.lastUnmet = now
		lessor.recall()
	} else {
		lessor.grantSpare(free)
	}
	return lessor.leases(now, contended)
}

// free returns the free slots of each target. A lessor that has just taken a target over
// has not yet received the demand of every entry daemon that runs requests there, so it
// grants only half the limit for takeoverPeriod.
func (lessor *Lessor) free(now time.Time) map[berylspoke.TargetID]int {
	free := make(map[berylspoke.TargetID]int, len(lessor.limiters))
	for target, limiter := range lessor.limiters {
		out := lessor.outstanding(target)
		limiter.RecordUse(now, out)
		limit := limiter.Limit()
		if now.Sub(lessor.takenOver) < takeoverPeriod {
			limit /= 2
		}
		free[target] = limit - out
	}
	return free
}

// unmetWindow is how long an unmet request counts as a backlog; it spans a few load
// reports.
const unmetWindow = 5 * time.Second

// takeoverPeriod is the time, one round of heartbeats, within which every entry daemon
// that holds slots has sent its demand to a new lessor.
const takeoverPeriod = time.Second

// sortedHolders returns the holders by VM, so that a run is reproducible.
func (lessor *Lessor) sortedHolders() []*holderState {
	holders := make([]*holderState, 0, len(lessor.holders))
	for _, holder := range lessor.holders {
		holders = append(holders, holder)
	}
	sort.Slice(holders, func(i, j int) bool { return holders[i].process.VM < holders[j].process.VM })
	return holders
}

// grantWaiting grants free slots to the lowest tags and returns the number of waiting
// requests that got none.
func (lessor *Lessor) grantWaiting(free map[berylspoke.TargetID]int) int {
	holders := lessor.sortedHolders()
	met := make([]int, len(holders))
	unmet := 0
	for i, holder := range holders {
		met[i] = min(holder.idle(), holder.waiting)
		unmet += holder.waiting - met[i]
	}
	for unmet > 0 {
		target, ok := mostFree(free)
		if !ok {
			break
		}
		next := lessor.next(holders, met)
		slots := holders[next].slotsOn(target)
		slots.granted++
		slots.peak = max(slots.peak, slots.granted)
		holders[next].markChanged()
		met[next]++
		free[target]--
		unmet--
	}
	return unmet
}

// next returns the holder whose next unmet request has the lowest tag; with IgnoreTags it
// takes the holders in turn.
func (lessor *Lessor) next(holders []*holderState, met []int) int {
	best := -1
	lessor.rotation++
	for i := range holders {
		at := i
		if lessor.options.IgnoreTags {
			at = (i + lessor.rotation) % len(holders)
		}
		if met[at] >= holders[at].waiting {
			continue
		}
		if best < 0 || !lessor.options.IgnoreTags && holders[at].tag(met[at]) < holders[best].tag(met[best]) {
			best = at
		}
	}
	return best
}

// mostFree returns the target with the most free slots.
func mostFree(free map[berylspoke.TargetID]int) (berylspoke.TargetID, bool) {
	var best berylspoke.TargetID
	for target, count := range free {
		if count > 0 && (best == "" || count > free[best] || count == free[best] && target < best) {
			best = target
		}
	}
	return best, best != ""
}

// recall takes back the idle slots of holders that have no waiting request for them.
func (lessor *Lessor) recall() {
	for _, holder := range lessor.holders {
		surplus := holder.idle() - holder.waiting
		for _, slots := range holder.targets {
			back := min(surplus, slots.granted-slots.used)
			if back > 0 {
				slots.granted -= back
				surplus -= back
				holder.markChanged()
			}
		}
	}
}

// grantSpare grants spare slots to holders without idle ones while no request waits.
func (lessor *Lessor) grantSpare(free map[berylspoke.TargetID]int) {
	holders := lessor.sortedHolders()
	for _, holder := range holders {
		if holder.idle() > 0 {
			continue
		}
		for count := 0; count < lessor.options.SpareSlots; count++ {
			target, ok := mostFree(free)
			if !ok || free[target] <= len(holders) {
				return
			}
			slots := holder.slotsOn(target)
			slots.granted++
			slots.peak = max(slots.peak, slots.granted)
			free[target]--
			holder.markChanged()
		}
	}
}

// AddressedLease is a lease and the VM of the entry daemon that receives it; one that
// only renews is not urgent.
type AddressedLease struct {
	To     berylspoke.VMID
	Urgent bool
	Lease  Lease
}

// leases returns the leases to send: to holders that are due one, whose contention
// changed, or whose threshold fell below the one last sent.
func (lessor *Lessor) leases(now time.Time, contended bool) []AddressedLease {
	var leases []AddressedLease
	holders := lessor.sortedHolders()
	for i, holder := range holders {
		threshold := lessor.threshold(holders, i)
		thresholdFell := contended && threshold < holder.lastLease.Threshold-lessor.options.Slack
		if !holder.dirty && contended == holder.lastLease.Contended && !thresholdFell {
			continue
		}
		lessor.sequence++
		holder.leaseSequence = lessor.sequence
		holder.dirty = false
		holder.lastSent = now
		lease := Lease{
			From: lessor.self, Service: lessor.service,
			Sequence: holder.leaseSequence, Acknowledged: holder.demandSequence,
			Contended: contended, Threshold: threshold, VirtualTime: lessor.virtualTime,
		}
		for target, slots := range holder.targets {
			lease.Grants = append(lease.Grants, Grant{target, slots.granted})
		}
		sort.Slice(lease.Grants, func(i, j int) bool { return lease.Grants[i].Target < lease.Grants[j].Target })
		urgent := holder.changed || contended != holder.lastLease.Contended || thresholdFell
		holder.changed = false
		holder.lastLease = lease
		leases = append(leases, AddressedLease{holder.process.VM, urgent, lease})
	}
	return leases
}

// threshold returns the tag up to which a holder may reuse a freed slot: the lowest unmet
// tag of the other holders, plus the slack.
func (lessor *Lessor) threshold(holders []*holderState, self int) berylspoke.Tag {
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
	return lowest + lessor.options.Slack
}

// noThreshold lets every tag reuse a slot.
const noThreshold = berylspoke.Tag(1 << 62)
