package berylserve

// This file defines the indexes that HTTP handlers read without a message to the actor.

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylpeer"
	"berylspoke/io/berylsettings"
	"berylspoke/io/beryltarget"
)

// keyIndex maps digests of keys to organisations.
type keyIndex struct {
	organisations map[[sha256.Size]byte]berylspoke.OrganisationID
}

func newKeyIndex(declarations *berylconfig.Declarations) *keyIndex {
	index := &keyIndex{organisations: make(map[[sha256.Size]byte]berylspoke.OrganisationID)}
	for id, organisation := range declarations.Organisations {
		for _, text := range organisation.KeyDigests {
			if raw, err := hex.DecodeString(text); err == nil && len(raw) == sha256.Size {
				index.organisations[[sha256.Size]byte(raw)] = id
			}
		}
	}
	return index
}

// organisation returns the organisation of a key. The lookup compares only digests, so
// its timing reveals no more about a key than its digest does.
func (index *keyIndex) organisation(key string) (berylspoke.OrganisationID, bool) {
	if key == "" {
		return "", false
	}
	id, known := index.organisations[sha256.Sum256([]byte(key))]
	return id, known
}

// equalTokens reports whether two secrets are equal, in constant time.
func equalTokens(left, right string) bool {
	a, b := sha256.Sum256([]byte(left)), sha256.Sum256([]byte(right))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// memberIndex holds the addresses of VMs and the kinds of link to them.
type memberIndex struct {
	peerAddresses map[berylspoke.VMID]string
	callAddresses map[berylspoke.VMID]string
	links         map[berylspoke.VMID]berylpeer.Link
}

func newMemberIndex(settings *berylsettings.Settings, vms []berylspoke.VM, declarations *berylconfig.Declarations) *memberIndex {
	index := &memberIndex{
		peerAddresses: make(map[berylspoke.VMID]string),
		callAddresses: make(map[berylspoke.VMID]string),
		links:         make(map[berylspoke.VMID]berylpeer.Link),
	}
	for _, vm := range vms {
		index.peerAddresses[vm.ID] = vm.PeerAddress
		index.callAddresses[vm.ID] = vm.CallAddress
		index.links[vm.ID] = linkBetween(settings.FailureDomain, vm.FailureDomain, declarations)
	}
	return index
}

func linkBetween(left, right berylspoke.FailureDomain, declarations *berylconfig.Declarations) berylpeer.Link {
	switch {
	case left == right:
		return berylpeer.WithinDomain
	case declarations.Region(left) == declarations.Region(right):
		return berylpeer.AcrossDomains
	default:
		return berylpeer.AcrossRegions
	}
}

var (
	_ berylpeer.Locator   = (*Daemon)(nil)
	_ beryltarget.Locator = (*Daemon)(nil)
)

// PeerAddress implements berylpeer.Locator.
func (daemon *Daemon) PeerAddress(vm berylspoke.VMID) string {
	return daemon.members.Load().peerAddresses[vm]
}

// Link implements berylpeer.Locator.
func (daemon *Daemon) Link(vm berylspoke.VMID) berylpeer.Link {
	return daemon.members.Load().links[vm]
}

// Address implements beryltarget.Locator.
func (daemon *Daemon) Address(target berylspoke.TargetID) string {
	return daemon.Declarations().Targets[target].Address
}

// targetLink returns the kind of link to a target.
func (daemon *Daemon) targetLink(target berylspoke.TargetID) berylpeer.Link {
	declarations := daemon.Declarations()
	return linkBetween(daemon.settings.FailureDomain, declarations.Targets[target].FailureDomain, declarations)
}
