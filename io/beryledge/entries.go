package beryledge

// This file defines which addresses resolve answers give to callers.

import (
	"maps"
	"slices"
	"time"

	"berylspoke"
	"berylspoke/core/berylmember"
	"berylspoke/core/berylstop"
)

// entries are the addresses of the daemons that accept callers' requests by failure
// domain, and all live daemons with their failure domains.
type entries struct {
	byDomain map[berylspoke.FailureDomain][]string
	domains  map[berylspoke.VMID]berylspoke.FailureDomain
	live     []berylspoke.VMID
	// until is when the only daemon that is named has stopped accepting most requests, zero if it does
	// not leave.
	until time.Time
}

// maxAddresses bounds the addresses in one answer.
const maxAddresses = 64

func newEntries(now time.Time, table *berylmember.Table) *entries {
	entries := &entries{
		byDomain: make(map[berylspoke.FailureDomain][]string),
		domains:  make(map[berylspoke.VMID]berylspoke.FailureDomain),
		live:     slices.Clone(table.Live()),
	}
	smallest := minCapacity(table)
	for _, vm := range table.Live() {
		member := table.Member(vm)
		domain := member.VM.FailureDomain
		entries.domains[vm] = domain
		if member.VM.CallAddress == "" {
			continue
		}
		for range addressWeight(member.Rumour.Attributes.Capacity, smallest) {
			entries.byDomain[domain] = append(entries.byDomain[domain], member.VM.CallAddress)
		}
	}
	if len(entries.byDomain) == 0 {
		entries.nameLeaving(now, table)
	}
	return entries
}

// nameLeaving names the daemon that began to leave last as long as it accepts most requests. Callers that
// are told none after that keep its address, and ask again until another daemon has started.
func (entries *entries) nameLeaving(now time.Time, table *berylmember.Table) {
	last := lastLeaving(table)
	if last == nil {
		return
	}
	until := last.LeavingSince.Add(berylstop.NoticePeriod)
	if now.After(until) {
		return
	}
	entries.until = until
	entries.byDomain[last.VM.FailureDomain] = []string{last.VM.CallAddress}
}

// outdated reports whether the daemon that is named must be no longer.
func (entries *entries) outdated(now time.Time) bool {
	return !entries.until.IsZero() && now.After(entries.until)
}

// lastLeaving returns the daemon that began to leave last, nil if none does. While no other accepts
// callers' requests, it does so for the longest time.
func lastLeaving(table *berylmember.Table) *berylmember.Member {
	var last *berylmember.Member
	for _, member := range table.Members() {
		leaving := !member.LeavingSince.IsZero() && member.Rumour.Status != berylmember.Dead && member.VM.CallAddress != ""
		if leaving && (last == nil || member.LeavingSince.After(last.LeavingSince)) {
			last = member
		}
	}
	return last
}

// maxWeight bounds how often one address is listed.
const maxWeight = 5

// addressWeight returns how often an address is listed: callers pick one at random, and
// should pick a VM with four times the processor time of another four times as often.
func addressWeight(capacity, smallest uint16) int {
	if smallest == 0 || capacity == 0 {
		return 1
	}
	return min(max(int(float64(capacity)/float64(smallest)+0.5), 1), maxWeight)
}

// minCapacity returns the processor time of the smallest VM.
func minCapacity(table *berylmember.Table) uint16 {
	var smallest uint16
	for _, vm := range table.Live() {
		if capacity := table.Member(vm).Rumour.Attributes.Capacity; capacity > 0 && (smallest == 0 || capacity < smallest) {
			smallest = capacity
		}
	}
	return smallest
}

// EntryAddresses returns the addresses for a caller in a failure domain: those of the same
// domain, else those of its region, else all. Traffic between domains is billed, and
// callers stop using an address that fails.
func (daemon *Daemon) EntryAddresses(domain berylspoke.FailureDomain) []string {
	entries := daemon.entries.Load()
	if sameDomain := entries.byDomain[domain]; len(sameDomain) > 0 {
		return limit(sameDomain)
	}
	region := daemon.settings.RegionOf[domain]
	var sameRegion, all []string
	for other, addresses := range entries.byDomain {
		all = append(all, addresses...)
		if daemon.settings.RegionOf[other] == region {
			sameRegion = append(sameRegion, addresses...)
		}
	}
	if len(sameRegion) > 0 {
		return limit(sameRegion)
	}
	return limit(all)
}

func limit(addresses []string) []string { return addresses[:min(len(addresses), maxAddresses)] }

// count returns the number of addresses of all domains, each counted as often as it is
// listed.
func (entries *entries) count() int {
	count := 0
	for _, addresses := range entries.byDomain {
		count += len(addresses)
	}
	return count
}

func (old *entries) equal(fresh *entries) bool {
	return old.until.Equal(fresh.until) && maps.Equal(old.domains, fresh.domains) &&
		maps.EqualFunc(old.byDomain, fresh.byDomain, slices.Equal[[]string])
}
