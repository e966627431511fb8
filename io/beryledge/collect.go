package beryledge

// This file defines how a large fleet sums up the usage of organisations.

import (
	"cmp"
	"slices"
	"time"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylmember"
)

// collectorsEach is the number of collectors of a failure domain. All sum it up,
// but only the first tells the sums: once it is believed dead, the next one has
// all it needs. Until then others go by sums that grow stale.
const collectorsEach = 2

// collectorsOf returns the daemons that sum up a failure domain: those with the
// most processor time, as they send a message to each daemon of it.
func collectorsOf(table *berylmember.Table, domain berylspoke.FailureDomain) []berylspoke.VMID {
	members := membersOf(table, domain)
	slices.SortFunc(members, func(one, other berylspoke.VMID) int {
		left, right := table.Member(one).Rumour.Place.Capacity, table.Member(other).Rumour.Place.Capacity
		return cmp.Or(cmp.Compare(right, left), cmp.Compare(one, other))
	})
	return members[:min(len(members), collectorsEach)]
}

// membersOf returns the live daemons of a failure domain.
func membersOf(table *berylmember.Table, domain berylspoke.FailureDomain) []berylspoke.VMID {
	var members []berylspoke.VMID
	for _, vm := range table.Live() {
		if table.Member(vm).VM.FailureDomain == domain {
			members = append(members, vm)
		}
	}
	return members
}

// tellUsage tells what is due: each daemon its own usage to the collectors of its
// failure domain, a collector its domain's to those of the others and the
// fleet's to the daemons of its own. A daemon sends two messages at a time, the
// first collector one to each daemon of its domain and two to each other domain.
func (core *core) tellUsage(now time.Time) {
	self, here := core.daemon.settings.VM, core.daemon.settings.FailureDomain
	near := collectorsOf(core.table, here)
	reports := core.gate.UsageReports(now, slices.Contains(near, self))
	core.sendUsage(near, reports.ToCollectors)
	if reports.ToDomains == nil || near[0] != self {
		return
	}
	core.sendUsage(membersOf(core.table, here), reports.ToMembers)
	for domain := range core.daemon.settings.RegionOf {
		if domain != here {
			core.sendUsage(collectorsOf(core.table, domain), reports.ToDomains)
		}
	}
}

func (core *core) sendUsage(to []berylspoke.VMID, usage *berylgate.Usage) {
	if usage == nil {
		return
	}
	for _, vm := range to {
		if vm != core.daemon.settings.VM {
			core.daemon.transport.Send(vm, *usage)
		}
	}
}
