package berylconfig

// This file defines the declarations and their validation.

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"berylspoke"
)

// ServiceKind distinguishes model engines from plain services.
type ServiceKind string

// The kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// FenceCheck tells whether a target rejects orders with an old fencing number.
type FenceCheck string

// The declared behaviours of targets on old fencing numbers.
const (
	FenceChecked FenceCheck = "checked"
	FenceIgnored FenceCheck = "ignored"
)

// Organisation is a tenant; KeyDigests are hexadecimal SHA-256 digests of its keys, and a
// MaxWaiting of zero means the fleet's default.
type Organisation struct {
	Weight     berylspoke.Weight `json:"weight"`
	KeyDigests []string          `json:"keyDigests"`
	MaxWaiting int               `json:"maxWaiting,omitempty"`
}

// Service is what callers address; Model is empty for a plain service.
type Service struct {
	Kind  ServiceKind `json:"kind"`
	Model string      `json:"model,omitempty"`
}

// Target is one backend of a service.
type Target struct {
	Service       berylspoke.ServiceID     `json:"service"`
	Address       string                   `json:"address"`
	FailureDomain berylspoke.FailureDomain `json:"failureDomain"`
	Leaving       bool                     `json:"leaving,omitempty"`
	Fence         FenceCheck               `json:"fence,omitempty"`
	Model         string                   `json:"model,omitempty"`
	Version       string                   `json:"version,omitempty"`
	Adapters      []string                 `json:"adapters,omitempty"`
	Role          string                   `json:"role,omitempty"`
}

// Domain assigns a failure domain to a region.
type Domain struct {
	Region berylspoke.Region `json:"region"`
}

// Declarations is the complete configuration of one version; it is immutable once folded.
type Declarations struct {
	FailureDomains map[berylspoke.FailureDomain]Domain        `json:"failureDomains"`
	Organisations  map[berylspoke.OrganisationID]Organisation `json:"organisations"`
	Services       map[berylspoke.ServiceID]Service           `json:"services"`
	Targets        map[berylspoke.TargetID]Target             `json:"targets"`
}

// Fault is one mistake in declarations; Path names the field.
type Fault struct {
	Path    string
	Problem string
}

// String returns the path and the problem.
func (fault Fault) String() string { return fault.Path + ": " + fault.Problem }

// Limits of declared values.
const (
	maxWeight   = 1_000_000
	maxIDLength = 64
)

// Region returns the region of a failure domain; an undeclared domain is a region of its
// own name.
func (declarations *Declarations) Region(domain berylspoke.FailureDomain) berylspoke.Region {
	if declared, ok := declarations.FailureDomains[domain]; ok {
		return declared.Region
	}
	return berylspoke.Region(domain)
}

// TargetsOf returns the targets of a service that are not leaving, sorted by id.
func (declarations *Declarations) TargetsOf(service berylspoke.ServiceID) []berylspoke.TargetID {
	var ids []berylspoke.TargetID
	for id, target := range declarations.Targets {
		if target.Service == service && !target.Leaving {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Validate returns all faults, sorted by path; none means valid.
func (declarations *Declarations) Validate() []Fault {
	var faults []Fault
	report := func(path, format string, args ...any) {
		faults = append(faults, Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
	}
	for id, domain := range declarations.FailureDomains {
		checkID(report, "failureDomains", string(id))
		if domain.Region == "" {
			report("failureDomains."+string(id)+".region", "is empty")
		}
	}
	for id, organisation := range declarations.Organisations {
		checkOrganisation(report, id, organisation)
	}
	for id, service := range declarations.Services {
		checkID(report, "services", string(id))
		if service.Kind != KindModel && service.Kind != KindPlain {
			report("services."+string(id)+".kind", "%q is neither %q nor %q", service.Kind, KindModel, KindPlain)
		}
	}
	for id, target := range declarations.Targets {
		declarations.checkTarget(report, id, target)
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

type reporter func(path, format string, args ...any)

func checkID(report reporter, group, id string) {
	path := group + "." + id
	if id == "" || len(id) > maxIDLength {
		report(path, "an id has 1 to %d characters", maxIDLength)
		return
	}
	if strings.Trim(id, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		report(path, "an id holds only a-z, 0-9 and -")
	}
}

func checkOrganisation(report reporter, id berylspoke.OrganisationID, organisation Organisation) {
	path := "organisations." + string(id)
	checkID(report, "organisations", string(id))
	if organisation.Weight < 1 || organisation.Weight > maxWeight {
		report(path+".weight", "%d is outside 1 to %d", organisation.Weight, maxWeight)
	}
	if organisation.MaxWaiting < 0 {
		report(path+".maxWaiting", "%d is negative", organisation.MaxWaiting)
	}
	for _, digest := range organisation.KeyDigests {
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != 32 {
			report(path+".keyDigests", "a digest is 64 hexadecimal digits of SHA-256")
		}
	}
}

func (declarations *Declarations) checkTarget(report reporter, id berylspoke.TargetID, target Target) {
	path := "targets." + string(id)
	checkID(report, "targets", string(id))
	if _, ok := declarations.Services[target.Service]; !ok {
		report(path+".service", "%q is not declared", target.Service)
	}
	if _, ok := declarations.FailureDomains[target.FailureDomain]; !ok {
		report(path+".failureDomain", "%q is not declared", target.FailureDomain)
	}
	if _, err := netip.ParseAddrPort(target.Address); err != nil {
		report(path+".address", "%q is not an IP number and a port", target.Address)
	}
	if target.Fence != "" && target.Fence != FenceChecked && target.Fence != FenceIgnored {
		report(path+".fence", "%q is neither %q nor %q", target.Fence, FenceChecked, FenceIgnored)
	}
}
