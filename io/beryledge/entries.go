package beryledge

// This file defines which addresses callers are told to use.

import (
	"maps"
	"slices"

	"berylspoke"
	"berylspoke/core/berylmember"
)

// entries are the daemons that take callers' requests, by where they stand.
type entries struct {
	byDomain map[berylspoke.FailureDomain][]string
	domains  map[berylspoke.VMID]berylspoke.FailureDomain
}

// maxEntries bounds the addresses in one answer.
const maxEntries = 64

func newEntries(table *berylmember.Table) *entries {
	entries := &entries{
		byDomain: make(map[berylspoke.FailureDomain][]string),
		domains:  make(map[berylspoke.VMID]berylspoke.FailureDomain),
	}
	for _, vm := range table.Live() {
		member := table.Member(vm)
		entries.domains[vm] = member.VM.FailureDomain
		if member.VM.CallAddress != "" {
			domain := member.VM.FailureDomain
			entries.byDomain[domain] = append(entries.byDomain[domain], member.VM.CallAddress)
		}
	}
	return entries
}

// Entries returns the addresses for a caller that stands in a failure domain:
// those of the same domain, else of its region, else all. Traffic between
// domains is paid, and callers drop an address that fails them by themselves.
func (daemon *Daemon) Entries(domain berylspoke.FailureDomain) []string {
	entries := daemon.entries.Load()
	if same := entries.byDomain[domain]; len(same) > 0 {
		return clip(same)
	}
	region := daemon.settings.RegionOf[domain]
	var near, all []string
	for other, addresses := range entries.byDomain {
		all = append(all, addresses...)
		if daemon.settings.RegionOf[other] == region {
			near = append(near, addresses...)
		}
	}
	if len(near) > 0 {
		return clip(near)
	}
	return clip(all)
}

func clip(addresses []string) []string { return addresses[:min(len(addresses), maxEntries)] }

func (old *entries) equal(fresh *entries) bool {
	return maps.Equal(old.domains, fresh.domains) &&
		maps.EqualFunc(old.byDomain, fresh.byDomain, slices.Equal[[]string])
}
