package berylquarantine

// This file defines which daemons hold evidence, and who tells it to those that may lack it as
// members change.

import (
	"fmt"
	"iter"
	"slices"

	"berylspoke"
	"berylspoke/core/berylmember"
)

// tellerCount is the number of daemons that tell one that has started what all daemons are told.
const tellerCount = 3

// debts says how often something is still to be sent to each of some daemons.
type debts map[berylspoke.VMID]int

// owe adds receivers that something is to be sent to.
func (owed *debts) owe(receivers []berylspoke.VMID) {
	if *owed == nil && len(receivers) > 0 {
		*owed = make(debts, len(receivers))
	}
	for _, vm := range receivers {
		(*owed)[vm] = announcements
	}
}

// pay counts one message to a receiver.
func (owed debts) pay(to berylspoke.VMID) {
	if owed[to]--; owed[to] <= 0 {
		delete(owed, to)
	}
}

// forgive drops what is due to daemons that are gone.
func (owed debts) forgive(gone []berylspoke.VMID) {
	for _, vm := range gone {
		delete(owed, vm)
	}
}

// allHold reports whether all daemons are holders of all suspects.
func (quarantine *Quarantine) allHold() bool { return len(quarantine.members) <= maxHolders }

// SetMembers sets the live daemons. Those that have started, or were no members before, may lack
// evidence: a few daemons tell each of them what all know, and new holders hear of their suspects
// from the reporters and the other holders.
func (quarantine *Quarantine) SetMembers(members, started []berylspoke.VMID) {
	started = without(started, []berylspoke.VMID{quarantine.self})
	before := quarantine.members
	if len(started) == 0 && slices.Equal(before, members) {
		return
	}
	quarantine.members = slices.Clone(members)
	added, removed := without(members, before), without(before, members)
	told := quarantine.toldBySelf(started)
	for digest, crashes := range quarantine.index {
		former := quarantine.held[digest]
		quarantine.moveHolders(digest, added, removed)
		lacking := slices.DeleteFunc(quarantine.holders(digest), func(vm berylspoke.VMID) bool {
			return slices.Contains(former, vm) && !slices.Contains(started, vm)
		})
		held := slices.Contains(former, quarantine.self)
		for _, crash := range crashes {
			counts := quarantine.counts(crash, digest)
			for suspicion := range crash.under(digest) {
				suspicion.owed.forgive(removed)
				switch {
				case suspicion.spread && counts:
					suspicion.owed.owe(told)
				case !suspicion.spread && (held || suspicion.reporter == quarantine.hash):
					suspicion.owed.owe(lacking)
				}
			}
		}
	}
	for digest, clearing := range quarantine.cleared {
		clearing.owed.forgive(removed)
		if quarantine.repeated[digest] || quarantine.allHold() && len(quarantine.index[digest]) > 0 {
			clearing.owed.owe(told)
			quarantine.cleared[digest] = clearing
		}
	}
}

// under yields the suspicions of a digest, one for each organisation.
func (crash *crash) under(digest Digest) iter.Seq[*suspicion] {
	return func(yield func(*suspicion) bool) {
		for suspect, suspicion := range crash.suspects {
			if suspect.Digest == digest && !yield(suspicion) {
				return
			}
		}
	}
}

// without returns the VMs that are not among others.
func without(vms, others []berylspoke.VMID) []berylspoke.VMID {
	excluded := make(map[berylspoke.VMID]bool, len(others))
	for _, vm := range others {
		excluded[vm] = true
	}
	return slices.DeleteFunc(slices.Clone(vms), func(vm berylspoke.VMID) bool { return excluded[vm] })
}

// toldBySelf returns those of the started daemons that this one tells what all know. Daemons that
// have started with them may lack it too.
func (quarantine *Quarantine) toldBySelf(started []berylspoke.VMID) []berylspoke.VMID {
	if quarantine.allHold() || len(started) == 0 {
		return started
	}
	tellers := without(quarantine.members, started)
	return slices.DeleteFunc(slices.Clone(started), func(vm berylspoke.VMID) bool {
		return !slices.Contains(berylmember.Ranked(fmt.Sprint("teller ", vm), tellers, tellerCount), quarantine.self)
	})
}

// moveHolders updates the holders of a suspect after the members have changed.
func (quarantine *Quarantine) moveHolders(digest Digest, added, removed []berylspoke.VMID) {
	former := quarantine.held[digest]
	lost := slices.ContainsFunc(former, func(vm berylspoke.VMID) bool { return slices.Contains(removed, vm) })
	switch {
	case quarantine.allHold() || len(former) != holderCount || lost:
		quarantine.held[digest] = quarantine.rankedHolders(digest, quarantine.members)
	case len(added) > 0:
		// Only new members can take the place of a holder.
		quarantine.held[digest] = quarantine.rankedHolders(digest, slices.Concat(former, added))
	}
}

func (quarantine *Quarantine) rankedHolders(digest Digest, candidates []berylspoke.VMID) []berylspoke.VMID {
	if quarantine.allHold() {
		return candidates
	}
	return berylmember.Ranked(fmt.Sprint("suspect ", uint64(digest)), candidates, holderCount)
}

// holders returns the other daemons that are told of every crash under a suspect.
func (quarantine *Quarantine) holders(digest Digest) []berylspoke.VMID {
	return without(quarantine.held[digest], []berylspoke.VMID{quarantine.self})
}
