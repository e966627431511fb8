package berylspoke

// This file defines the named types for identifiers and units.

import (
	"fmt"
	"net"
	"strconv"
)

// VMID identifies one entry VM in the platform's list.
type VMID string

// FailureDomain identifies a set of VMs and targets that may fail together.
type FailureDomain string

// Region identifies a set of failure domains that are connected by fast links.
type Region string

// OrganisationID identifies a customer that shares capacity.
type OrganisationID string

// ServiceID identifies a declared service.
type ServiceID string

// TargetID identifies one back end of a service.
type TargetID string

// SoftwareVersion names the version of a target's software, empty if it is not known. Versions
// have no order.
type SoftwareVersion string

// Build identifies a version of the software of one service. What targets of two builds write
// does not fit together. The zero value is a build that is not certain. Builds are compared with Fits:
// by ==, two of them that are not certain would be the same.
type Build uint64

// Certain reports whether it is known which build it is.
func (build Build) Certain() bool { return build != 0 }

// Fits reports whether what targets of both builds write is certain to fit together.
func (build Build) Fits(other Build) bool { return build.Certain() && build == other }

// String returns the build in hexadecimal.
func (build Build) String() string { return strconv.FormatUint(uint64(build), 16) }

// RequestID identifies one request of one organisation.
type RequestID string

// Incarnation distinguishes the runs of a daemon on one VM. It combines the start time
// with random low bits; zero means unknown.
type Incarnation uint64

// String returns the incarnation in hexadecimal.
func (incarnation Incarnation) String() string {
	return strconv.FormatUint(uint64(incarnation), 16)
}

// incarnationRandomBits is the number of random low bits of an incarnation; the bits
// above count milliseconds.
const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a daemon that starts at a time given in Unix
// milliseconds.
func NewIncarnation(unixMillis int64, random uint64) Incarnation {
	return Incarnation(uint64(unixMillis)<<incarnationRandomBits | random&(1<<incarnationRandomBits-1))
}

// Next returns a greater incarnation. Its low bits are random, since other runs may have
// taken a greater one too.
func (incarnation Incarnation) Next(random uint64) Incarnation {
	return NewIncarnation(int64(incarnation>>incarnationRandomBits)+1, random)
}

// Process identifies one run of a daemon.
type Process struct {
	VM          VMID
	Incarnation Incarnation
}

// String returns the VM and the incarnation joined by a dot.
func (process Process) String() string {
	return fmt.Sprintf("%s.%s", process.VM, process.Incarnation)
}

// Tokens counts units of service: tokens of a model, or calls of a plain service.
type Tokens int64

// Tag is service divided by weight, in units of 1/TagScale tokens per unit of weight.
type Tag int64

// Weight is the share of an organisation relative to the others.
type Weight int64

// Normalise returns the amount by which the given service advances the tag of an
// organisation of this weight.
func (weight Weight) Normalise(service Tokens) Tag {
	if weight <= 0 {
		weight = 1
	}
	return Tag(int64(service) * TagScale / int64(weight))
}

// TagScale is the amount by which one token advances a tag at weight one.
const TagScale = 1000

// ConfigVersion counts accepted patches.
type ConfigVersion uint64

// PatchNumber is the position of a patch in the platform's log.
type PatchNumber uint64

// Host returns the host of a VM whose id is an address, and any other id as it is.
func (vm VMID) Host() string {
	host, _, err := net.SplitHostPort(string(vm))
	if err != nil {
		return string(vm)
	}
	return host
}
