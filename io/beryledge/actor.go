package beryledge

// This file defines the actor that owns what decides.

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
	reserve struct {
		request *berylgate.Request
		may     chan bool
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
	daemon *Daemon
	gate   *berylgate.Gate
	table  *berylmember.Table
	feeds  [berylfeed.Count]*berylfeed.Feed
	// contacts are the answers of the store to any daemon.
	contacts berylfeed.Contacts
	// emptied are the failure domains to whose targets nothing more is to be sent.
	emptied map[berylspoke.FailureDomain]bool
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
			VM: settings.VM, Incarnation: daemon.incarnation, FailureDomain: settings.FailureDomain, RegionOf: settings.RegionOf,
			RetryRatio: settings.RetryRatio, RetrySlack: settings.RetrySlack,
		}),
		table:    berylmember.NewTable(now, vm, daemon.incarnation, options),
		contacts: berylfeed.NewContacts(uint32(xxhash.Sum64String(fmt.Sprint(settings.VM, daemon.incarnation)))),
		ticked:   now,
	}
	core.table.Join(now, settings.Seeds)
	for name := range core.feeds {
		core.feeds[name] = berylfeed.New()
		core.feeds[name].SetPatience(fedFor + answerWithin)
	}
	return core
}

// Receive implements actor.Actor.
func (core *core) Receive(context actor.Context) {
	now := time.Now()
	switch message := context.Message().(type) {
	case submit:
		message.decision <- core.gate.Submit(now, message.request)
	case reserve:
		message.may <- core.gate.Reserve(now, message.request)
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
	core.refreshAdmission(now)
	core.daemon.logRejections(now)
	core.withdraw(now)
	core.syncMembers(now)
	core.gate.Tick(now)
	every := reportEvery
	if core.gate.Sampled() {
		every = reportSampled
	}
	if now.Sub(core.reported) >= every || core.gate.Urgent() {
		core.reported = now
		core.report(now)
	}
	if core.gate.Sampled() {
		core.tellUsage(now)
	}
	if !core.regrace.IsZero() && !now.Before(core.regrace) {
		core.refreshTargets(now)
	}
	core.refreshMembers(now)
}

// report tells the peers what this daemon dispatched and knows.
func (core *core) report(now time.Time) {
	report := core.gate.Report(now)
	for _, feed := range core.feeds {
		report.Feeds = append(report.Feeds, feed.Last())
	}
	contact := core.contact(now)
	report.Contact, report.ContactID = contact.Age, contact.ID
	to := core.others()
	if len(to) > berylgate.FullMesh {
		to = core.table.Links()
	}
	for _, vm := range to {
		core.daemon.transport.Send(vm, report)
	}
}

// contact returns the newest answer of the store to this daemon or one that it heard
// of. It is passed on from daemon to daemon, so that a large fleet needs no more
// watchers than a small one. Its age is the true one: watchers that told none while
// their last answer was still recent hid a silent store from all others for as long
// again, and these sent requests to targets that had left.
func (core *core) contact(now time.Time) berylfeed.Contact {
	core.contacts.Own(core.ownContact())
	return core.contacts.Contact(now, contactUnknown)
}

// ownContact returns since when the store has answered this daemon on all feeds,
// zero if it has not.
func (core *core) ownContact() time.Time {
	oldest := core.feeds[0].Contact()
	for _, feed := range core.feeds[1:] {
		if feed.Contact().Before(oldest) {
			oldest = feed.Contact()
		}
	}
	return oldest
}

// fed takes the newest answer of the store that a peer knows of.
func (core *core) fed(now time.Time, contact berylfeed.Contact) {
	core.contacts.Heard(now, contact)
	newest := core.contacts.Newest()
	for _, feed := range core.feeds {
		feed.Reached(now, newest)
	}
	if newest.UnixNano() > core.daemon.fed.Load() {
		core.daemon.fed.Store(newest.UnixNano())
	}
}

func (core *core) deliver(now time.Time, from berylspoke.VMID, message berylspoke.Message) {
	switch message := message.(type) {
	case berylmember.Heartbeat:
		if reply := core.table.Hear(now, message); reply != nil {
			core.daemon.transport.Send(from, *reply)
		}
	case berylgate.Report:
		core.gate.Heard(now, from, message)
		core.fed(now, berylfeed.Contact{ID: message.ContactID, Age: message.Contact})
		core.compare(now, from, message.Feeds)
	case berylgate.Usage:
		core.gate.HeardUsage(now, from, message)
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
