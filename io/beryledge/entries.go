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
	least := leastCapacity(table)
	for _, vm := range table.Live() {
		member := table.Member(vm)
		domain := member.VM.FailureDomain
		entries.domains[vm] = domain
		if member.VM.CallAddress == "" {
			continue
		}
		for range weight(member.Rumour.Place.Capacity, least) {
			entries.byDomain[domain] = append(entries.byDomain[domain], member.VM.CallAddress)
		}
	}
	return entries
}

// maxWeight bounds how often one address is told.
const maxWeight = 5

// weight returns how often an address is told: callers pick one at random, and
// a VM with four times the processor time of another is to be picked four times
// as often.
func weight(capacity, least uint16) int {
	if least == 0 || capacity == 0 {
		return 1
	}
	return min(max(int(float64(capacity)/float64(least)+0.5), 1), maxWeight)
}

// leastCapacity returns the processor time of the smallest VM.
func leastCapacity(table *berylmember.Table) uint16 {
	var least uint16
	for _, vm := range table.Live() {
		if capacity := table.Member(vm).Rumour.Place.Capacity; capacity > 0 && (least == 0 || capacity < least) {
			least = capacity
		}
	}
	return least
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

// count returns how many addresses callers are told in all, each as often as it
// is told.
func (entries *entries) count() int {
	count := 0
	for _, addresses := range entries.byDomain {
		count += len(addresses)
	}
	return count
}

func (old *entries) equal(fresh *entries) bool {
	return maps.Equal(old.domains, fresh.domains) &&
		maps.EqualFunc(old.byDomain, fresh.byDomain, slices.Equal[[]string])
}
