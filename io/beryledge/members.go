package beryledge

// This file defines how the membership is synchronised and applied.

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylmember"
)

// syncMembers asks the seeds, or one peer in turn, for all members they know. Rumours
// are sent only a few times, so this makes up for those that were lost.
func (core *core) syncMembers(now time.Time) {
	interval := syncInterval
	peers := core.livePeers()
	if len(peers) == 0 {
		interval = joinInterval
	}
	if now.Sub(core.lastSync) < interval {
		return
	}
	core.lastSync = now
	receivers := core.daemon.settings.Seeds
	if len(peers) > 0 {
		turn := int(now.UnixNano()/int64(syncInterval)) % len(peers)
		receivers = peers[turn : turn+1]
	}
	for _, receiver := range receivers {
		if receiver != core.daemon.settings.VM {
			core.daemon.transport.Send(receiver, core.table.Sync())
		}
	}
}

// livePeers returns the live peers whose incarnation is known.
func (core *core) livePeers() []berylspoke.VMID {
	var peers []berylspoke.VMID
	for _, vm := range core.table.Live() {
		if vm != core.daemon.settings.VM && core.table.Incarnation(vm) != 0 {
			peers = append(peers, vm)
		}
	}
	return peers
}

// refreshMembers applies the membership to everything that depends on it if it changed.
func (core *core) refreshMembers(now time.Time) {
	fresh := newEntries(core.table)
	if old := core.daemon.entries.Load(); old.equal(fresh) {
		return
	}
	core.daemon.entries.Store(fresh)
	core.quarantine.SendAgain()
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
