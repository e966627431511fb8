package berylnode

// This file defines the dump of a node's state.

import (
	"sort"
	"time"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
)

// Outcomes returns what became of the last patches.
func (node *Node) Outcomes() []berylconfig.Outcome { return node.store.Outcomes() }

// MemberState is one daemon as this one knows it.
type MemberState struct {
	VM          berylspoke.VMID          `json:"vm"`
	Domain      berylspoke.FailureDomain `json:"failureDomain"`
	Incarnation string                   `json:"incarnation"`
	Status      string                   `json:"status"`
	Leaving     bool                     `json:"leaving"`
	Number      berylspoke.EntryNumber   `json:"number"`
}

// ServiceState is one service at this daemon.
type ServiceState struct {
	Service    berylspoke.ServiceID                    `json:"service"`
	Waiting    int                                     `json:"waiting"`
	Backlogged int                                     `json:"backlogged"`
	Time       berylspoke.Tag                          `json:"virtualTime"`
	Shares     []berylshare.OrganisationState          `json:"organisations"`
	Uses       berylslot.Uses                          `json:"slotUses"`
	Held       []berylslot.HeldSlot                    `json:"held"`
	Kept       []berylslot.Slot                        `json:"kept"`
	Keepers    map[berylspoke.TargetID]berylspoke.VMID `json:"keepers"`
}

// State is the dump of a node.
type State struct {
	VM        berylspoke.VMID          `json:"vm"`
	Process   string                   `json:"incarnation"`
	Time      time.Time                `json:"time"`
	Ready     bool                     `json:"ready"`
	Draining  bool                     `json:"draining"`
	Number    berylspoke.EntryNumber   `json:"number"`
	Version   berylspoke.ConfigVersion `json:"version"`
	Hash      string                   `json:"hash"`
	Conflicts int                      `json:"conflicts"`
	Outcomes  []berylconfig.Outcome    `json:"outcomes"`
	Members   []MemberState            `json:"members"`
	Services  []ServiceState           `json:"services"`
	Ledger    int                      `json:"ledgerOrganisations"`
	Records   int                      `json:"ownerRecords"`
	Witnessed int                      `json:"witnessedIds"`
	Waiting   int                      `json:"waiting"`
	Running   int                      `json:"running"`
}

// State returns the dump of the node.
func (node *Node) State(now time.Time) State {
	state := node.store.State()
	dump := State{
		VM: node.self.VM, Process: node.self.Incarnation.String(), Time: now,
		Ready: node.Ready(), Draining: node.Draining(),
		Number: state.Number, Version: state.Version, Hash: state.Hash.Short(),
		Conflicts: node.store.Conflicts, Outcomes: node.store.Outcomes(),
		Ledger: node.ledger.Len(), Records: node.owner.Len(), Witnessed: node.witness.Len(),
		Waiting: len(node.waiting), Running: len(node.running),
	}
	for _, member := range node.table.All() {
		dump.Members = append(dump.Members, MemberState{
			VM: member.VM.ID, Domain: member.VM.FailureDomain,
			Incarnation: member.Rumour.Process.Incarnation.String(),
			Status:      member.Rumour.Status.String(), Leaving: member.Rumour.Leaving || member.VM.Leaving,
			Number: member.Number,
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
		Time: service.queue.VirtualTime(), Shares: service.queue.Organisations(), Held: service.holder.Held(), Uses: service.holder.Uses(),
		Keepers: service.keepers.Of,
	}
	if service.keeper != nil {
		state.Kept = service.keeper.Slots()
	}
	return state
}
