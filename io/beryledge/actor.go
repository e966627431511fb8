package beryledge

// This file defines the actor that owns what decides.

import (
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylcatalog"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylmember"
)

const (
	// tickEvery is the time between two ticks of the core.
	tickEvery = 50 * time.Millisecond
	// sweepEvery is the time between two looks for idle connections.
	sweepEvery = 500 * time.Millisecond
	// reportEvery is the time between two reports to peers. What a daemon does
	// not know of the others' dispatches is half of this on average.
	reportEvery = 200 * time.Millisecond
	// reportSampled is the same in a large fleet, where engines' own word counts
	// and the rates of organisations change slowly.
	reportSampled = 400 * time.Millisecond
	// syncEvery is the time between two full exchanges of the membership with a
	// seed or a peer.
	syncEvery = 5 * time.Second
	// joinEvery is the same while no peer is known.
	joinEvery = 300 * time.Millisecond
	// behindFor is how long a peer's news may be missing at a watcher before it
	// asks for them: the store tells both at about the same time.
	behindFor = 250 * time.Millisecond
	// contactUnknown is told where no contact with the store is known of.
	contactUnknown = time.Hour
	// pauseAfter is the gap between ticks that shows that the process slept.
	pauseAfter = time.Second
)

// The messages of the actor.
type (
	tick     struct{}
	fromPeer struct {
		from     berylspoke.VMID
		messages []berylspoke.Message
	}
	submit struct {
		request  *berylgate.Request
		decision chan berylgate.Decision
	}
	began struct {
		request *berylgate.Request
		load    *berylspoke.EngineLoad
	}
	ended struct {
		request *berylgate.Request
		outcome berylgate.Outcome
	}
	timedWay struct {
		target berylspoke.TargetID
		taken  time.Duration
	}
	// fromStore is what a list or a watch of the store returned.
	fromStore struct {
		feed  berylfeed.Name
		items []berylspoke.Item
		asOf  berylspoke.Revision
		full  bool
	}
	storeFailed struct {
		feed berylfeed.Name
		err  error
	}
	// inspect runs a function on the core.
	inspect struct {
		look func(now time.Time, core *core)
		done chan struct{}
	}
)

// core is the actor.
type core struct {
	daemon  *Daemon
	gate    *berylgate.Gate
	table   *berylmember.Table
	feeds   [berylfeed.Count]*berylfeed.Feed
	behind  [berylfeed.Count]time.Time
	regrace time.Time
	ticked  time.Time
	// withdrawn is until when callers are not told of this daemon.
	withdrawn time.Time
	reported  time.Time
	synced    time.Time
}

var _ actor.Actor = (*core)(nil)

func newCore(now time.Time, daemon *Daemon) *core {
	settings := daemon.settings
	options := berylmember.DefaultOptions()
	options.Open = true
	vm := berylspoke.VM{ID: settings.VM, FailureDomain: settings.FailureDomain}
	core := &core{
		daemon: daemon,
		gate: berylgate.New(berylgate.Options{
			VM: settings.VM, Incarnation: daemon.incarnation, Region: settings.Region, RegionOf: settings.RegionOf,
			RetryRatio: settings.RetryRatio, RetrySlack: settings.RetrySlack,
		}),
		table:  berylmember.NewTable(now, vm, daemon.incarnation, options),
		ticked: now,
	}
	core.table.Join(now, settings.Seeds)
	for name := range core.feeds {
		core.feeds[name] = berylfeed.New()
	}
	return core
}

// Receive implements actor.Actor.
func (core *core) Receive(context actor.Context) {
	now := time.Now()
	switch message := context.Message().(type) {
	case submit:
		message.decision <- core.gate.Submit(now, message.request)
	case began:
		core.gate.Began(now, message.request, message.load)
	case ended:
		core.gate.Ended(now, message.request, message.outcome)
	case timedWay:
		core.gate.TimedWay(message.target, message.taken)
	case tick:
		core.tick(now)
	case fromPeer:
		for _, item := range message.messages {
			core.deliver(now, message.from, item)
		}
	case fromStore:
		core.fromStore(now, message)
	case storeFailed:
		if core.feeds[message.feed].Failed() {
			core.daemon.log.Warn("store lost", zap.Uint8("feed", uint8(message.feed)), cause(message.err))
		}
	case inspect:
		message.look(now, core)
		close(message.done)
	}
}

func (core *core) tick(now time.Time) {
	if now.Sub(core.ticked) > pauseAfter {
		core.table.Resume(now)
		core.daemon.log.Warn("process slept", zap.Duration("for", now.Sub(core.ticked)))
	}
	core.daemon.strain.observe(now.Sub(core.ticked) - tickEvery)
	core.ticked = now
	for _, due := range core.table.Tick(now) {
		for _, to := range due.To {
			core.daemon.transport.Send(to, due.Beat)
		}
	}
	core.withdraw(now)
	core.syncMembers(now)
	core.gate.Tick(now)
	every := reportEvery
	if core.gate.Sampled() {
		every = reportSampled
	}
	if now.Sub(core.reported) >= every {
		core.reported = now
		core.report(now)
	}
	if !core.regrace.IsZero() && !now.Before(core.regrace) {
		core.refreshTargets(now)
	}
	core.refreshMembers(now)
}

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

