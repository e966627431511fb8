package berylnode

// This file defines how a node adapts to changes of membership and configuration.

import (
	"strings"
	"time"

	"berylspoke"
	"berylspoke/core/berylroute"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
	"berylspoke/core/berylticket"
)

// updatePlacement recomputes the roles of daemons if membership or the configuration
// changed.
func (node *Node) updatePlacement(now time.Time) {
	state, live := node.store.State(), node.table.Live()
	key := placementKey{version: state.Version, live: joinIDs(live)}
	if key == node.placement {
		return
	}
	node.placement = key
	node.fleet = berylroute.Fleet{
		Self: node.self.VM, Live: live, Declarations: state.Declarations,
		DomainOf: make(map[berylspoke.VMID]berylspoke.FailureDomain),
	}
	for _, member := range node.table.Members() {
		node.fleet.DomainOf[member.VM.ID] = member.VM.FailureDomain
	}
	placed := berylroute.Place(node.fleet)
	for id, service := range node.services {
		if placed[id] == nil {
			node.removeService(now, service)
		}
	}
	for id, lessors := range placed {
		node.placeService(now, id, lessors)
	}
	node.dropDeadPeers(live)
	node.totalWeight = 0
	for _, organisation := range state.Declarations.Organisations {
		node.totalWeight += float64(organisation.Weight)
	}
}

func joinIDs(vms []berylspoke.VMID) string {
	var text strings.Builder
	for _, vm := range vms {
		text.WriteString(string(vm))
		text.WriteByte(' ')
	}
	return text.String()
}

func (node *Node) placeService(now time.Time, id berylspoke.ServiceID, lessors *berylroute.Lessors) {
	found := node.services[id]
	if found == nil {
		found = &service{
			id:     id,
			queue:  berylshare.NewQueue(node.options.Queue),
			holder: berylslot.NewHolder(node.self, id),
		}
		node.services[id] = found
	}
	found.lessors = lessors
	for target, lessor := range lessors.Of {
		found.holder.ReassignTarget(target, lessor)
	}
	if found.lessor == nil && len(lessors.Own) > 0 {
		found.lessor = berylslot.NewLessor(now, node.self, id, node.options.Lessor)
	}
	if found.lessor != nil {
		found.lessor.SetTargets(now, lessors.Own)
	}
}

// removeService drops a service that is no longer declared and refuses its waiting
// requests. Running requests finish normally.
func (node *Node) removeService(now time.Time, service *service) {
	for id, request := range node.waiting {
		if request.Service == service.id {
			node.refuse(now, id, berylspoke.ReasonUnknownService, 0)
		}
	}
	delete(node.services, service.id)
}

// dropDeadPeers revokes the slots leased to dead entry daemons and drops the leases of
// dead lessors.
func (node *Node) dropDeadPeers(live []berylspoke.VMID) {
	alive := make(map[berylspoke.VMID]bool, len(live))
	for _, vm := range live {
		alive[vm] = true
	}
	for _, member := range node.table.Members() {
		if alive[member.VM.ID] || member.Rumour.Leaving {
			continue
		}
		for _, service := range node.services {
			service.holder.ExpireLessor(member.VM.ID)
			if service.lessor != nil {
				service.lessor.RemoveHolder(member.VM.ID)
			}
		}
	}
}

// activeLessors returns the lessors that this entry daemon requests slots from now: a few
// in its own region, and some in other regions while requests may go there.
func (node *Node) activeLessors(now time.Time, service *service) berylslot.Lessors {
	if now.Sub(service.rotated) > rotationInterval {
		service.rotated = now
		service.round++
	}
	lessors := berylslot.Lessors{
		Local: berylroute.SelectLessors(service.lessors.Local, node.options.MaxLessors, service.round),
		// Newcomers are reported with a tag lower by the slack. This alone must not
		// send them over the link between regions, which is paid by volume.
		Margin: node.options.CrossMargin + node.options.Lessor.Slack,
	}
	if len(service.lessors.Local) == 0 {
		lessors.Margin = 0
	}
	if node.mayCrossRegions(now, service) {
		lessors.Remote = berylroute.SelectLessors(service.lessors.Remote, maxRemoteLessors, service.round)
	}
	return lessors
}

const (
	// rotationInterval is the time between two changes of the last lessor of the window.
	rotationInterval = 10 * time.Second
	// maxRemoteLessors bounds the lessors in other regions that are asked for slots.
	maxRemoteLessors = 2
)

// mayCrossRegions reports whether requests may go to another region. Traffic between
// regions is paid by volume, so only a lasting shortage justifies it.
func (node *Node) mayCrossRegions(now time.Time, service *service) bool {
	if len(service.lessors.Local) == 0 {
		return true
	}
	if service.queue.Waiting() == 0 {
		service.backlogged = time.Time{}
		return false
	}
	if service.backlogged.IsZero() {
		service.backlogged = now
	}
	return now.Sub(service.backlogged) >= node.options.CrossAfter && node.crossBudget.Remaining(now) > 0
}

// isRemote reports whether a target is in another region.
func (node *Node) isRemote(target berylspoke.TargetID) bool {
	domain := node.Declarations().Targets[target].FailureDomain
	return node.Declarations().Region(domain) != node.Declarations().Region(node.options.VM.FailureDomain)
}

// Resolve returns the addresses that an organisation's callers should use, best first,
// and a ticket for non-idempotent requests at this daemon.
func (node *Node) Resolve(organisation berylspoke.OrganisationID) ([]string, berylticket.Ticket) {
	share := 0.0
	if node.totalWeight > 0 {
		share = float64(node.Declarations().Organisations[organisation].Weight) / node.totalWeight
	}
	var addresses []string
	for _, vm := range berylroute.EntryVMs(node.fleet, organisation, share) {
		if member := node.table.Member(vm); member != nil {
			addresses = append(addresses, member.VM.CallAddress)
		}
	}
	return addresses, node.owner.Mint(node.chooseWitness())
}

// chooseWitness prefers a daemon in another failure domain of the same region, then one in
// any other failure domain, then one on any other VM. The choice is stable, so that
// permits need only one connection.
func (node *Node) chooseWitness() berylspoke.Process {
	var best berylspoke.Process
	bestRank := -1
	for _, vm := range berylroute.RankVMs("witness of "+string(node.self.VM), node.table.Live()) {
		incarnation := node.table.Incarnation(vm)
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

// ignoresLeases reports whether the policy starts requests without leased slots.
func (node *Node) ignoresLeases() bool { return node.options.Policy == berylshare.FirstCome }
