package beryledge

// This file defines how a large fleet aggregates the usage of organisations.

import (
	"cmp"
	"slices"
	"time"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylmember"
)

// collectorsPerDomain is the number of collectors of a failure domain. All of them
// aggregate its usage, but only the first sends the sums. Once the membership lists it as
// dead, the next one takes over with its own sums; until then the other daemons use sums
// that grow stale.
const collectorsPerDomain = 2

// collectorsOf returns the daemons that aggregate the usage of a failure domain: those
// with the most processor time, as a collector sends a message to each daemon of its
// domain.
func collectorsOf(table *berylmember.Table, domain berylspoke.FailureDomain) []berylspoke.VMID {
	members := membersOf(table, domain)
	slices.SortFunc(members, func(one, other berylspoke.VMID) int {
		left, right := table.Member(one).Rumour.Attributes.Capacity, table.Member(other).Rumour.Attributes.Capacity
		return cmp.Or(cmp.Compare(right, left), cmp.Compare(one, other))
	})
	return members[:min(len(members), collectorsPerDomain)]
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

// sendUsageReports sends the usage that is due: each daemon sends its own to the
// collectors of its failure domain. The first collector sends the usage of its domain to
// the collectors of the other domains, and the usage of the fleet to the daemons of its
// domain. Each time, a daemon sends two messages, and the first collector one to each
// daemon of its domain and two to each other domain.
func (core *core) sendUsageReports(now time.Time) {
	self, ownDomain := core.daemon.settings.VM, core.daemon.settings.FailureDomain
	collectors := collectorsOf(core.table, ownDomain)
	reports := core.gate.UsageReports(now, slices.Contains(collectors, self))
	core.sendUsage(collectors, reports.ToCollectors)
	if reports.ToDomains == nil || collectors[0] != self {
		return
	}
	core.sendUsage(membersOf(core.table, ownDomain), reports.ToMembers)
	for domain := range core.daemon.settings.RegionOf {
		if domain != ownDomain {
			core.sendUsage(collectorsOf(core.table, domain), reports.ToDomains)
		}
	}
}

func (core *core) sendUsage(to []berylspoke.VMID, usage *berylgate.Usage) {
	if usage == nil {
		return
	}
	self := core.daemon.settings.VM
	others := slices.DeleteFunc(slices.Clone(to), func(vm berylspoke.VMID) bool { return vm == self })
	core.daemon.transport.Broadcast(others, []berylspoke.Message{*usage})
}
