package beryledge

// This file defines the actor that owns the state behind all decisions.

import (
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylmember"
	"berylspoke/core/berylorigin"
	"berylspoke/core/berylquarantine"
)

const (
	// tickInterval is the time between two ticks of the core, and urgentTickInterval the
	// same while something is to be sent at once.
	tickInterval       = 100 * time.Millisecond
	urgentTickInterval = 50 * time.Millisecond
	// sweepInterval is the time between two sweeps of idle connections.
	sweepInterval = 500 * time.Millisecond
	// reportInterval is the time between two reports to peers. On average, what a daemon
	// knows of the others' dispatches is half this time old.
	reportInterval = 200 * time.Millisecond
	// largeFleetReportInterval replaces reportInterval in a large fleet, where estimates
	// rely on the load that engines report themselves and the rates of organisations
	// change slowly.
	largeFleetReportInterval = 400 * time.Millisecond
	// largeFleetMembersInterval is the time between two applications of the membership in a large fleet. Each sorts
	// all members, several times, and while daemons restart one after the other members change at each tick.
	largeFleetMembersInterval = 300 * time.Millisecond
	// silenceReportInterval replaces both while a target was found silent since the last
	// report.
	silenceReportInterval = 100 * time.Millisecond
	// syncInterval is the time between two full exchanges of the membership with a
	// seed or a peer.
	syncInterval = 5 * time.Second
	// joinInterval replaces syncInterval while no peer is known.
	joinInterval = 300 * time.Millisecond
	// pullDelay is how long a watcher may lack changes that a peer has before it pulls
	// them: the store sends them to both at about the same time.
	pullDelay = 250 * time.Millisecond
	// unknownContactAge is the age reported when no contact with the store is known.
	unknownContactAge = time.Hour
	// suspendThreshold is the gap between two ticks beyond which the process is assumed
	// to have been suspended.
	suspendThreshold = time.Second
)

// The messages of the actor.
type (
	tick         struct{ urgent bool }
	peerMessages struct {
		from     berylspoke.VMID
		messages []berylspoke.Message
	}
	submit struct {
		request *berylgate.Request
		// continues and build say which targets may serve the request from now on.
		continues bool
		build     berylspoke.Build
		decision  chan berylgate.Decision
	}
	reserve struct {
		request *berylgate.Request
		granted chan bool
	}
	answerStarted struct {
		request *berylgate.Request
		load    *berylspoke.EngineLoad
	}
	attemptEnded struct {
		request *berylgate.Request
		outcome berylgate.Outcome
		// provenAt is a time at which the request was answered by a target that lived on, zero if
		// there is none.
		provenAt time.Time
	}
	// begun says that the answer to a request began at a time, at a target that has lived on.
	begun struct {
		request *berylgate.Request
		at      time.Time
	}
	connectTimed struct {
		target   berylspoke.TargetID
		duration time.Duration
	}
	// storeAnswer is the result of a list or a watch of the store.
	storeAnswer struct {
		feed  berylfeed.Name
		items []berylspoke.Item
		asOf  berylspoke.Position
		full  bool
	}
	// overloadBegan says that requests have to wait for the processor.
	overloadBegan struct{}
	storeFailed   struct {
		feed berylfeed.Name
		err  error
	}
	// inspect runs a function in the actor and closes done when it has returned.
	inspect struct {
		function func(now time.Time, core *core)
		done     chan struct{}
	}
)

// messageKind is the metric label of a message.
type messageKind uint8

const (
	regularTickMessage messageKind = iota
	urgentTickMessage
	peerMessage
	storeMessage
	requestMessage
	overloadMessage
	otherMessage
	messageKinds
)

// messageNames are the metric labels.
var messageNames = [messageKinds]string{"tick", "urgentTick", "peer", "store", "request", "overload", "other"}

// kindOf returns the kind of a message.
func kindOf(message any) messageKind {
	switch message := message.(type) {
	case tick:
		if message.urgent {
			return urgentTickMessage
		}
		return regularTickMessage
	case peerMessages:
		return peerMessage
	case storeAnswer, storeFailed:
		return storeMessage
	case submit, reserve, answerStarted, attemptEnded, connectTimed, advised, crashed, begun:
		return requestMessage
	case overloadBegan:
		return overloadMessage
	}
	return otherMessage
}

