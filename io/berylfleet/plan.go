package berylfleet

// This file defines the plans of two deployments.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylsettings"
	"berylspoke/io/berylstand"
)

// DomainPlan is a failure domain with its numbers of VMs and targets.
type DomainPlan struct {
	Domain       berylspoke.FailureDomain
	Region       berylspoke.Region
	VMs          int
	Engines      int
	PlainTargets int
}

// Plan describes a deployment.
type Plan struct {
	Name  string
	Areas []DomainPlan
	// Model is the id of the model service, Desk that of the plain service.
	Model berylspoke.ServiceID
	Desk  berylspoke.ServiceID
	// LargeOrganisations and SmallOrganisations are the numbers of organisations with a
	// large and a small weight.
	LargeOrganisations int
	SmallOrganisations int
	Engine             berylstand.EngineOptions
	// DeskFor is the response time of the plain service.
	DeskFor time.Duration
	// Base is the second byte of the loopback addresses that the deployment uses.
	Base int
}

// Kitamine returns the plan of the Grievance Letter Drafting Fleet.
func Kitamine() Plan {
	return Plan{
		Name: "kitamine",
		Areas: []DomainPlan{
			{"sapporo-a", "sapporo", 3, 4, 1},
			{"sapporo-b", "sapporo", 3, 3, 1},
			{"asahikawa-a", "asahikawa", 2, 2, 1},
		},
		Model: "drafting-models", Desk: "filing-desk", LargeOrganisations: 3, SmallOrganisations: 13,
		Engine: berylstand.DefaultEngineOptions(), DeskFor: 20 * time.Millisecond,
	}
}

// Parish returns the plan of the Newsletter Mailing Router Acceptance.
func Parish() Plan {
	return Plan{
		Name: "parish",
		Areas: []DomainPlan{
			{"kgn-a", "kingston", 3, 7, 1},
			{"kgn-b", "kingston", 3, 6, 1},
			{"mbj-a", "montego", 2, 5, 1},
		},
		Model: "pen-servers", Desk: "post-desk", LargeOrganisations: 3, SmallOrganisations: 13,
		Engine: berylstand.DefaultEngineOptions(), DeskFor: 20 * time.Millisecond,
	}
}

// Plans returns the plans by the name of the deployment.
func Plans() map[string]Plan {
	return map[string]Plan{"kitamine": Kitamine(), "parish": Parish()}
}

// Scaled returns the plan with the numbers of VMs and targets multiplied by a factor.
func (plan Plan) Scaled(factor int) Plan {
	areas := make([]DomainPlan, len(plan.Areas))
	for i, area := range plan.Areas {
		area.VMs, area.Engines, area.PlainTargets = area.VMs*factor, area.Engines*factor, area.PlainTargets*factor
		areas[i] = area
	}
	plan.Areas = areas
	return plan
}

const (
	peerPort     = 7100
	callPort     = 7200
	operatorPort = 7300
	targetPort   = 7400
	platformPort = 7000
	// largeWeight is the weight of a large organisation; a small one has weight 1.
	largeWeight = 4
)

// FindBase returns the second byte of the first loopback network, from the given one on,
// whose platform address is free.
func FindBase(from int) (int, error) {
	for base := from; base < 250; base++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", base, platformPort))
		if err == nil {
			return base, listener.Close()
		}
	}
	return 0, errors.New("no loopback network is free")
}

// PlatformAddress returns the address of the fake platform.
func (plan Plan) PlatformAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", plan.Base, platformPort)
}

// VMs returns the VMs of the daemons.
func (plan Plan) VMs() []berylspoke.VM {
	var vms []berylspoke.VM
	for _, area := range plan.Areas {
		for i := range area.VMs {
			host := fmt.Sprintf("127.%d.1.%d", plan.Base, len(vms)+1)
			vms = append(vms, berylspoke.VM{
				ID:            berylspoke.VMID(fmt.Sprintf("%s-%d", area.Domain, i+1)),
				FailureDomain: area.Domain,
				PeerAddress:   fmt.Sprintf("%s:%d", host, peerPort),
				CallAddress:   fmt.Sprintf("%s:%d", host, callPort),
			})
		}
	}
	return vms
}

