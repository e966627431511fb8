package berylgate

// This file defines how heavy usage at one daemon is told to a large fleet.

import (
	"cmp"
	"slices"
	"time"

	"berylspoke"
)

const (
	// heavyFor is how long heavy usage counts after its daemon told it: four
	// reports on the way, and one that was lost.
	heavyFor = 5 * usageEvery
	// heavyMost bounds what one report tells on.
	heavyMost = 24
)

// place names one organisation at one daemon.
type place struct{ origin, organisation uint32 }

// heavyUsage is the last word on one place, when it was true and when it was
// learnt here.
type heavyUsage struct {
	asked, given uint32
	at, learnt   time.Time
}

// heavyUsages are the places of heavy usage. A sample of daemons says nothing of
// an organisation whose callers all come to one that is not in it, so these few
// are passed on from daemon to daemon.
type heavyUsages map[place]heavyUsage

// learn takes what a peer told of itself and of others.
func (usages heavyUsages) learn(now time.Time, from berylspoke.VMID, self uint32, least float64, items []OrganisationReport) {
	for _, item := range items {
		if item.Origin == 0 {
			item.Origin = hashOf(string(from))
		}
		at := now.Add(-item.Age)
		key := place{item.Origin, item.Organisation}
		if item.Origin == self || !at.After(usages[key].at) {
			continue
		}
		if float64(item.Asked) < least {
			delete(usages, key)
			continue
		}
		usages[key] = heavyUsage{item.Asked, item.Given, at, now}
	}
}

// newest returns the heaviest usages that are still true and were learnt after
// some time.
func (usages heavyUsages) newest(now, after time.Time) []OrganisationReport {
	var list []OrganisationReport
	for key, usage := range usages {
		age := now.Sub(usage.at)
		if age > heavyFor {
			delete(usages, key)
			continue
		}
		if !usage.learnt.After(after) {
			continue
		}
		list = append(list, OrganisationReport{
			Origin: key.origin, Organisation: key.organisation, Asked: usage.asked, Given: usage.given, Age: age,
		})
	}
	slices.SortFunc(list, func(one, other OrganisationReport) int {
		return cmp.Or(cmp.Compare(other.Asked, one.Asked), cmp.Compare(one.Origin, other.Origin), cmp.Compare(one.Organisation, other.Organisation))
	})
	return list[:min(len(list), heavyMost)]
}
