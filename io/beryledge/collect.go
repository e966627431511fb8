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

// collectorsOf returns which of the daemons of a failure domain aggregate its usage: those
// with the most processor time, as a collector sends a message to each daemon of its
// domain.
func collectorsOf(table *berylmember.Table, vms []berylspoke.VMID) []berylspoke.VMID {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(one, other berylspoke.VMID) int {
		left, right := table.Member(one).Rumour.Attributes.Capacity, table.Member(other).Rumour.Attributes.Capacity
		return cmp.Or(cmp.Compare(right, left), cmp.Compare(one, other))
	})
	return ranked[:min(len(ranked), collectorsPerDomain)]
}

// sendUsageReports sends the usage that is due: each daemon sends its own to the
// collectors of its failure domain. The first collector sends the usage of its domain to
// the collectors of the other domains, and the usage of the fleet to the daemons of its
// domain. Each time, a daemon sends two messages, and the first collector one to each
// daemon of its domain and two to each other domain.
func (core *core) sendUsageReports(now time.Time) {
	self, ownDomain := core.daemon.settings.VM, core.daemon.settings.FailureDomain
	members := core.membership()
	collectors := members.collectors[ownDomain]
	reports := core.gate.UsageReports(now, slices.Contains(collectors, self))
	core.sendUsage(collectors, reports.ToCollectors)
	if reports.ToDomains == nil || collectors[0] != self {
		return
	}
	core.sendUsage(members.byDomain[ownDomain], reports.ToMembers)
	for domain := range core.daemon.settings.RegionOf {
		if domain != ownDomain {
			core.sendUsage(members.collectors[domain], reports.ToDomains)
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
