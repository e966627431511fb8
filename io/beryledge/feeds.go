package beryledge

// This file defines how changes of the published items arrive and are applied.

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylcatalog"
	"berylspoke/core/berylfeed"
)

// compareFeeds pulls changes from a peer if the store did not deliver them here in time:
// the store may reject calls of this VM while it serves others.
func (core *core) compareFeeds(now time.Time, from berylspoke.VMID, revisions []berylspoke.Revision) {
	for name, revision := range revisions[:min(len(revisions), len(core.feeds))] {
		feed := core.feeds[name]
		if feed.Known() && revision <= feed.AsOf() || revision == 0 {
			core.behindSince[name] = time.Time{}
			continue
		}
		// All links report the same change within milliseconds, and a daemon that pulled
		// it from each of them would receive it eight times.
		first := core.behindSince[name].IsZero()
		if first {
			core.behindSince[name] = now
		}
		if now.Sub(core.behindSince[name]) >= pullDelay || first && !core.daemon.watcher.Load() {
			core.behindSince[name] = now
			core.daemon.transport.Send(from, berylfeed.Pull{Feed: berylfeed.Name(name), After: feed.AsOf()})
		}
	}
}

func (core *core) mergeDelta(now time.Time, from berylspoke.VMID, delta berylfeed.Delta) {
	feed := core.feeds[delta.Feed]
	if feed.Merge(now, delta) {
		// The daemons that receive this one's reports have waited for the change already.
		core.lastReport = time.Time{}
		core.daemon.log.Info("received changes from a peer", zap.String("peer", string(from)),
			zap.Uint8("feed", uint8(delta.Feed)), zap.Uint64("asOf", uint64(delta.AsOf)), zap.Int("changes", len(delta.Changes)))
		core.refreshFeed(now, delta.Feed)
	}
}

func (core *core) applyStoreAnswer(now time.Time, message storeAnswer) {
	feed := core.feeds[message.feed]
	if feed.Answered(now) {
		core.daemon.log.Info("store is reachable again", zap.Uint8("feed", uint8(message.feed)), zap.Uint64("asOf", uint64(message.asOf)))
	}
	change := feed.ApplyChanges
	if message.full {
		change = feed.Replace
	}
	if change(now, message.items, message.asOf) {
		core.refreshFeed(now, message.feed)
		// The peers that do not watch learn of it with the next tick.
		core.lastReport = time.Time{}
	}
	core.publish(message.feed)
}

// publish tells the readers of the store which revision to continue after.
func (core *core) publish(name berylfeed.Name) {
	core.daemon.revisions[name].Store(uint64(core.feeds[name].AsOf()))
	core.daemon.known[name].Store(core.feeds[name].Known())
}

func (core *core) refreshFeed(now time.Time, name berylfeed.Name) {
	core.publish(name)
	if name == berylfeed.Configuration {
		core.refreshCatalog(now)
		core.refreshEvacuated(now)
	} else {
		core.refreshTargets(now)
	}
	core.announce()
}

// refreshEvacuated applies the list of failure domains that operators evacuate.
func (core *core) refreshEvacuated(now time.Time) {
	items, _ := core.feeds[berylfeed.Configuration].Items(now)
	evacuated := make(map[berylspoke.FailureDomain]bool)
	for _, domain := range core.daemon.dialect.Evacuated(items) {
		evacuated[domain] = true
	}
	if maps.Equal(evacuated, core.evacuated) {
		return
	}
	core.evacuated = evacuated
	core.daemon.log.Info("evacuated failure domains changed", zap.Any("emptied", slices.Sorted(maps.Keys(evacuated))))
	core.refreshTargets(now)
}

// refreshCatalog applies the newest configuration; one that cannot be decoded or that is
// older than the one in force changes nothing.
func (core *core) refreshCatalog(now time.Time) {
	items, _ := core.feeds[berylfeed.Configuration].Items(now)
	catalog, err := core.daemon.dialect.Catalog(items)
	if err != nil || catalog == nil {
		core.daemon.log.Warn("no usable configuration is published", cause(err))
		return
	}
	if old := core.daemon.index.Load(); old != nil && old.Catalog().Version >= catalog.Version {
		return
	}
	core.gate.SetCatalog(now, catalog)
	core.daemon.index.Store(berylcatalog.New(catalog))
	core.daemon.log.Info("configuration in force", zap.Uint64("version", uint64(catalog.Version)),
		zap.Uint64("asOf", uint64(core.feeds[berylfeed.Configuration].AsOf())),
		zap.Int("routes", len(catalog.Routes)), zap.Int("organisations", len(catalog.Organisations)))
}

func (core *core) refreshTargets(now time.Time) {
	items, next := core.feeds[berylfeed.Targets].Items(now)
	core.graceEnd = next
	targets := make([]berylspoke.Target, 0, len(items))
	accepting := make(map[berylspoke.TargetID]bool, len(items))
	for _, item := range items {
		target, err := core.daemon.dialect.Target(item)
		if err != nil {
			core.daemon.log.Debug("ignoring a published item that names no target", cause(err))
			continue
		}
		target.Draining = target.Draining || core.evacuated[target.FailureDomain]
		if !target.Draining {
			accepting[target.ID] = true
		}
		targets = append(targets, target)
	}
	core.daemon.accepting.Store(&accepting)
	core.gate.SetTargets(now, targets)
	core.daemon.log.Info("targets changed", zap.Int("targets", len(targets)), zap.Int("leaving", len(targets)-len(accepting)),
		zap.Uint64("asOf", uint64(core.feeds[berylfeed.Targets].AsOf())))
}

// announce announces this daemon as ready for callers' requests once it knows the
// configuration and the targets.
func (core *core) announce() {
	daemon := core.daemon
	if daemon.ready.Load() || daemon.index.Load() == nil || !core.feeds[berylfeed.Targets].Known() {
		return
	}
	daemon.ready.Store(true)
	core.table.Announce(daemon.settings.CallersAddress, daemon.settings.Capacity)
	daemon.log.Info("ready for callers")
}
