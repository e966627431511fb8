package beryledge

// This file defines how the membership is synchronised and applied.

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylmember"
)

// syncMembers asks the seeds, or one peer in turn, for all members they know. Rumours
// are sent only a few times, so this makes up for those that were lost.
func (core *core) syncMembers(now time.Time) {
	sinceSync := now.Sub(core.lastSync)
	if sinceSync < joinInterval {
		return
	}
	peers := core.membership().peers
	if len(peers) > 0 && sinceSync < syncInterval {
		return
	}
	core.lastSync = now
	receivers := core.daemon.settings.Seeds
	if len(peers) > 0 {
		receivers = []berylspoke.VMID{syncPeer(now, core.daemon.settings.VM, peers)}
	}
	for _, receiver := range receivers {
		if receiver != core.daemon.settings.VM {
			core.daemon.transport.Send(receiver, core.table.Sync())
		}
	}
}

// syncPeer returns the peer that a daemon asks in its turn for all members. The turns of
// daemons differ: while members change, the answer holds all of them.
func syncPeer(now time.Time, self berylspoke.VMID, peers []berylspoke.VMID) berylspoke.VMID {
	turn := uint64(now.UnixNano()/int64(syncInterval)) + xxhash.Sum64String(string(self))
	return peers[turn%uint64(len(peers))]
}

// membership is what the daemon derives from one version of the membership table.
type membership struct {
	version uint64
	// peers are the live peers whose incarnation is known, links those among them that
	// reports go to.
	peers, links []berylspoke.VMID
	// byDomain are the live daemons by failure domain, and collectors those that sum up the
	// usage of each.
	byDomain, collectors map[berylspoke.FailureDomain][]berylspoke.VMID
}

func newMembership(table *berylmember.Table, self berylspoke.VMID) *membership {
	members := &membership{
		version:  table.Version(),
		byDomain: make(map[berylspoke.FailureDomain][]berylspoke.VMID), collectors: make(map[berylspoke.FailureDomain][]berylspoke.VMID),
	}
	for _, vm := range table.Live() {
		if vm != self && table.Incarnation(vm) != 0 {
			members.peers = append(members.peers, vm)
		}
		domain := table.Member(vm).VM.FailureDomain
		members.byDomain[domain] = append(members.byDomain[domain], vm)
	}
	for domain, vms := range members.byDomain {
		members.collectors[domain] = collectorsOf(table, vms)
	}
	members.links = members.peers
	if len(members.peers) > berylgate.MaxFullMeshPeers {
		members.links = table.Links()
	}
	return members
}

// membership returns what follows from the membership table. In a large fleet it follows the table
// at intervals, as refreshMembers applies it.
func (core *core) membership() *membership {
	if core.members == nil || core.members.version != core.table.Version() && !core.gate.LargeFleet() {
		core.members = newMembership(core.table, core.daemon.settings.VM)
	}
	return core.members
}

// refreshMembers applies the membership to everything that depends on it if it changed.
func (core *core) refreshMembers(now time.Time) {
	old := core.daemon.entries.Load()
	if core.appliedMembers == core.table.Version() && !old.outdated(now) {
		return
	}
	if core.gate.LargeFleet() && now.Sub(core.membersApplied) < largeFleetMembersInterval {
		return
	}
	core.appliedMembers, core.membersApplied = core.table.Version(), now
	if core.members == nil || core.members.version != core.appliedMembers {
		core.members = newMembership(core.table, core.daemon.settings.VM)
	}
	started := core.startedPeers()
	core.quarantine.SetMembers(core.table.Live(), started)
	if fresh := newEntries(now, core.table); !old.equal(fresh) {
		core.applyEntries(now, fresh)
	}
	core.daemon.origins.tellStarted(started)
}

// startedPeers returns the peers of which another run is known than when it last returned.
func (core *core) startedPeers() []berylspoke.VMID {
	var started []berylspoke.VMID
	incarnations := make(map[berylspoke.VMID]berylspoke.Incarnation)
	for _, vm := range core.membership().peers {
		incarnations[vm] = core.table.Incarnation(vm)
		if incarnations[vm] != core.incarnations[vm] {
			started = append(started, vm)
		}
	}
	core.incarnations = incarnations
	return started
}

// applyEntries applies other entries.
func (core *core) applyEntries(now time.Time, fresh *entries) {
	core.daemon.entries.Store(fresh)
	if core.daemon.transport != nil {
		core.daemon.transport.UpdateLinks()
	}
	for _, feed := range core.feeds {
		// If no watcher can reach the store, the others read it after this time.
		feed.SetOutageThreshold(core.daemon.contactAgeLimit() + firstAnswerDelay)
	}
	live := len(core.table.Live())
	core.gate.SetDaemons(now, live)
	core.gate.SetVMs(now, fresh.domains)
	core.recheckTargets(now)
	// The same daemons watch all feeds: a daemon that watches only one feed could not
	// report to the others that it has all changes.
	watchers := berylmember.Ranked("watcher", core.table.Live(), watcherCount)
	core.daemon.watcher.Store(slices.Contains(watchers, core.daemon.settings.VM))
	core.daemon.regionRank.Store(int64(core.rankInRegion(fresh)))
	core.daemon.log.Info("membership changed", zap.Int("live", live), zap.Int("entries", fresh.count()))
}

// rankInRegion returns the rank of this daemon among the live daemons of its region.
func (core *core) rankInRegion(entries *entries) int {
	settings := core.daemon.settings
	var sameRegion []berylspoke.VMID
	for vm, domain := range entries.domains {
		if settings.RegionOf[domain] == settings.Region {
			sameRegion = append(sameRegion, vm)
		}
	}
	return max(slices.Index(berylmember.Ranked("gateway", sameRegion, len(sameRegion)), settings.VM), 0)
}
