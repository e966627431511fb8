package beryledge

// This file defines how news of the published items come and are put in force.

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylcatalog"
	"berylspoke/core/berylfeed"
)

// compare asks a peer for news that the store did not bring here in time: the
// store may turn this VM away while it serves others.
func (core *core) compare(now time.Time, from berylspoke.VMID, theirs []berylspoke.Revision) {
	for name, revision := range theirs[:min(len(theirs), len(core.feeds))] {
		feed := core.feeds[name]
		if feed.Known() && revision <= feed.AsOf() || revision == 0 {
			core.behind[name] = time.Time{}
			continue
		}
		// All links tell of the same news within milliseconds, and a daemon that
		// pulled it from each would get it eight times over.
		first := core.behind[name].IsZero()
		if first {
			core.behind[name] = now
		}
		if now.Sub(core.behind[name]) >= behindFor || first && !core.daemon.watcher.Load() {
			core.behind[name] = now
			core.daemon.transport.Send(from, berylfeed.Pull{Feed: berylfeed.Name(name), After: feed.AsOf()})
		}
	}
}

func (core *core) merge(now time.Time, from berylspoke.VMID, delta berylfeed.Delta) {
	feed := core.feeds[delta.Feed]
	if feed.Merge(now, delta) {
		// Those that hear from this daemon have waited for it already.
		core.reported = time.Time{}
		core.daemon.log.Info("news from a peer", zap.String("peer", string(from)),
			zap.Uint8("feed", uint8(delta.Feed)), zap.Uint64("asOf", uint64(delta.AsOf)), zap.Int("changes", len(delta.Changes)))
		core.refresh(now, delta.Feed)
	}
}

func (core *core) fromStore(now time.Time, message fromStore) {
	feed := core.feeds[message.feed]
	if feed.Answered(now) {
		core.daemon.log.Info("store regained", zap.Uint8("feed", uint8(message.feed)), zap.Uint64("asOf", uint64(message.asOf)))
	}
	change := feed.Change
	if message.full {
		change = feed.Replace
	}
	if change(now, message.items, message.asOf) {
		core.refresh(now, message.feed)
		// The peers that do not watch hear of it with the next tick.
		core.reported = time.Time{}
	}
	core.publish(message.feed)
}

// publish tells the readers of the store where to go on.
func (core *core) publish(name berylfeed.Name) {
	core.daemon.revisions[name].Store(uint64(core.feeds[name].AsOf()))
	core.daemon.known[name].Store(core.feeds[name].Known())
}

func (core *core) refresh(now time.Time, name berylfeed.Name) {
	core.publish(name)
	if name == berylfeed.Configuration {
		core.refreshCatalog(now)
		core.refreshEmptied(now)
	} else {
		core.refreshTargets(now)
	}
	core.announce()
}

// refreshEmptied takes which failure domains are to be emptied.
func (core *core) refreshEmptied(now time.Time) {
	items, _ := core.feeds[berylfeed.Configuration].Items(now)
	emptied := make(map[berylspoke.FailureDomain]bool)
	for _, domain := range core.daemon.dialect.Emptied(items) {
		emptied[domain] = true
	}
	if maps.Equal(emptied, core.emptied) {
		return
	}
	core.emptied = emptied
	core.daemon.log.Info("failure domains to be emptied changed", zap.Any("emptied", slices.Sorted(maps.Keys(emptied))))
	core.refreshTargets(now)
}

// refreshCatalog puts the newest configuration in force; one that cannot be
// read, or an older one, changes nothing.
func (core *core) refreshCatalog(now time.Time) {
	items, _ := core.feeds[berylfeed.Configuration].Items(now)
	catalog, err := core.daemon.dialect.Catalog(items)
	if err != nil || catalog == nil {
		core.daemon.log.Warn("configuration not usable", cause(err))
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
	core.regrace = next
	targets := make([]berylspoke.Target, 0, len(items))
	taking := make(map[berylspoke.TargetID]bool, len(items))
	for _, item := range items {
		target, err := core.daemon.dialect.Target(item)
		if err != nil {
			core.daemon.log.Debug("target ignored", cause(err))
			continue
		}
		target.Leaving = target.Leaving || core.emptied[target.FailureDomain]
		if !target.Leaving {
			taking[target.ID] = true
		}
		targets = append(targets, target)
	}
	core.daemon.taking.Store(&taking)
	core.gate.SetTargets(now, targets)
	core.daemon.log.Info("targets changed", zap.Int("targets", len(targets)), zap.Int("leaving", len(targets)-len(taking)),
		zap.Uint64("asOf", uint64(core.feeds[berylfeed.Targets].AsOf())))
}

// announce tells the fleet that callers may come, once this daemon knows where
// their requests go.
func (core *core) announce() {
	daemon := core.daemon
	if daemon.ready.Load() || daemon.index.Load() == nil || !core.feeds[berylfeed.Targets].Known() {
		return
	}
	daemon.ready.Store(true)
	core.table.Announce(daemon.settings.Callers, daemon.settings.Capacity)
	daemon.log.Info("ready for callers")
}
