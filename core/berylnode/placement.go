package berylnode

// This file defines how a node follows changes of membership and configuration.

import (
	"strings"
	"time"

	"berylspoke"
	"berylspoke/core/berylroute"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
	"berylspoke/core/berylticket"
)

// place recomputes the roles when membership or the configuration changed.
func (node *Node) place(now time.Time) {
	state, live := node.store.State(), node.table.Live()
	key := placedFor{version: state.Version, live: joined(live)}
	if key == node.placed {
		return
	}
	node.placed = key
	node.fleet = berylroute.Fleet{
		Self: node.self.VM, Live: live, Declarations: state.Declarations,
		DomainOf: make(map[berylspoke.VMID]berylspoke.FailureDomain),
	}
	for _, member := range node.table.All() {
		node.fleet.DomainOf[member.VM.ID] = member.VM.FailureDomain
	}
	placed := berylroute.Place(node.fleet)
	for id, service := range node.services {
		if placed[id] == nil {
			node.retire(now, service)
		}
	}
	for id, keepers := range placed {
		node.placeService(now, id, keepers)
	}
	node.dropDead(live)
	node.weights = 0
	for _, organisation := range state.Declarations.Organisations {
		node.weights += float64(organisation.Weight)
	}
}

func joined(vms []berylspoke.VMID) string {
	var text strings.Builder
	for _, vm := range vms {
		text.WriteString(string(vm))
		text.WriteByte(' ')
	}
	return text.String()
}

func (node *Node) placeService(now time.Time, id berylspoke.ServiceID, keepers *berylroute.Keepers) {
	found := node.services[id]
	if found == nil {
		found = &service{
			id:     id,
			queue:  berylshare.NewQueue(node.options.Queue),
			holder: berylslot.NewHolder(node.self, id),
		}
		node.services[id] = found
	}
	found.keepers = keepers
	for target, keeper := range keepers.Of {
		found.holder.Move(target, keeper)
	}
	if found.keeper == nil && len(keepers.Mine) > 0 {
		found.keeper = berylslot.NewKeeper(now, node.self, id, node.options.Keeper)
	}
	if found.keeper != nil {
		found.keeper.SetTargets(now, keepers.Mine)
	}
}

// retire refuses what waits for a service that is no longer declared; what runs
// ends in its own time.
func (node *Node) retire(now time.Time, service *service) {
	for id, request := range node.waiting {
		if request.Service == service.id {
			node.refuse(now, id, berylspoke.ReasonUnknown, 0)
		}
	}
	delete(node.services, service.id)
}

// dropDead takes slots back from entries, and leases from keepers, that died.
func (node *Node) dropDead(live []berylspoke.VMID) {
	alive := make(map[berylspoke.VMID]bool, len(live))
	for _, vm := range live {
		alive[vm] = true
	}
	for _, member := range node.table.All() {
		if alive[member.VM.ID] || member.Rumour.Leaving {
			continue
		}
		for _, service := range node.services {
			service.holder.Drop(member.VM.ID)
			if service.keeper != nil {
				service.keeper.Drop(member.VM.ID)
			}
		}
	}
}

// askable returns the keepers that this entry asks for slots now: a few of its
// own region, and of the other region while work may cross.
func (node *Node) askable(now time.Time, service *service) berylslot.Asked {
	if now.Sub(service.turned) > turnEvery {
		service.turned = now
		service.round++
	}
	asked := berylslot.Asked{
		Local: berylroute.Window(service.keepers.Local, node.options.KeepersAsked, service.round),
		// The slack by which newcomers are told lower must not carry them over
		// the paid link.
		Margin: node.options.CrossMargin + node.options.Keeper.Slack,
	}
	if len(service.keepers.Local) == 0 {
		asked.Margin = 0
	}
	if node.mayCross(now, service) {
		asked.Remote = berylroute.Window(service.keepers.Remote, remoteAsked, service.round)
	}
	return asked
}

const (
	// turnEvery is the time between two changes of the last keeper asked.
	turnEvery = 10 * time.Second
	// remoteAsked bounds the keepers asked in another region.
	remoteAsked = 2
)

// mayCross says whether work may leave the region: bytes between regions are
// paid by volume, so only a lasting shortage is worth them.
func (node *Node) mayCross(now time.Time, service *service) bool {
	if len(service.keepers.Local) == 0 {
		return true
	}
	if service.queue.Waiting() == 0 {
		service.backlogged = time.Time{}
		return false
	}
	if service.backlogged.IsZero() {
		service.backlogged = now
	}
	return now.Sub(service.backlogged) >= node.options.CrossAfter && node.crossing.Left(now) > 0
}

// remote says whether a target stands in another region.
func (node *Node) remote(target berylspoke.TargetID) bool {
	domain := node.Declarations().Targets[target].FailureDomain
	return node.Declarations().Region(domain) != node.Declarations().Region(node.options.VM.FailureDomain)
}

// Resolve returns the addresses that an organisation's callers should use, best
// first, and a ticket for its non-idempotent requests at this daemon.
func (node *Node) Resolve(organisation berylspoke.OrganisationID) ([]string, berylticket.Ticket) {
	share := 0.0
	if node.weights > 0 {
		share = float64(node.Declarations().Organisations[organisation].Weight) / node.weights
	}
	var addresses []string
	for _, vm := range berylroute.Entries(node.fleet, organisation, share) {
		if member := node.table.Member(vm); member != nil {
			addresses = append(addresses, member.VM.CallAddress)
		}
	}
	return addresses, node.owner.Mint(node.chooseWitness())
}

// chooseWitness prefers another failure domain of the same region, then any
// other failure domain, then another VM. The choice is stable, so that permits
// need one connection.
func (node *Node) chooseWitness() berylspoke.Process {
	var best berylspoke.Process
	bestRank := -1
	for _, vm := range berylroute.Preferred("witness of "+string(node.self.VM), node.table.Live()) {
		incarnation := node.table.Known(vm)
		if vm == node.self.VM || incarnation == 0 {
			continue
		}
		rank := 0
		if node.fleet.DomainOf[vm] != node.options.VM.FailureDomain {
			rank = 1
			if node.Declarations().Region(node.fleet.DomainOf[vm]) == node.Declarations().Region(node.options.VM.FailureDomain) {
				rank = 2
			}
		}
		if rank > bestRank {
			best, bestRank = berylspoke.Process{VM: vm, Incarnation: incarnation}, rank
		}
	}
	return best
}

// startsAnywhere says whether the policy ignores keepers.
func (node *Node) startsAnywhere() bool { return node.options.Policy == berylshare.FirstCome }