// core is the actor of a daemon.
type core struct {
	daemon *Daemon
	gate   *berylgate.Gate
	table  *berylmember.Table
	// members is what was derived from the table, and appliedMembers the version of the
	// table that refreshMembers applied.
	members        *membership
	appliedMembers uint64
	// membersApplied is when it did so.
	membersApplied time.Time
	// incarnations are the runs of the peers as of then.
	incarnations map[berylspoke.VMID]berylspoke.Incarnation
	feeds        [berylfeed.Count]*berylfeed.Feed
	// contacts are the latest answers of the store to any daemon.
	contacts berylfeed.Contacts
	// currency tracks as of when the feeds are complete; oldReplica is set for each feed
	// whose age was logged as too high.
	currency   berylfeed.Currency
	oldReplica [berylfeed.Count]bool
	// quarantine holds what targets crashed under.
	quarantine *berylquarantine.Quarantine
	// evacuated are the failure domains whose targets get no more requests.
	evacuated map[berylspoke.FailureDomain]bool
	// evacuationsDue is when an item of the configuration becomes visible or invisible, zero
	// for never.
	evacuationsDue time.Time
	// published are the published targets by their key in the store.
	published map[string]berylspoke.Target
	unusable  unusableItems
	// fleet are the addresses that name no target.
	fleet fleetAddresses
	// pullers decide which changes to pull from peers.
	pullers [berylfeed.Count]berylfeed.Puller
	// pulledAt is when the changes of a feed were last pulled.
	pulledAt [berylfeed.Count]time.Time
	// versionPull limits the pulls of a later configuration than that of the store.
	versionPull versionPull
	// graceEnd is when the first target becomes visible or invisible by time, zero for none.
	graceEnd time.Time
	lastTick time.Time
	// stoodSince is the last tick before the process stood still, and drainedAt when what waited meanwhile
	// is handled.
	stoodSince, drainedAt time.Time
	// lastTimerTick is the last tick that was not urgent, and urgentTickDue is set while an
	// urgent one is scheduled.
	lastTimerTick time.Time
	urgentTickDue bool
	// tickAfter sends the core an urgent tick after a delay.
	tickAfter func(delay time.Duration)
	// withdrawnUntil is the time until which this daemon's address is not given to
	// callers.
	withdrawnUntil time.Time
	lastReport     time.Time
	lastSync       time.Time
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
			VM: settings.VM, Incarnation: daemon.incarnation, FailureDomain: settings.FailureDomain, RegionOf: settings.RegionOf,
			RetryRatio: settings.RetryRatio, RetrySlack: settings.RetrySlack,
		}),
		table:      berylmember.NewTable(now, vm, daemon.incarnation, options),
		contacts:   berylfeed.NewContacts(uint32(xxhash.Sum64String(fmt.Sprint(settings.VM, daemon.incarnation)))),
		quarantine: berylquarantine.New(settings.VM),
		published:  make(map[string]berylspoke.Target),
		unusable:   newUnusableItems(),
		lastTick:   now, lastTimerTick: now,
	}
	core.tickAfter = func(delay time.Duration) {
		time.AfterFunc(delay, func() { daemon.send(tick{urgent: true}) })
	}
	core.table.Join(now, settings.Seeds)
	core.fleet = newFleetAddresses(settings, core.table)
	for name := range core.feeds {
		core.feeds[name] = berylfeed.New(daemon.dialect.Sequence)
		core.feeds[name].SetOutageThreshold(maxContactAge + firstAnswerDelay)
		if settings.EntryLifetime > 0 {
			core.feeds[name].SetLifetime(settings.EntryLifetime)
		}
	}
	return core
}

