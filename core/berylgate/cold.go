package berylgate

// This file limits the rate of requests to cold targets, those that started recently.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylmember"
	"berylspoke/core/berylroute"
)

const (
	// coldSustainedShare is the fraction of a cold target's rate at which the budgets
	// of its senders refill. The rest allows each sender a burst of one request.
	coldSustainedShare = 0.7
	// maxColdSenders is the maximum number of daemons that send to one cold target.
	maxColdSenders = 4
)

// SetVMs sets the failure domains of the live daemons. They determine the few daemons
// that send to a cold target: its rate bounds all daemons together and, divided between
// all daemons of a large fleet, would be less than one request each.
func (gate *Gate) SetVMs(now time.Time, domains map[berylspoke.VMID]berylspoke.FailureDomain) {
	gate.domains = domains
	gate.domainsVersion++
	clear(gate.nearby)
	gate.silences.update(func(target *target) bool {
		if target.silent(now) {
			gate.chooseTrial(target)
		}
		return true
	})
}

// coldState is what a daemon knows of a cold target.
type coldState struct {
	until time.Time
	// budget bounds what this daemon sends until then, nil if it sends nothing.
	budget *berylroute.Budget
	// domainsVersion is that of the gate when the budget was made.
	domainsVersion uint64
}

// updateCold applies a change of the cold time that a target reports.
func (gate *Gate) updateCold(now time.Time, target *target, previous time.Duration) {
	if target.ColdFor == previous {
		return
	}
	gate.markCold(now, target, now.Add(target.ColdFor))
}

// markUnreachableCold marks a target cold after it could not be reached. It may be
// restarting, and it can be reached again before its own report of being cold arrives.
func (gate *Gate) markUnreachableCold(now time.Time, target *target) {
	pool := gate.pools[target.Service]
	if pool == nil || pool.service.ColdFor == 0 {
		return
	}
	gate.markCold(now, target, now.Add(maxPause+pool.service.ColdFor))
}

// markCold marks a target cold until the given time.
func (gate *Gate) markCold(now time.Time, target *target, until time.Time) {
	if !now.Before(target.cold.until) {
		gate.renewColdBudget(now, target)
	}
	target.cold.until = until
}

// renewColdBudget makes a new budget for a target. It starts empty, so that a change of the
// members does not allow another burst.
func (gate *Gate) renewColdBudget(now time.Time, target *target) {
	target.cold.budget, target.cold.domainsVersion = gate.coldBudget(now, target), gate.domainsVersion
}

// coldBudget returns the budget of this daemon for a target while it is cold.
func (gate *Gate) coldBudget(now time.Time, target *target) *berylroute.Budget {
	pool := gate.pools[target.Service]
	if pool == nil || pool.service.ColdRequestsPerSecond <= 0 {
		return nil
	}
	rate := pool.service.ColdRequestsPerSecond
	count := min(max(int((1-coldSustainedShare)*rate), 1), maxColdSenders)
	chosen := berylmember.Ranked("cold "+string(target.ID), gate.nearestVMs(target), count)
	for _, vm := range chosen {
		if vm == gate.options.VM {
			budget := berylroute.NewBudget(now, coldSustainedShare*rate/float64(len(chosen)), 1)
			budget.Charge(now, 1)
			return budget
		}
	}
	return nil
}

// nearestVMs returns the live daemons in a target's failure domain, in its region if
// there are none, or else all.
func (gate *Gate) nearestVMs(target *target) []berylspoke.VMID {
	if known, found := gate.nearby[target.FailureDomain]; found {
		return known
	}
	var found [scopeCount][]berylspoke.VMID
	for vm, domain := range gate.domains {
		for scope := gate.scopeBetween(domain, target.FailureDomain); scope < scopeCount; scope++ {
			found[scope] = append(found[scope], vm)
		}
	}
	nearest := []berylspoke.VMID{gate.options.VM}
	for _, vms := range found {
		if len(vms) > 0 {
			nearest = vms
			break
		}
	}
	gate.nearby[target.FailureDomain] = nearest
	return nearest
}

// withinColdBudget reports whether this daemon may send another request to a target that
// may be cold.
func (gate *Gate) withinColdBudget(now time.Time, target *target) bool {
	if !now.Before(target.cold.until) {
		return true
	}
	if target.cold.domainsVersion != gate.domainsVersion {
		gate.renewColdBudget(now, target)
	}
	return target.cold.budget != nil && target.cold.budget.Remaining(now) >= 1
}

// chargeCold charges a sent request to the budget of a cold target.
func (gate *Gate) chargeCold(now time.Time, target *target) {
	if now.Before(target.cold.until) && target.cold.budget != nil {
		target.cold.budget.Charge(now, 1)
	}
}
