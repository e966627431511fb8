package berylgate

// This file defines how few requests a cold target gets.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylmember"
	"berylspoke/core/berylroute"
)

const (
	// coldSteady is the part of the rate that a cold target bears which its daemons use
	// steadily; the rest is for the one request that each may send at once.
	coldSteady = 0.7
	// coldDaemons bounds the daemons that send to one cold target.
	coldDaemons = 4
)

// SetVMs tells where the live daemons stand. It decides which of them send to a cold
// target: the rate that it bears holds over all daemons, and shared by all of a large
// fleet it would be less than one request each.
func (gate *Gate) SetVMs(now time.Time, domains map[berylspoke.VMID]berylspoke.FailureDomain) {
	gate.domains = domains
	for _, target := range gate.sorted {
		target.cold.budget = gate.coldBudget(now, target)
	}
}

// coldness is what a daemon knows of a target that is cold.
type coldness struct {
	until time.Time
	// budget bounds what this daemon sends meanwhile, nil if it sends nothing.
	budget *berylroute.Budget
}

// heardCold takes how much longer a target says that it is cold.
func (gate *Gate) heardCold(now time.Time, target *target, before time.Duration) {
	if target.ColdFor == before {
		return
	}
	gate.chill(now, target, now.Add(target.ColdFor))
}

// maybeRestarted takes a target that could not be reached for cold: once it is back, its
// own word of that is on its way.
func (gate *Gate) maybeRestarted(now time.Time, target *target) {
	pool := gate.services[target.Service]
	if pool == nil || pool.declared.ColdFor == 0 {
		return
	}
	gate.chill(now, target, now.Add(pauseMost+pool.declared.ColdFor))
}

// chill takes a target for cold until a time.
func (gate *Gate) chill(now time.Time, target *target, until time.Time) {
	if !now.Before(target.cold.until) {
		target.cold.budget = gate.coldBudget(now, target)
	}
	target.cold.until = until
}

// coldBudget returns what this daemon may send to a target while it is cold. It starts
// empty, so that news of the fleet give no second burst.
func (gate *Gate) coldBudget(now time.Time, target *target) *berylroute.Budget {
	pool := gate.services[target.Service]
	if pool == nil || pool.declared.ColdPerSecond <= 0 {
		return nil
	}
	rate := pool.declared.ColdPerSecond
	count := min(max(int((1-coldSteady)*rate), 1), coldDaemons)
	chosen := berylmember.Ranked("cold "+string(target.ID), gate.nearVMs(target), count)
	for _, vm := range chosen {
		if vm == gate.options.VM {
			budget := berylroute.NewBudget(now, coldSteady*rate/float64(len(chosen)), 1)
			budget.Charge(now, 1)
			return budget
		}
	}
	return nil
}

// nearVMs returns the daemons in a target's failure domain, else in its region, else all.
func (gate *Gate) nearVMs(target *target) []berylspoke.VMID {
	var found [scopes][]berylspoke.VMID
	for vm, domain := range gate.domains {
		for scope := gate.distance(domain, target.FailureDomain); scope < scopes; scope++ {
			found[scope] = append(found[scope], vm)
		}
	}
	for _, vms := range found {
		if len(vms) > 0 {
			return vms
		}
	}
	return []berylspoke.VMID{gate.options.VM}
}

// bears says whether a target that may be cold bears one more request of this daemon.
func (target *target) bears(now time.Time) bool {
	if !now.Before(target.cold.until) {
		return true
	}
	return target.cold.budget != nil && target.cold.budget.Left(now) >= 1
}

// sendCold counts a request that is sent.
func (target *target) sendCold(now time.Time) {
	if now.Before(target.cold.until) && target.cold.budget != nil {
		target.cold.budget.Charge(now, 1)
	}
}
