package beryledge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylfeed"
)

// Guards against an overload of the store when a whole fleet starts: 340 daemons start
// within 0.3 s and each lists configuration and targets, 680 lists of a megabyte each at
// a store that answers 2,000 calls per second in total. Only the seeds read the store at
// once; the others get the items from them, and read the store if that fails. A daemon
// that restarts while the fleet runs reads it at once, so that it is ready sooner.
func TestOnlySeedsReadStoreAtFleetStart(t *testing.T) {
	start := time.Unix(0, 0)
	starting := func(vm berylspoke.VMID, first bool) *Daemon {
		daemon := &Daemon{settings: &Settings{VM: vm, Seeds: []berylspoke.VMID{"seed"}, FirstStart: first}, started: start}
		daemon.entries.Store(new(entries))
		return daemon
	}
	feed := berylfeed.Targets
	require.True(t, starting("seed", true).mustWatch(feed, start))
	other := starting("other", true)
	require.False(t, other.mustWatch(feed, start.Add(time.Second)))
	require.True(t, other.mustWatch(feed, start.Add(peerWait+time.Second)))
	require.True(t, starting("other", false).mustWatch(feed, start))
}

// Guards against daemons that learn too late that an engine is draining: all watchers lose
// contact with the store just before the engine announces that. The other daemons could
// reach the store but did not read it for three seconds, as the watchers still reported a
// contact that they no longer had, and requests reached the engine after it had exited.
// Each daemon must read the store early enough to learn of the change within three
// seconds if the answer takes half a second.
func TestDaemonsReadStoreAfterWatchersLoseIt(t *testing.T) {
	const bound, answer = 3 * time.Second, 500 * time.Millisecond
	start := time.Unix(1000, 0)
	watcher, other := newUnstartedCore(start), newUnstartedCore(start)
	for _, feed := range watcher.feeds {
		feed.Answered(start)
	}
	other.daemon.known[berylfeed.Targets].Store(true)
	now := start
	other.observeContact(now, watcher.newestContact(now), watcher.claimPositions())
	for !other.daemon.mustWatch(berylfeed.Targets, now) {
		now = now.Add(reportInterval)
		other.observeContact(now, watcher.newestContact(now), watcher.claimPositions())
	}
	require.Less(t, now.Sub(start), bound-answer)
}

// Guards against daemons that read the store without need: the store is up, each watch
// waits for a second and ends without changes, and every third report is lost. The
// daemons that are not watchers must not call the store.
func TestDaemonsWithRecentContactDoNotReadStore(t *testing.T) {
	start := time.Unix(1000, 0)
	watcher, other := newUnstartedCore(start), newUnstartedCore(start)
	other.daemon.known[berylfeed.Targets].Store(true)
	other.observeContact(start, berylfeed.Contact{ID: 1}, watcher.claimPositions())
	reports := 0
	for now := start; now.Sub(start) < time.Minute; now = now.Add(urgentTickInterval) {
		for _, feed := range watcher.feeds {
			if now.Sub(feed.Contact()) >= watchTimeout {
				feed.Answered(now)
			}
		}
		if now.Sub(start)%reportInterval == 0 {
			if reports++; reports%3 != 0 {
				other.observeContact(now, watcher.newestContact(now), watcher.claimPositions())
			}
		}
		require.False(t, other.daemon.mustWatch(berylfeed.Targets, now))
	}
}

// Guards against a contact with the store that appears more recent each time a daemon
// passes it on. The daemons then do not read the store while targets drain.
func TestForwardedContactKeepsItsAge(t *testing.T) {
	const bound, answer, daemons, latency = 3 * time.Second, 500 * time.Millisecond, 8, 40 * time.Millisecond
	type delivery struct {
		to      int
		due     time.Time
		contact berylfeed.Contact
	}
	start := time.Unix(1000, 0)
	var cores []*core
	for i := range daemons {
		core := newUnstartedCore(start)
		core.contacts = berylfeed.NewContacts(uint32(i + 1))
		core.daemon.known[berylfeed.Targets].Store(true)
		cores = append(cores, core)
	}
	for _, feed := range cores[0].feeds {
		feed.Answered(start)
	}
	var sent []delivery
	for now := start; now.Sub(start) < bound-answer; now = now.Add(10 * time.Millisecond) {
		for len(sent) > 0 && !sent[0].due.After(now) {
			cores[sent[0].to].observeContact(now, sent[0].contact, cores[0].claimPositions())
			sent = sent[1:]
		}
		for from, core := range cores {
			if (now.Sub(start)/(10*time.Millisecond))%(reportInterval/(10*time.Millisecond)) != time.Duration(2*from) {
				continue
			}
			for to := range cores {
				if to != from {
					sent = append(sent, delivery{to, now.Add(latency), core.newestContact(now)})
				}
			}
		}
	}
	for i, core := range cores[1:] {
		require.True(t, core.daemon.mustWatch(berylfeed.Targets, start.Add(bound-answer)), "daemon %d", i+1)
	}
}

// newUnstartedCore returns the core of a daemon that is not started.
func newUnstartedCore(now time.Time) *core {
	daemon := &Daemon{settings: &Settings{}, started: now}
	daemon.entries.Store(new(entries))
	core := &core{daemon: daemon}
	for name := range core.feeds {
		core.feeds[name] = berylfeed.New(testDialect{}.Sequence)
	}
	return core
}