// Receive implements actor.Actor.
func (core *core) Receive(context actor.Context) {
	now := time.Now()
	defer core.recoverMessage(now, context.Message())
	core.daemon.meters.coreMessages[kindOf(context.Message())].Inc()
	switch message := context.Message().(type) {
	case *actor.Started, *actor.Stopping, *actor.Stopped:
		// The daemon's address of the actor is not set when Started arrives.
		return
	case submit:
		message.request.Continues, message.request.Build = message.continues, message.build
		message.decision <- core.submit(now, message.request)
	case reserve:
		message.granted <- core.gate.ReserveRetry(now, message.request)
	case answerStarted:
		core.gate.AnswerStarted(now, message.request, message.load)
	case attemptEnded:
		core.gate.AttemptEnded(now, message.request, message.outcome)
		core.endTrial(message.request)
		if !message.provenAt.IsZero() {
			core.quarantine.Begun(message.provenAt, message.request.Digests)
		}
	case begun:
		core.quarantine.Begun(message.at, parts(message.request))
	case advised:
		core.applyAdvice(now, message)
	case crashed:
		core.recordCrash(now, message)
	case connectTimed:
		core.gate.ObserveConnectTime(message.target, message.duration)
	case tick:
		core.beginTick(now, message.urgent)
		core.tick(now)
	case peerMessages:
		for _, item := range message.messages {
			core.deliver(now, message.from, item)
		}
	case storeAnswer:
		core.applyStoreAnswer(now, message)
	case storeFailed:
		if core.feeds[message.feed].Failed() {
			core.daemon.log.Warn("store is unreachable", zap.Uint8("feed", uint8(message.feed)), cause(message.err))
		}
	case inspect:
		message.function(now, core)
		close(message.done)
	}
	core.publishVerdicts(now)
	core.scheduleUrgentTick(now)
}

// scheduleUrgentTick schedules a tick before the next regular one if something is to be
// sent at once, or while requests are rejected for lack of processor time.
func (core *core) scheduleUrgentTick(now time.Time) {
	urgent := core.lastReport.IsZero() || core.table.Urgent() || core.gate.Urgent() || core.gate.SilenceNews(now) ||
		core.quarantine.Urgent() || core.daemon.admission.overloaded(now)
	if !urgent || core.urgentTickDue {
		return
	}
	core.urgentTickDue = true
	core.tickAfter(core.lastTick.Add(urgentTickInterval).Sub(now))
}

// beginTick observes the CPU pressure by the delay of a regular tick.
func (core *core) beginTick(now time.Time, urgent bool) {
	if urgent {
		core.urgentTickDue = false
		return
	}
	core.daemon.pressure.observe(now.Sub(core.lastTimerTick) - tickInterval)
	core.lastTimerTick = now
}

func (core *core) tick(now time.Time) {
	core.observeStandstill(now)
	if now.Sub(core.lastTick) > suspendThreshold {
		core.table.Resume(now)
		core.daemon.log.Warn("process was suspended", zap.Duration("for", now.Sub(core.lastTick)))
	}
	core.lastTick = now
	for _, due := range core.table.Tick(now) {
		core.daemon.transport.Broadcast(due.To, []berylspoke.Message{due.Heartbeat})
	}
	core.refreshAdmission(now)
	core.daemon.logRejections(now)
	core.withdraw(now)
	core.syncMembers(now)
	core.gate.Tick(now)
	core.logRested()
	interval := reportInterval
	if core.gate.LargeFleet() {
		interval = largeFleetReportInterval
	}
	switch {
	case core.gate.Urgent():
		interval = 0
	case core.gate.SilenceNews(now):
		interval = silenceReportInterval
	}
	if now.Sub(core.lastReport) >= interval {
		core.lastReport = now
		core.report(now)
		core.sendEvidence(now)
	}
	if core.quarantine.Urgent() {
		core.sendEvidence(now)
	}
	if core.gate.LargeFleet() {
		core.sendUsageReports(now)
	}
	if !core.graceEnd.IsZero() && !now.Before(core.graceEnd) {
		core.refreshTargets(now)
	}
	if !core.evacuationsDue.IsZero() && !now.Before(core.evacuationsDue) {
		core.refreshEvacuated(now)
	}
	core.refreshMembers(now)
	core.gate.SetTargetsAsOf(core.targetsAsOf())
	core.daemon.origins.tick(now, core.targetsAsOf())
	core.pullChanges(now)
	core.logReplicaAges(now)
	core.daemon.wakeReaders(now)
}

// report sends the peers what this daemon dispatched and the state of its feeds.
func (core *core) report(now time.Time) {
	report := core.gate.Report(now)
	report.Version = core.version()
	for _, feed := range core.feeds {
		report.Feeds = append(report.Feeds, feed.LastChange())
	}
	report.Complete = core.claimPositions()
	contact := core.newestContact(now)
	report.Contact, report.ContactID = contact.Age, contact.ID
	to := core.membership().links
	core.daemon.transport.Broadcast(to, []berylspoke.Message{report})
}

