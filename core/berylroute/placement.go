package berylroute

// This file defines which daemon keeps which target and serves whom.

import (
	"math"
	"sort"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylmember"
)

// Keepers are the daemons that keep one service's targets, as one entry sees
// them.
type Keepers struct {
	// Of maps each serving target to its keeper.
	Of map[berylspoke.TargetID]berylspoke.VMID
	// Local and Remote list the keepers in and outside the entry's region in
	// the order in which this entry prefers them.
	Local, Remote []berylspoke.VMID
	// Mine lists the targets that this daemon keeps.
	Mine []berylspoke.TargetID
}

// Fleet is what placement depends on.
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

// Place computes the keepers of every service.
//
// A target is kept in its own region, so that a cut between regions leaves each
// side with keepers for all that it can reach. Without a live VM there, any VM
// keeps it.
func Place(fleet Fleet) map[berylspoke.ServiceID]*Keepers {
	placed := make(map[berylspoke.ServiceID]*Keepers, len(fleet.Declarations.Services))
	for service := range fleet.Declarations.Services {
		placed[service] = &Keepers{Of: make(map[berylspoke.TargetID]berylspoke.VMID)}
	}
	groups := fleet.regions()
	for region, targets := range fleet.targets() {
		candidates := groups[region]
		if len(candidates) == 0 {
			candidates = fleet.Live
		}
		for target, keeper := range spread(targets, candidates) {
			placed[fleet.Declarations.Targets[target].Service].Of[target] = keeper
		}
	}
	for _, keepers := range placed {
		keepers.arrange(fleet)
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

// spread gives each target to the VM of the highest score that is not full yet.
// The bound keeps the cost of the daemon with most targets near the mean; a
// plain rendezvous hash gives some daemon three times the mean.
func spread(targets []berylspoke.TargetID, vms []berylspoke.VMID) map[berylspoke.TargetID]berylspoke.VMID {
	keepers := make(map[berylspoke.TargetID]berylspoke.VMID, len(targets))
	if len(vms) == 0 {
		return keepers
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
		keepers[target] = best
	}
	return keepers
}

// spreadFactor is how far above the mean a daemon's share of targets may be.
const spreadFactor = 1.1

// arrange derives the lists of one entry from the keepers of all targets.
func (keepers *Keepers) arrange(fleet Fleet) {
	local, remote := make(map[berylspoke.VMID]bool), make(map[berylspoke.VMID]bool)
	for target, keeper := range keepers.Of {
		if keeper == fleet.Self {
			keepers.Mine = append(keepers.Mine, target)
		}
		if fleet.Declarations.Region(fleet.Declarations.Targets[target].FailureDomain) == fleet.region(fleet.Self) {
			local[keeper] = true
		} else {
			remote[keeper] = true
		}
	}
	preference := "entry " + string(fleet.Self)
	keepers.Local = berylmember.Ranked(preference, names(local), len(local))
	keepers.Remote = berylmember.Ranked(preference, names(remote), len(remote))
}

func names(set map[berylspoke.VMID]bool) []berylspoke.VMID {
	list := make([]berylspoke.VMID, 0, len(set))
	for vm := range set {
		list = append(list, vm)
	}
	return list
}

// Window returns the count keepers to ask in the given round: always the
// preferred ones but for the last place, which moves on from round to round. An
// entry with a backlog so finds free capacity that its preferred keepers lack.
func Window(keepers []berylspoke.VMID, count int, round uint64) []berylspoke.VMID {
	if len(keepers) <= count {
		return keepers
	}
	window := append([]berylspoke.VMID(nil), keepers[:count-1]...)
	rest := keepers[count-1:]
	return append(window, rest[round%uint64(len(rest))])
}

// Entries returns the VMs that an organisation's callers should use, best
// first: VMs of the resolving daemon's region, more of them for a larger share.
func Entries(fleet Fleet, organisation berylspoke.OrganisationID, share float64) []berylspoke.VMID {
	candidates := fleet.regions()[fleet.region(fleet.Self)]
	if len(candidates) == 0 {
		candidates = fleet.Live
	}
	count := max(int(share*entriesPerShare*float64(len(candidates))), leastEntries)
	return berylmember.Ranked("organisation "+string(organisation), candidates, count)
}

const (
	// leastEntries gives a caller one address to fall back on.
	leastEntries = 2
	// entriesPerShare spreads an organisation over twice its share of entries.
	entriesPerShare = 2
)

// LedgerOf returns the VM that sums an organisation's service.
func LedgerOf(organisation berylspoke.OrganisationID, live []berylspoke.VMID) berylspoke.VMID {
	return berylmember.Holder("organisation "+string(organisation), live)
}

// Preferred returns all VMs in falling score for the key.
func Preferred(key string, vms []berylspoke.VMID) []berylspoke.VMID {
	return berylmember.Ranked(key, vms, len(vms))
}
