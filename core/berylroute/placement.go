package berylroute

// This file places targets on lessors and organisations on entry daemons.

import (
	"math"
	"sort"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylmember"
)

// Lessors are the lessors of one service's targets, as one entry daemon sees them.
type Lessors struct {
	// Of maps each serving target to its lessor.
	Of map[berylspoke.TargetID]berylspoke.VMID
	// Local and Remote list the lessors inside and outside the entry daemon's region,
	// in the order in which it prefers them.
	Local, Remote []berylspoke.VMID
	// The targets whose lessor is this daemon.
	Own []berylspoke.TargetID
}

// Fleet is the input of placement.
type Fleet struct {
	Self         berylspoke.VMID
	Live         []berylspoke.VMID
	DomainOf     map[berylspoke.VMID]berylspoke.FailureDomain
	Declarations *berylconfig.Declarations
}

func (fleet Fleet) region(vm berylspoke.VMID) berylspoke.Region {
	return fleet.Declarations.Region(fleet.DomainOf[vm])
}

// regions groups the live VMs by region.
func (fleet Fleet) regions() map[berylspoke.Region][]berylspoke.VMID {
	groups := make(map[berylspoke.Region][]berylspoke.VMID)
	for _, vm := range fleet.Live {
		region := fleet.region(vm)
		groups[region] = append(groups[region], vm)
	}
	return groups
}

// Place computes the lessors of every service.
//
// The lessor of a target is in the target's region, so that a partition between regions
// leaves each side with lessors for all targets that it can reach. If no VM is live
// there, any VM may be the lessor.
func Place(fleet Fleet) map[berylspoke.ServiceID]*Lessors {
	placed := make(map[berylspoke.ServiceID]*Lessors, len(fleet.Declarations.Services))
	for service := range fleet.Declarations.Services {
		placed[service] = &Lessors{Of: make(map[berylspoke.TargetID]berylspoke.VMID)}
	}
	groups := fleet.regions()
	for region, targets := range fleet.targets() {
		candidates := groups[region]
		if len(candidates) == 0 {
			candidates = fleet.Live
		}
		for target, lessor := range spread(targets, candidates) {
			placed[fleet.Declarations.Targets[target].Service].Of[target] = lessor
		}
	}
	for _, lessors := range placed {
		lessors.arrange(fleet)
	}
	return placed
}

// targets groups the serving targets by region.
func (fleet Fleet) targets() map[berylspoke.Region][]berylspoke.TargetID {
	groups := make(map[berylspoke.Region][]berylspoke.TargetID)
	for id, target := range fleet.Declarations.Targets {
		if !target.Leaving {
			region := fleet.Declarations.Region(target.FailureDomain)
			groups[region] = append(groups[region], id)
		}
	}
	return groups
}

// spread assigns each target to the VM with the highest score that is not full yet. The
// bound keeps the cost of the daemon with the most targets near the mean; plain
// rendezvous hashing gives some daemon three times the mean.
func spread(targets []berylspoke.TargetID, vms []berylspoke.VMID) map[berylspoke.TargetID]berylspoke.VMID {
	lessors := make(map[berylspoke.TargetID]berylspoke.VMID, len(targets))
	if len(vms) == 0 {
		return lessors
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i] < targets[j] })
	bound := int(math.Ceil(spreadFactor * float64(len(targets)) / float64(len(vms))))
	load := make(map[berylspoke.VMID]int, len(vms))
	for _, target := range targets {
		var best berylspoke.VMID
		var top uint64
		for _, vm := range vms {
			if score := berylmember.Score("target "+string(target), vm); load[vm] < bound && (best == "" || score > top) {
				best, top = vm, score
			}
		}
		load[best]++
		lessors[target] = best
	}
	return lessors
}

// spreadFactor is how many times the mean a daemon's number of targets may be.
const spreadFactor = 1.1

// arrange derives the lists of one entry daemon from the lessors of all targets.
func (lessors *Lessors) arrange(fleet Fleet) {
	local, remote := make(map[berylspoke.VMID]bool), make(map[berylspoke.VMID]bool)
	for target, lessor := range lessors.Of {
		if lessor == fleet.Self {
			lessors.Own = append(lessors.Own, target)
		}
		if fleet.Declarations.Region(fleet.Declarations.Targets[target].FailureDomain) == fleet.region(fleet.Self) {
			local[lessor] = true
		} else {
			remote[lessor] = true
		}
	}
	preference := "entry " + string(fleet.Self)
	lessors.Local = berylmember.Ranked(preference, names(local), len(local))
	lessors.Remote = berylmember.Ranked(preference, names(remote), len(remote))
}

func names(set map[berylspoke.VMID]bool) []berylspoke.VMID {
	list := make([]berylspoke.VMID, 0, len(set))
	for vm := range set {
		list = append(list, vm)
	}
	return list
}

// SelectLessors returns the count lessors to request slots from in the given round: the
// preferred ones, but in the last place one of the others, which changes from round to
// round. An entry daemon with a backlog thus finds free capacity that its preferred
// lessors lack.
func SelectLessors(lessors []berylspoke.VMID, count int, round uint64) []berylspoke.VMID {
	if len(lessors) <= count {
		return lessors
	}
	window := append([]berylspoke.VMID(nil), lessors[:count-1]...)
	rest := lessors[count-1:]
	return append(window, rest[round%uint64(len(rest))])
}

// EntryVMs returns the VMs that an organisation's callers should use, best first: VMs of
// the resolving daemon's region, more of them for a larger share.
func EntryVMs(fleet Fleet, organisation berylspoke.OrganisationID, share float64) []berylspoke.VMID {
	candidates := fleet.regions()[fleet.region(fleet.Self)]
	if len(candidates) == 0 {
		candidates = fleet.Live
	}
	count := max(int(share*entriesPerShare*float64(len(candidates))), minEntries)
	return berylmember.Ranked("organisation "+string(organisation), candidates, count)
}

const (
	// minEntries gives a caller one address to fall back on.
	minEntries = 2
	// entriesPerShare spreads an organisation over twice its share of the entry daemons.
	entriesPerShare = 2
)

// LedgerOf returns the VM that sums up an organisation's service.
func LedgerOf(organisation berylspoke.OrganisationID, live []berylspoke.VMID) berylspoke.VMID {
	return berylmember.TopRanked("organisation "+string(organisation), live)
}

// RankVMs returns all VMs in falling score for the key.
func RankVMs(key string, vms []berylspoke.VMID) []berylspoke.VMID {
	return berylmember.Ranked(key, vms, len(vms))
}
