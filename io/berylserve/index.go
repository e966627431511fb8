package berylserve

// This file defines the indexes that handlers read without the actor.

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

// keyIndex finds the organisation of a key by the key's digest.
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

// organisation returns the owner of a key. Only digests are compared, so the
// time taken tells nothing of a key that its digest would not.
func (index *keyIndex) organisation(key string) (berylspoke.OrganisationID, bool) {
	if key == "" {
		return "", false
	}
	id, known := index.organisations[sha256.Sum256([]byte(key))]
	return id, known
}

// sameToken compares secrets in constant time.
func sameToken(left, right string) bool {
	a, b := sha256.Sum256([]byte(left)), sha256.Sum256([]byte(right))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// memberIndex tells where VMs stand.
type memberIndex struct {
	addresses map[berylspoke.VMID]string
	callers   map[berylspoke.VMID]string
	links     map[berylspoke.VMID]berylpeer.Link
}

func newMemberIndex(settings *berylsettings.Settings, vms []berylspoke.VM, declarations *berylconfig.Declarations) *memberIndex {
	index := &memberIndex{
		addresses: make(map[berylspoke.VMID]string),
		callers:   make(map[berylspoke.VMID]string),
		links:     make(map[berylspoke.VMID]berylpeer.Link),
	}
	for _, vm := range vms {
		index.addresses[vm.ID] = vm.PeerAddress
		index.callers[vm.ID] = vm.CallAddress
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
	_ berylpeer.Locator     = (*Daemon)(nil)
	_ beryltarget.Addresses = (*Daemon)(nil)
)

// PeerAddress implements berylpeer.Locator.
func (daemon *Daemon) PeerAddress(vm berylspoke.VMID) string {
	return daemon.members.Load().addresses[vm]
}

// Link implements berylpeer.Locator.
func (daemon *Daemon) Link(vm berylspoke.VMID) berylpeer.Link {
	return daemon.members.Load().links[vm]
}

// Address implements beryltarget.Addresses.
func (daemon *Daemon) Address(target berylspoke.TargetID) string {
	return daemon.Declarations().Targets[target].Address
}

// targetLink returns the kind of link to a target.
func (daemon *Daemon) targetLink(target berylspoke.TargetID) berylpeer.Link {
	declarations := daemon.Declarations()
	return linkBetween(daemon.settings.FailureDomain, declarations.Targets[target].FailureDomain, declarations)
}
