package berylfleet

// This file defines the plans of the two deployments.

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

// Area is a failure domain with its VMs and targets.
type Area struct {
	Domain  berylspoke.FailureDomain
	Region  berylspoke.Region
	VMs     int
	Engines int
	Desks   int
}

// Plan is one deployment.
type Plan struct {
	Name    string
	Areas   []Area
	Model   berylspoke.ServiceID
	Desk    berylspoke.ServiceID
	Large   int
	Small   int
	Engine  berylstand.EngineOptions
	DeskFor time.Duration
	// Base is the second byte of the loopback network that the fleet uses.
	Base int
}

// Kitamine is the deployment of the Grievance Letter Drafting Fleet.
func Kitamine() Plan {
	return Plan{
		Name: "kitamine",
		Areas: []Area{
			{"sapporo-a", "sapporo", 3, 4, 1},
			{"sapporo-b", "sapporo", 3, 3, 1},
			{"asahikawa-a", "asahikawa", 2, 2, 1},
		},
		Model: "drafting-models", Desk: "filing-desk", Large: 3, Small: 13,
		Engine: berylstand.DefaultEngineOptions(), DeskFor: 20 * time.Millisecond,
	}
}

// Parish is the deployment of the Newsletter Mailing Router Acceptance.
func Parish() Plan {
	return Plan{
		Name: "parish",
		Areas: []Area{
			{"kgn-a", "kingston", 3, 7, 1},
			{"kgn-b", "kingston", 3, 6, 1},
			{"mbj-a", "montego", 2, 5, 1},
		},
		Model: "pen-servers", Desk: "post-desk", Large: 3, Small: 13,
		Engine: berylstand.DefaultEngineOptions(), DeskFor: 20 * time.Millisecond,
	}
}

// Plans maps the names of the deployments to their plans.
func Plans() map[string]Plan {
	return map[string]Plan{"kitamine": Kitamine(), "parish": Parish()}
}

// Scaled returns the plan with the given number of times its VMs and targets.
func (plan Plan) Scaled(factor int) Plan {
	areas := make([]Area, len(plan.Areas))
	for i, area := range plan.Areas {
		area.VMs, area.Engines, area.Desks = area.VMs*factor, area.Engines*factor, area.Desks*factor
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
	// largeWeight is the weight of a large organisation; a small one has 1.
	largeWeight = 4
)

// FindBase returns a loopback network whose platform address is free.
func FindBase(from int) (int, error) {
	for base := from; base < 250; base++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", base, platformPort))
		if err == nil {
			return base, listener.Close()
		}
	}
	return 0, errors.New("no loopback network is free")
}

// PlatformAddress returns the address of the platform's stand-in.
func (plan Plan) PlatformAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", plan.Base, platformPort)
}

// VMs lists the entry VMs.
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

// Organisations lists the organisations, the large ones first.
func (plan Plan) Organisations() []berylspoke.OrganisationID {
	var ids []berylspoke.OrganisationID
	for i := range plan.Large {
		ids = append(ids, berylspoke.OrganisationID(fmt.Sprintf("large-%d", i+1)))
	}
	for i := range plan.Small {
		ids = append(ids, berylspoke.OrganisationID(fmt.Sprintf("small-%d", i+1)))
	}
	return ids
}

// Key returns the key of an organisation of the plan.
func (plan Plan) Key(organisation berylspoke.OrganisationID) string {
	return fmt.Sprintf("key-of-%s-at-%s", organisation, plan.Name)
}

// Weight returns the weight of an organisation of the plan.
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

// Targets lists the engines and desks.
func (plan Plan) Targets() map[berylspoke.TargetID]berylconfig.Target {
	targets := make(map[berylspoke.TargetID]berylconfig.Target)
	add := func(service berylspoke.ServiceID, area Area, name string) {
		id := berylspoke.TargetID(fmt.Sprintf("%s-%s", area.Domain, name))
		address := fmt.Sprintf("127.%d.2.%d:%d", plan.Base, len(targets)+1, targetPort)
		targets[id] = berylconfig.Target{Service: service, Address: address, FailureDomain: area.Domain}
	}
	for _, area := range plan.Areas {
		for i := range area.Engines {
			add(plan.Model, area, fmt.Sprintf("engine-%d", i+1))
		}
		for i := range area.Desks {
			add(plan.Desk, area, fmt.Sprintf("desk-%d", i+1))
		}
	}
	return targets
}

// OperatorToken is the operators' token of every fleet on loopback.
const OperatorToken = "operators-of-the-loopback-fleet"

// Settings returns the settings of one VM's daemon.
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
