package berylload

// This file defines the description of the fleet under load.

import (
	"sort"

	"berylspoke"
	"berylspoke/io/berylfleet"
)

// Entry is an entry daemon with its addresses.
type Entry struct {
	VM              berylspoke.VMID `json:"vm"`
	CallAddress     string          `json:"callAddress"`
	OperatorAddress string          `json:"operatorAddress"`
}

// Organisation is an organisation with its API key and weight.
type Organisation struct {
	ID     berylspoke.OrganisationID `json:"id"`
	Key    string                    `json:"key"`
	Weight berylspoke.Weight         `json:"weight"`
}

// Engine is a model engine with the address of its statistics.
type Engine struct {
	Target  berylspoke.TargetID `json:"target"`
	Address string              `json:"address"`
}

// Fleet describes a running fleet.
type Fleet struct {
	Entries       []Entry              `json:"entries"`
	OperatorToken string               `json:"operatorToken"`
	Organisations []Organisation       `json:"organisations"`
	ModelService  berylspoke.ServiceID `json:"model"`
	PlainService  berylspoke.ServiceID `json:"desk"`
	Engines       []Engine             `json:"engines"`
}

// FromPlan returns the description of the fleet of a plan.
func FromPlan(plan berylfleet.Plan) Fleet {
	fleet := Fleet{OperatorToken: berylfleet.OperatorToken, ModelService: plan.ModelService, PlainService: plan.PlainService}
	for _, vm := range plan.VMs() {
		fleet.Entries = append(fleet.Entries, Entry{vm.ID, vm.CallAddress, plan.Settings(vm).OperatorAddress})
	}
	for _, id := range plan.Organisations() {
		fleet.Organisations = append(fleet.Organisations, Organisation{id, plan.Key(id), plan.Weight(id)})
	}
	for id, target := range plan.Targets() {
		if target.Service == plan.ModelService {
			fleet.Engines = append(fleet.Engines, Engine{id, target.Address})
		}
	}
	sort.Slice(fleet.Engines, func(i, j int) bool { return fleet.Engines[i].Target < fleet.Engines[j].Target })
	return fleet
}
