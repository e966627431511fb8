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
	"berylspoke/core/berylgate"
	"berylspoke/io/berylpeer"
)

// compareFeeds pulls the changes that a peer has and this daemon lacks: the store may
// reject calls of this VM while it serves others.
func (core *core) compareFeeds(now time.Time, from berylspoke.VMID, positions []berylspoke.Position) {
	remote := core.daemon.Link(from) == berylpeer.AcrossRegions
	for name, position := range positions[:min(len(positions), len(core.feeds))] {
		feed := core.feeds[name]
		if feed.Known() && !position.After(feed.AsOf()) || position == (berylspoke.Position{}) {
			continue
		}
		core.pullers[name].Offer(now, from, remote, position)
	}
	core.pullChanges(now)
}

const (
	// minVersionPullPause is the time between the first two pulls of a later configuration;
	// it doubles with each, up to maxVersionPullPause.
	minVersionPullPause = time.Second
	maxVersionPullPause = time.Minute
)

// versionPull is when the configuration may be pulled again for its version, and the pause
// after that.
type versionPull struct {
	next  time.Time
	pause time.Duration
}

// compareVersions pulls the configuration of a peer that has a later version in force though
// this daemon knows all that the store says: the store returned from a copy that lacks it.
func (core *core) compareVersions(now time.Time, from berylspoke.VMID, report berylgate.Report) {
	feed := core.feeds[berylfeed.Configuration]
	if report.Version <= core.version() {
		return
	}
	if !feed.Known() || len(report.Feeds) == 0 || report.Feeds[berylfeed.Configuration].After(feed.AsOf()) || now.Before(core.versionPull.next) {
		return
	}
	core.versionPull.pause = min(max(2*core.versionPull.pause, minVersionPullPause), maxVersionPullPause)
	core.versionPull.next = now.Add(core.versionPull.pause)
	core.daemon.log.Info("pulling a later configuration than the store holds", zap.String("peer", string(from)),
		zap.Uint64("version", uint64(report.Version)), zap.Uint64("inForce", uint64(core.version())), era(feed.AsOf()), revision(feed.AsOf()))
	core.daemon.transport.Send(from, berylfeed.Pull{Feed: berylfeed.Configuration})
}

// version returns the version of the configuration in force, zero if there is none.
func (core *core) version() berylspoke.ConfigVersion {
	if index := core.daemon.index.Load(); index != nil {
		return index.Catalog().Version
	}
	return 0
}

// pullChanges sends the pulls that are due.
func (core *core) pullChanges(now time.Time) {
	delay := time.Duration(0)
	if core.daemon.watcher.Load() {
		delay = pullDelay
	}
	rank := int(core.daemon.regionRank.Load())
	for name := range core.pullers {
		if from, due := core.pullers[name].Next(now, rank, delay); due {
			core.pull(now, berylfeed.Name(name), from)
		}
	}
}

// pull asks a peer for the changes that a feed lacks.
func (core *core) pull(now time.Time, name berylfeed.Name, from berylspoke.VMID) {
	asOf := core.feeds[name].AsOf()
	link := core.daemon.Link(from)
	core.daemon.meters.pulls[link].Inc()
	core.pulledAt[name] = now
	core.daemon.log.Info("pulling changes from a peer", zap.String("peer", string(from)), zap.Stringer("link", link),
		zap.Uint8("feed", uint8(name)), era(asOf), revision(asOf))
	core.daemon.transport.Send(from, berylfeed.Pull{Feed: name, After: asOf})
}

func (core *core) mergeDelta(now time.Time, from berylspoke.VMID, delta berylfeed.Delta) {
	feed := core.feeds[delta.Feed]
	link := core.daemon.Link(from)
	core.daemon.meters.pulledBytes[link].Add(delta.Bytes())
	before := feed.AsOf()
	changed := feed.Merge(now, delta)
	core.logEra(now, delta.Feed, before, string(from))
	core.publishPosition(now, delta.Feed)
	if changed {
		// The next tick sends a report: the daemons that receive it have already waited
		// for the change.
		core.lastReport = time.Time{}
		core.daemon.log.Info("received changes from a peer", zap.String("peer", string(from)),
			zap.Uint8("feed", uint8(delta.Feed)), era(delta.AsOf), revision(delta.AsOf), zap.Int("changes", len(delta.Changes)),
			zap.Stringer("link", link), zap.Int("bytes", delta.Bytes()), zap.Int64("after", now.Sub(core.pulledAt[delta.Feed]).Milliseconds()))
		core.refreshFeed(now, delta.Feed)
	}
}

