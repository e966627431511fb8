package berylnode

// This file defines the dump of a node's state for operators.

import (
	"sort"
	"time"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
)

// Outcomes returns the outcomes of the latest patches, oldest first.
func (node *Node) Outcomes() []berylconfig.Outcome { return node.store.Outcomes() }

// MemberState is the state of a daemon as this one knows it.
type MemberState struct {
	VM            berylspoke.VMID          `json:"vm"`
	FailureDomain berylspoke.FailureDomain `json:"failureDomain"`
	Incarnation   string                   `json:"incarnation"`
	Status        string                   `json:"status"`
	Leaving       bool                     `json:"leaving"`
	Number        berylspoke.PatchNumber   `json:"number"`
}

// ServiceState is the state of a service at this daemon.
type ServiceState struct {
	Service       berylspoke.ServiceID                    `json:"service"`
	Waiting       int                                     `json:"waiting"`
	Backlogged    int                                     `json:"backlogged"`
	VirtualTime   berylspoke.Tag                          `json:"virtualTime"`
	Organisations []berylshare.OrganisationState          `json:"organisations"`
	SlotUses      berylslot.UseCounts                     `json:"slotUses"`
	Held          []berylslot.HeldSlots                   `json:"held"`
	LeasedTargets []berylslot.TargetSlots                 `json:"kept"`
	Lessors       map[berylspoke.TargetID]berylspoke.VMID `json:"keepers"`
}

// State is the state of a node as the dump shows it.
type State struct {
	VM                  berylspoke.VMID          `json:"vm"`
	Incarnation         string                   `json:"incarnation"`
	Time                time.Time                `json:"time"`
	Ready               bool                     `json:"ready"`
	Draining            bool                     `json:"draining"`
	Number              berylspoke.PatchNumber   `json:"number"`
	Version             berylspoke.ConfigVersion `json:"version"`
	Hash                string                   `json:"hash"`
	Conflicts           int                      `json:"conflicts"`
	Outcomes            []berylconfig.Outcome    `json:"outcomes"`
	Members             []MemberState            `json:"members"`
	Services            []ServiceState           `json:"services"`
	LedgerOrganisations int                      `json:"ledgerOrganisations"`
	OwnerRecords        int                      `json:"ownerRecords"`
	WitnessedIDs        int                      `json:"witnessedIds"`
	Waiting             int                      `json:"waiting"`
	Running             int                      `json:"running"`
}

// State returns the state of the node for the dump.
func (node *Node) State(now time.Time) State {
	state := node.store.State()
	dump := State{
		VM: node.self.VM, Incarnation: node.self.Incarnation.String(), Time: now,
		Ready: node.Ready(), Draining: node.Draining(),
		Number: state.Number, Version: state.Version, Hash: state.Hash.Short(),
		Conflicts: node.store.Conflicts, Outcomes: node.store.Outcomes(),
		LedgerOrganisations: node.ledger.Len(), OwnerRecords: node.owner.Len(), WitnessedIDs: node.witness.Len(),
		Waiting: len(node.waiting), Running: len(node.running),
	}
	for _, member := range node.table.Members() {
		dump.Members = append(dump.Members, MemberState{
			VM: member.VM.ID, FailureDomain: member.VM.FailureDomain,
			Incarnation: member.Rumour.Process.Incarnation.String(),
			Status:      member.Rumour.Status.String(), Leaving: member.Rumour.Leaving || member.VM.Leaving,
			Number: member.ConfigNumber,
		})
	}
	for _, service := range node.services {
		dump.Services = append(dump.Services, node.serviceState(service))
	}
	sort.Slice(dump.Services, func(i, j int) bool { return dump.Services[i].Service < dump.Services[j].Service })
	return dump
}

func (node *Node) serviceState(service *service) ServiceState {
	state := ServiceState{
		Service: service.id, Waiting: service.queue.Waiting(), Backlogged: service.queue.Backlogged(),
		VirtualTime: service.queue.VirtualTime(), Organisations: service.queue.Organisations(), Held: service.holder.Held(), SlotUses: service.holder.Uses(),
		Lessors: service.lessors.Of,
	}
	if service.lessor != nil {
		state.LeasedTargets = service.lessor.Slots()
	}
	return state
}