// Organisations returns the organisations, the large ones first.
func (plan Plan) Organisations() []berylspoke.OrganisationID {
	var ids []berylspoke.OrganisationID
	for i := range plan.LargeOrganisations {
		ids = append(ids, berylspoke.OrganisationID(fmt.Sprintf("large-%d", i+1)))
	}
	for i := range plan.SmallOrganisations {
		ids = append(ids, berylspoke.OrganisationID(fmt.Sprintf("small-%d", i+1)))
	}
	return ids
}

// Key returns the API key of an organisation.
func (plan Plan) Key(organisation berylspoke.OrganisationID) string {
	return fmt.Sprintf("key-of-%s-at-%s", organisation, plan.Name)
}

// Weight returns the weight of an organisation.
func (plan Plan) Weight(organisation berylspoke.OrganisationID) berylspoke.Weight {
	if len(organisation) > 5 && organisation[:5] == "large" {
		return largeWeight
	}
	return 1
}

// Patch returns the first patch, which declares the whole deployment.
func (plan Plan) Patch() *berylconfig.Patch {
	patch := &berylconfig.Patch{
		FailureDomains: make(map[berylspoke.FailureDomain]*berylconfig.Domain),
		Organisations:  make(map[berylspoke.OrganisationID]*berylconfig.Organisation),
		Services: map[berylspoke.ServiceID]*berylconfig.Service{
			plan.Model: {Kind: berylconfig.KindModel},
			plan.Desk:  {Kind: berylconfig.KindPlain},
		},
		Targets: make(map[berylspoke.TargetID]*berylconfig.Target),
	}
	for _, area := range plan.Areas {
		patch.FailureDomains[area.Domain] = &berylconfig.Domain{Region: area.Region}
	}
	for _, id := range plan.Organisations() {
		digest := sha256.Sum256([]byte(plan.Key(id)))
		patch.Organisations[id] = &berylconfig.Organisation{
			Weight: plan.Weight(id), KeyDigests: []string{hex.EncodeToString(digest[:])},
		}
	}
	for id, target := range plan.Targets() {
		patch.Targets[id] = &target
	}
	return patch
}

// Targets returns the engines and the targets of the plain service.
func (plan Plan) Targets() map[berylspoke.TargetID]berylconfig.Target {
	targets := make(map[berylspoke.TargetID]berylconfig.Target)
	add := func(service berylspoke.ServiceID, area DomainPlan, name string) {
		id := berylspoke.TargetID(fmt.Sprintf("%s-%s", area.Domain, name))
		address := fmt.Sprintf("127.%d.2.%d:%d", plan.Base, len(targets)+1, targetPort)
		targets[id] = berylconfig.Target{Service: service, Address: address, FailureDomain: area.Domain}
	}
	for _, area := range plan.Areas {
		for i := range area.Engines {
			add(plan.Model, area, fmt.Sprintf("engine-%d", i+1))
		}
		for i := range area.PlainTargets {
			add(plan.Desk, area, fmt.Sprintf("desk-%d", i+1))
		}
	}
	return targets
}

// OperatorToken is the operator token of every fleet on loopback.
const OperatorToken = "operators-of-the-loopback-fleet"

// Settings returns the settings of the daemon of a VM.
func (plan Plan) Settings(vm berylspoke.VM) *berylsettings.Settings {
	settings := berylsettings.Defaults()
	key := sha256.Sum256([]byte("fleet key of " + plan.Name))
	host, _, _ := net.SplitHostPort(vm.PeerAddress)
	settings.VM, settings.FailureDomain = vm.ID, vm.FailureDomain
	settings.PeerAddress, settings.CallAddress = vm.PeerAddress, vm.CallAddress
	settings.OperatorAddress = fmt.Sprintf("%s:%d", host, operatorPort)
	settings.OperatorToken = OperatorToken
	settings.Platform = plan.PlatformAddress()
	settings.FleetKeys = []string{hex.EncodeToString(key[:])}
	settings.LogLevel = "warn"
	return &settings
}