// newestContact returns the newest answer of the store to any daemon as of which the
// feeds of this one are complete. Daemons pass it on, so that a large fleet needs no more
// watchers than a small one. The age is always exact: when watchers reported no age while
// their last answer was still recent, the others took twice as long to notice that the
// store no longer answered, and sent requests to targets that had left.
func (core *core) newestContact(now time.Time) berylfeed.Contact {
	if own := core.ownContact(); !own.IsZero() {
		core.currency.Claim(core.contacts.RecordOwn(own), own, core.claimPositions(), core.feeds)
	}
	id, at := core.currency.Newest()
	return berylfeed.Contact{ID: id, Age: min(max(now.Sub(at), 0), unknownContactAge)}
}

// claimPositions returns the positions at which other daemons' feeds are as complete as
// those of this one.
func (core *core) claimPositions() []berylspoke.Position {
	var positions []berylspoke.Position
	for _, feed := range core.feeds {
		positions = append(positions, feed.ClaimPosition())
	}
	return positions
}

// ownContact returns the oldest of the feeds' last answers from the store to this
// daemon, zero if a feed has none.
func (core *core) ownContact() time.Time {
	oldest := core.feeds[0].Contact()
	for _, feed := range core.feeds[1:] {
		if feed.Contact().Before(oldest) {
			oldest = feed.Contact()
		}
	}
	return oldest
}

// observeContact records an answer of the store that a peer reports, and that feeds at the
// given positions are complete as of it.
func (core *core) observeContact(now time.Time, contact berylfeed.Contact, complete []berylspoke.Position) {
	at := core.contacts.Receive(now, contact)
	for _, feed := range core.feeds {
		feed.AnsweredAny(now, core.contacts.Newest())
	}
	core.currency.Claim(contact.ID, at, complete, core.feeds)
	core.publishCurrency()
}

func (core *core) deliver(now time.Time, from berylspoke.VMID, message berylspoke.Message) {
	switch message := message.(type) {
	case berylmember.Heartbeat:
		if reply := core.table.HandleHeartbeat(now, message); reply != nil {
			core.daemon.transport.Send(from, *reply)
		}
	case berylgate.Report:
		core.closeLeft(now, from, core.gate.ReceiveReport(now, from, message))
		core.observeContact(now, berylfeed.Contact{ID: message.ContactID, Age: message.Contact + core.heldUp(now)}, message.Complete)
		core.compareFeeds(now, from, message.Feeds)
		core.compareVersions(now, from, message)
	case berylgate.Usage:
		if sum := core.gate.ReceiveUsage(now, from, message); sum != nil {
			core.daemon.transport.Send(from, *sum)
		}
	case berylorigin.Began:
		core.daemon.origins.receive(now, message)
	case berylorigin.Inquiry:
		if account, complete := core.daemon.origins.account(now, message); complete {
			core.daemon.transport.Send(from, account)
		}
	case berylorigin.Account:
		core.daemon.origins.learn(now, from, message)
	case berylorigin.Question:
		core.daemon.transport.Send(from, core.daemon.origins.find(now, message.Key, message.Service))
	case berylorigin.Answer:
		core.daemon.origins.deliverAnswer(from, message)
	case berylquarantine.Notices:
		core.quarantine.Receive(now, message)
	case berylfeed.Pull:
		if message.Feed >= berylfeed.Count {
			return
		}
		if delta, changed := core.feeds[message.Feed].Since(now, message.Feed, message.After); changed {
			core.daemon.transport.Send(from, delta)
		}
	case berylfeed.Delta:
		if message.Feed < berylfeed.Count {
			core.mergeDelta(now, from, message)
		}
	}
}

// send puts a message into the actor's mailbox.
func (daemon *Daemon) send(message any) { daemon.system.Root.Send(daemon.core, message) }

// inspectCore runs a function in the actor and waits for it.
func (daemon *Daemon) inspectCore(function func(now time.Time, core *core)) {
	done := make(chan struct{})
	daemon.send(inspect{function, done})
	select {
	case <-done:
	case <-daemon.ctx.Done():
	}
}

// runTimers sends the regular ticks and closes idle connections.
func (daemon *Daemon) runTimers() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastSweep := daemon.started
	for {
		select {
		case <-daemon.ctx.Done():
			return
		case now := <-ticker.C:
			daemon.send(tick{})
			if now.Sub(lastSweep) >= sweepInterval {
				lastSweep = now
				daemon.pool.CloseExpired(now)
				daemon.sweepIdle(now)
			}
		}
	}
}
