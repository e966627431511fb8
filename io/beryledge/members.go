package beryledge

// This file defines how the membership is kept up and told to the rest.

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylmember"
)

// syncMembers asks a seed, or a peer in turn, for all members it knows. Rumours
// are told only a few times, so what was lost on the way is made up for here.
func (core *core) syncMembers(now time.Time) {
	every := syncEvery
	others := core.others()
	if len(others) == 0 {
		every = joinEvery
	}
	if now.Sub(core.synced) < every {
		return
	}
	core.synced = now
	targets := core.daemon.settings.Seeds
	if len(others) > 0 {
		turn := int(now.UnixNano()/int64(syncEvery)) % len(others)
		targets = others[turn : turn+1]
	}
	for _, to := range targets {
		if to != core.daemon.settings.VM {
			core.daemon.transport.Send(to, core.table.Sync())
		}
	}
}

// others returns the live peers that have been heard of by themselves.
func (core *core) others() []berylspoke.VMID {
	var others []berylspoke.VMID
	for _, vm := range core.table.Live() {
		if vm != core.daemon.settings.VM && core.table.Known(vm) != 0 {
			others = append(others, vm)
		}
	}
	return others
}

// refreshMembers publishes the membership where it changed.
func (core *core) refreshMembers(now time.Time) {
	fresh := newEntries(core.table)
	if old := core.daemon.entries.Load(); old.equal(fresh) {
		return
	}
	core.daemon.entries.Store(fresh)
	if core.daemon.transport != nil {
		core.daemon.transport.Relink()
	}
	for _, feed := range core.feeds {
		// With all watchers cut off, the others ask the store after their patience.
		feed.SetPatience(core.daemon.fedPatience() + answerWithin)
	}
	live := len(core.table.Live())
	core.gate.SetDaemons(now, live)
	core.gate.SetVMs(now, fresh.domains)
	// The same daemons watch all feeds: one in contact on one feed only could not
	// tell the others that it has all news.
	chosen := berylmember.Ranked("watcher", core.table.Live(), watchers)
	core.daemon.watcher.Store(slices.Contains(chosen, core.daemon.settings.VM))
	core.daemon.log.Info("members changed", zap.Int("live", live), zap.Int("entries", fresh.count()))
}
