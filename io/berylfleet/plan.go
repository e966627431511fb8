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
	Name    string
	Domains []DomainPlan
	// ModelService is the id of the model service, PlainService that of the plain service.
	ModelService berylspoke.ServiceID
	PlainService berylspoke.ServiceID
	// LargeOrganisations and SmallOrganisations are the numbers of organisations with a
	// large and a small weight.
	LargeOrganisations int
	SmallOrganisations int
	EngineOptions      berylstand.EngineOptions
	// PlainResponseTime is the response time of the plain service.
	PlainResponseTime time.Duration
	// LoopbackNetwork is the second byte of the loopback addresses that the deployment
	// uses.
	LoopbackNetwork int
}

// Kitamine returns the plan of the Grievance Letter Drafting Fleet.
func Kitamine() Plan {
	return Plan{
		Name: "kitamine",
		Domains: []DomainPlan{
			{"sapporo-a", "sapporo", 3, 4, 1},
			{"sapporo-b", "sapporo", 3, 3, 1},
			{"asahikawa-a", "asahikawa", 2, 2, 1},
		},
		ModelService: "drafting-models", PlainService: "filing-desk", LargeOrganisations: 3, SmallOrganisations: 13,
		EngineOptions: berylstand.DefaultEngineOptions(), PlainResponseTime: 20 * time.Millisecond,
	}
}

// Parish returns the plan of the Newsletter Mailing Router Acceptance.
func Parish() Plan {
	return Plan{
		Name: "parish",
		Domains: []DomainPlan{
			{"kgn-a", "kingston", 3, 7, 1},
			{"kgn-b", "kingston", 3, 6, 1},
			{"mbj-a", "montego", 2, 5, 1},
		},
		ModelService: "pen-servers", PlainService: "post-desk", LargeOrganisations: 3, SmallOrganisations: 13,
		EngineOptions: berylstand.DefaultEngineOptions(), PlainResponseTime: 20 * time.Millisecond,
	}
}

// Plans returns the plans by the name of the deployment.
func Plans() map[string]Plan {
	return map[string]Plan{"kitamine": Kitamine(), "parish": Parish()}
}

// Scaled returns the plan with the numbers of VMs and targets multiplied by a factor.
func (plan Plan) Scaled(factor int) Plan {
	domains := make([]DomainPlan, len(plan.Domains))
	for i, domain := range plan.Domains {
		domain.VMs, domain.Engines, domain.PlainTargets = domain.VMs*factor, domain.Engines*factor, domain.PlainTargets*factor
		domains[i] = domain
	}
	plan.Domains = domains
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

// FindLoopbackNetwork returns the second byte of the first loopback network, from the
// given one on, whose platform address is free.
func FindLoopbackNetwork(from int) (int, error) {
	for network := from; network < 250; network++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, platformPort))
		if err == nil {
			return network, listener.Close()
		}
	}
	return 0, errors.New("no loopback network is free")
}

// PlatformAddress returns the address of the fake platform.
func (plan Plan) PlatformAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", plan.LoopbackNetwork, platformPort)
}

// VMs returns the VMs of the daemons.
func (plan Plan) VMs() []berylspoke.VM {
	var vms []berylspoke.VM
	for _, domain := range plan.Domains {
		for i := range domain.VMs {
			host := fmt.Sprintf("127.%d.1.%d", plan.LoopbackNetwork, len(vms)+1)
			vms = append(vms, berylspoke.VM{
				ID:            berylspoke.VMID(fmt.Sprintf("%s-%d", domain.Domain, i+1)),
				FailureDomain: domain.Domain,
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
			plan.ModelService: {Kind: berylconfig.KindModel},
			plan.PlainService: {Kind: berylconfig.KindPlain},
		},
		Targets: make(map[berylspoke.TargetID]*berylconfig.Target),
	}
	for _, domain := range plan.Domains {
		patch.FailureDomains[domain.Domain] = &berylconfig.Domain{Region: domain.Region}
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
	add := func(service berylspoke.ServiceID, domain DomainPlan, name string) {
		id := berylspoke.TargetID(fmt.Sprintf("%s-%s", domain.Domain, name))
		address := fmt.Sprintf("127.%d.2.%d:%d", plan.LoopbackNetwork, len(targets)+1, targetPort)
		targets[id] = berylconfig.Target{Service: service, Address: address, FailureDomain: domain.Domain}
	}
	for _, domain := range plan.Domains {
		for i := range domain.Engines {
			add(plan.ModelService, domain, fmt.Sprintf("engine-%d", i+1))
		}
		for i := range domain.PlainTargets {
			add(plan.PlainService, domain, fmt.Sprintf("desk-%d", i+1))
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