// report tells the peers what this daemon dispatched and knows.
func (core *core) report(now time.Time) {
	report := core.gate.Report(now)
	for _, feed := range core.feeds {
		report.Feeds = append(report.Feeds, feed.Last())
	}
	report.Contact = core.contactAge(now)
	to := core.others()
	if len(to) > berylgate.FullMesh {
		to = core.table.Links()
	}
	for _, vm := range to {
		core.daemon.transport.Send(vm, report)
	}
}

// contactAge returns how long ago the store answered this daemon or one that it
// heard of. It is passed on from daemon to daemon, so that a large fleet needs no
// more watchers than a small one.
func (core *core) contactAge(now time.Time) time.Duration {
	if core.inContact(now) {
		return 0
	}
	return min(max(now.Sub(time.Unix(0, core.daemon.fed.Load())), 0), contactUnknown)
}

// fed notes that a daemon was in contact with the store so long ago.
func (core *core) fed(now time.Time, age time.Duration) {
	if at := now.Add(-age).UnixNano(); at > core.daemon.fed.Load() {
		core.daemon.fed.Store(at)
	}
}

// inContact says whether the store answers this daemon on all feeds.
func (core *core) inContact(now time.Time) bool {
	for _, feed := range core.feeds {
		if !feed.Up() || now.Sub(feed.Contact()) > contactFor {
			return false
		}
	}
	return true
}

func (core *core) deliver(now time.Time, from berylspoke.VMID, message berylspoke.Message) {
	switch message := message.(type) {
	case berylmember.Heartbeat:
		if reply := core.table.Hear(now, message); reply != nil {
			core.daemon.transport.Send(from, *reply)
		}
	case berylgate.Report:
		core.gate.Heard(now, from, message)
		core.fed(now, message.Contact)
		core.compare(now, from, message.Feeds)
	case berylfeed.Pull:
		if message.Feed >= berylfeed.Count {
			return
		}
		if delta, news := core.feeds[message.Feed].Since(now, message.Feed, message.After); news {
			core.daemon.transport.Send(from, delta)
		}
	case berylfeed.Delta:
		if message.Feed < berylfeed.Count {
			core.merge(now, from, message)
		}
	}
}

// compare asks a peer for news that the store did not bring here in time: the
// store may turn this VM away while it serves others.
func (core *core) compare(now time.Time, from berylspoke.VMID, theirs []berylspoke.Revision) {
	for name, revision := range theirs[:min(len(theirs), len(core.feeds))] {
		feed := core.feeds[name]
		if feed.Known() && revision <= feed.AsOf() || revision == 0 {
			core.behind[name] = time.Time{}
			continue
		}
		if core.behind[name].IsZero() {
			core.behind[name] = now
		}
		if now.Sub(core.behind[name]) >= behindFor || !core.daemon.watcher.Load() {
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
	} else {
		core.refreshTargets(now)
	}
	core.announce()
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
	leaving := 0
	for _, item := range items {
		target, err := core.daemon.dialect.Target(item)
		if err != nil {
			core.daemon.log.Debug("target ignored", cause(err))
			continue
		}
		if target.Leaving {
			leaving++
		}
		targets = append(targets, target)
	}
	core.gate.SetTargets(now, targets)
	core.daemon.log.Info("targets changed", zap.Int("targets", len(targets)), zap.Int("leaving", leaving),
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
	live := len(core.table.Live())
	core.gate.SetDaemons(now, live)
	// The same daemons watch all feeds: one in contact on one feed only could not
	// tell the others that it has all news.
	chosen := berylmember.Ranked("watcher", core.table.Live(), watchers)
	core.daemon.watcher.Store(slices.Contains(chosen, core.daemon.settings.VM))
	core.daemon.log.Info("members changed", zap.Int("live", live), zap.Any("entries", fresh.byDomain))
}

// tell hands the actor a message.
func (daemon *Daemon) tell(message any) { daemon.system.Root.Send(daemon.core, message) }

// look runs a function on the core and waits for it.
func (daemon *Daemon) look(look func(now time.Time, core *core)) {
	done := make(chan struct{})
	daemon.tell(inspect{look, done})
	select {
	case <-done:
	case <-daemon.ctx.Done():
	}
}

func (daemon *Daemon) keepTime() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	sweeper := time.NewTicker(sweepEvery)
	defer sweeper.Stop()
	for {
		select {
		case <-daemon.ctx.Done():
			return
		case <-ticker.C:
			daemon.tell(tick{})
		case now := <-sweeper.C:
			daemon.pool.Sweep(now)
			daemon.sweepIdle(now)
		}
	}
}
