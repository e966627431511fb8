package berylload

// This file defines what the load tool knows of the fleet it drives.

import (
	"sort"

	"berylspoke"
	"berylspoke/io/berylfleet"
)

// Entry is one daemon.
type Entry struct {
	VM       berylspoke.VMID `json:"vm"`
	Calls    string          `json:"callAddress"`
	Operator string          `json:"operatorAddress"`
}

// Organisation is one tenant with its key.
type Organisation struct {
	ID     berylspoke.OrganisationID `json:"id"`
	Key    string                    `json:"key"`
	Weight berylspoke.Weight         `json:"weight"`
}

// Engine is one model engine.
type Engine struct {
	Target  berylspoke.TargetID `json:"target"`
	Address string              `json:"address"`
}

// Fleet describes a running fleet.
type Fleet struct {
	Entries       []Entry              `json:"entries"`
	OperatorToken string               `json:"operatorToken"`
	Organisations []Organisation       `json:"organisations"`
	Model         berylspoke.ServiceID `json:"model"`
	Desk          berylspoke.ServiceID `json:"desk"`
	Engines       []Engine             `json:"engines"`
}

// FromPlan describes the fleet of a plan.
func FromPlan(plan berylfleet.Plan) Fleet {
	fleet := Fleet{OperatorToken: berylfleet.OperatorToken, Model: plan.Model, Desk: plan.Desk}
	for _, vm := range plan.VMs() {
		fleet.Entries = append(fleet.Entries, Entry{vm.ID, vm.CallAddress, plan.Settings(vm).OperatorAddress})
	}
	for _, id := range plan.Organisations() {
		fleet.Organisations = append(fleet.Organisations, Organisation{id, plan.Key(id), plan.Weight(id)})
	}
	for id, target := range plan.Targets() {
		if target.Service == plan.Model {
			fleet.Engines = append(fleet.Engines, Engine{id, target.Address})
		}
	}
	sort.Slice(fleet.Engines, func(i, j int) bool { return fleet.Engines[i].Target < fleet.Engines[j].Target })
	return fleet
}