func (core *core) applyStoreAnswer(now time.Time, message storeAnswer) {
	feed := core.feeds[message.feed]
	answered := now.Add(-core.heldUp(now))
	core.currency.Confirm(message.feed, answered)
	if feed.Answered(answered) {
		core.daemon.log.Info("store is reachable again", zap.Uint8("feed", uint8(message.feed)), era(message.asOf), revision(message.asOf))
	}
	change := feed.ApplyChanges
	if message.full {
		change = feed.Replace
	}
	before := feed.AsOf()
	changed := change(now, message.items, message.asOf)
	core.logEra(now, message.feed, before, "store")
	if changed {
		core.refreshFeed(now, message.feed)
		// The next tick reports the change to the peers that do not watch the store.
		core.lastReport = time.Time{}
	}
	core.publishPosition(now, message.feed)
}

// logEra logs that a feed has entered another era of the store, and what it keeps against the
// copy from which the store returned.
func (core *core) logEra(now time.Time, name berylfeed.Name, before berylspoke.Position, source string) {
	feed := core.feeds[name]
	if feed.AsOf().Era == before.Era || before == (berylspoke.Position{}) {
		return
	}
	kept := feed.Kept(now)
	core.daemon.log.Info("replica entered another era of the store", zap.Uint8("feed", uint8(name)), era(feed.AsOf()), revision(feed.AsOf()),
		zap.Uint64("before", uint64(before.Era)), zap.Uint64("known", uint64(before.Revision)), zap.String("from", source),
		zap.Int("carried", kept.Carried), zap.Int("withheld", kept.Withheld), zap.Int("inGrace", kept.InGrace))
}

// publishCurrency sets the times as of which the feeds are complete.
func (core *core) publishCurrency() {
	for name := range core.feeds {
		if at := core.currency.CompleteAsOf(berylfeed.Name(name)); !at.IsZero() {
			core.daemon.completeAsOf[name].Store(at.UnixNano())
		}
	}
}

// logReplicaAges logs each feed whose replica becomes older than a daemon may rely on, and
// its return.
func (core *core) logReplicaAges(now time.Time) {
	for name, feed := range core.feeds {
		if !feed.Known() {
			continue
		}
		age := core.daemon.replicaAge(berylfeed.Name(name), now)
		old := age > core.daemon.contactAgeLimit()
		if old == core.oldReplica[name] {
			continue
		}
		core.oldReplica[name] = old
		text := "replica of the store is recent again"
		if old {
			text = "replica of the store is old"
		}
		core.daemon.log.Info(text, zap.Uint8("feed", uint8(name)), zap.Int64("age", age.Milliseconds()),
			zap.Int64("contact", now.Sub(core.contacts.Newest()).Milliseconds()), era(feed.AsOf()), revision(feed.AsOf()))
	}
}

// replicaAge returns the time since a feed was last known to be complete, or since the
// daemon's start if it never was.
func (daemon *Daemon) replicaAge(name berylfeed.Name, now time.Time) time.Duration {
	if at := daemon.completeAsOf[name].Load(); at != 0 {
		return now.Sub(time.Unix(0, at))
	}
	return now.Sub(daemon.started)
}

// publishPosition sets the position after which the readers of the store continue, and
// tells the puller and the currency how far a feed has come.
func (core *core) publishPosition(now time.Time, name berylfeed.Name) {
	asOf := core.feeds[name].AsOf()
	if asOf.After(core.daemon.position(name)) {
		core.pullers[name].Advance(now, asOf)
		core.daemon.replicaBytes[name].Store(int64(core.feeds[name].Bytes()))
	}
	core.daemon.positions[name].Store(&asOf)
	core.daemon.known[name].Store(core.feeds[name].Known())
	core.currency.Advance(core.feeds)
	core.publishCurrency()
}

