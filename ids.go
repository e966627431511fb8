package berylspoke

// This file defines the named types for identifiers and units.

import (
	"fmt"
	"net"
	"strconv"
)

// VMID names one entry VM as the platform lists it.
type VMID string

// FailureDomain names a set of VMs and targets that may fail together.
type FailureDomain string

// Region names a set of failure domains joined by fast links.
type Region string

// OrganisationID names a customer that shares capacity.
type OrganisationID string

// ServiceID names a declared service.
type ServiceID string

// TargetID names one back end of a service.
type TargetID string

// RequestID names one request of one organisation.
type RequestID string

// Incarnation distinguishes the runs of a daemon on one VM; it is drawn at
// random at the start and zero means unknown.
type Incarnation uint64

// String returns the incarnation in hexadecimal.
func (incarnation Incarnation) String() string {
	return strconv.FormatUint(uint64(incarnation), 16)
}

// incarnationRandomBits are the low bits of an incarnation; those above count
// milliseconds.
const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a daemon that starts at a time in Unix
// milliseconds.
func NewIncarnation(unixMillis int64, random uint64) Incarnation {
	return Incarnation(uint64(unixMillis)<<incarnationRandomBits | random&(1<<incarnationRandomBits-1))
}

// Next returns an incarnation above this one, with random low bits, as other runs may
// have taken one above it too.
func (incarnation Incarnation) Next(random uint64) Incarnation {
	return NewIncarnation(int64(incarnation>>incarnationRandomBits)+1, random)
}

// Process names one run of a daemon.
type Process struct {
	VM          VMID
	Incarnation Incarnation
}

// String returns the VM and the incarnation joined by a dot.
func (process Process) String() string {
	return fmt.Sprintf("%s.%s", process.VM, process.Incarnation)
}

// Tokens counts units of service: generated tokens of a model, or calls of a
// plain service.
type Tokens int64

// Tag is service divided by weight, in tokens per unit of weight.
type Tag int64

// Weight is the relative share of an organisation.
type Weight int64

// Normalise returns the tag that the given service adds to an organisation of
// this weight.
func (weight Weight) Normalise(service Tokens) Tag {
	if weight <= 0 {
		weight = 1
	}
	return Tag(int64(service) * TagScale / int64(weight))
}

// TagScale is the number of tags that one token adds at weight one.
const TagScale = 1000

// ConfigVersion counts accepted patches.
type ConfigVersion uint64

// EntryNumber is the platform's position of a published patch.
type EntryNumber uint64

// Host returns the host of a VM that is named by its address.
func (vm VMID) Host() string {
	host, _, err := net.SplitHostPort(string(vm))
	if err != nil {
		return string(vm)
	}
	return host
}