func (core *core) refreshFeed(now time.Time, name berylfeed.Name) {
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
	items, next := core.feeds[berylfeed.Configuration].Items(now)
	core.evacuationsDue = next
	evacuated := make(map[berylspoke.FailureDomain]bool)
	for _, domain := range core.daemon.dialect.Evacuated(items) {
		evacuated[domain] = true
	}
	if maps.Equal(evacuated, core.evacuated) {
		return
	}
	core.evacuated = evacuated
	core.daemon.log.Info("evacuated failure domains changed", zap.Any("emptied", slices.Sorted(maps.Keys(evacuated))))
	for _, target := range core.published {
		core.setTarget(now, target)
	}
}

// refreshCatalog applies the newest configuration. One that cannot be decoded, or that is
// not newer than the one in force, is ignored.
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
	core.versionPull = versionPull{}
	core.gate.SetCatalog(now, catalog)
	core.daemon.index.Store(berylcatalog.New(catalog))
	core.daemon.log.Info("configuration in force", zap.Uint64("version", uint64(catalog.Version)),
		era(core.feeds[berylfeed.Configuration].AsOf()), revision(core.feeds[berylfeed.Configuration].AsOf()),
		zap.Int("routes", len(catalog.Routes)), zap.Int("organisations", len(catalog.Organisations)))
}

// refreshTargets applies the changes of the published targets.
func (core *core) refreshTargets(now time.Time) {
	items, next := core.feeds[berylfeed.Targets].TakeChanges(now)
	core.graceEnd = next
	for _, item := range items {
		core.applyTarget(now, item)
	}
	if len(items) > 0 {
		core.logTargets(len(items))
	}
}

// applyTarget applies a change of one published item.
func (core *core) applyTarget(now time.Time, item berylspoke.Item) {
	old, known := core.published[item.Key]
	target, err := berylspoke.Target{}, error(nil)
	if !item.Deleted {
		target, err = core.target(item)
	}
	if err != nil {
		core.recordUnusable(item, err)
	} else {
		core.forgetUnusable(item.Key)
	}
	gone := item.Deleted || err != nil
	if known && (gone || old.Run() != target.Run()) {
		if core.gate.Leaving(old.Run()) {
			core.daemon.log.Info("target that leaves is no longer published", zap.String("target", string(old.ID)), zap.Int64("started", old.Started))
		}
		core.daemon.sendable.set(old.Run(), false)
		core.gate.RemoveTarget(old.ID)
		core.daemon.origins.removeTarget(now, old.ID)
		delete(core.published, item.Key)
	}
	if !gone {
		core.published[item.Key] = target
		core.gate.HoldBuild(target.Build(), core.daemon.origins.setTarget(now, target))
		core.setTarget(now, target)
	}
}

// setTarget passes a published target on to those that use it.
func (core *core) setTarget(now time.Time, target berylspoke.Target) {
	target.Draining = target.Draining || core.evacuated[target.FailureDomain] || core.gate.Leaving(target.Run())
	core.daemon.sendable.set(target.Run(), !target.Draining)
	core.gate.SetTarget(now, target)
}

func (core *core) logTargets(changed int) {
	core.daemon.log.Info("targets changed", zap.Int("changed", changed), zap.Int("targets", len(core.published)),
		era(core.feeds[berylfeed.Targets].AsOf()), revision(core.feeds[berylfeed.Targets].AsOf()))
}

// position returns the position up to which a feed is complete.
func (daemon *Daemon) position(name berylfeed.Name) berylspoke.Position {
	if position := daemon.positions[name].Load(); position != nil {
		return *position
	}
	return berylspoke.Position{}
}

// era and revision return the log fields of a position.
func era(position berylspoke.Position) zap.Field { return zap.Uint64("era", uint64(position.Era)) }

func revision(position berylspoke.Position) zap.Field {
	return zap.Uint64("asOf", uint64(position.Revision))
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
