package beryledge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylfeed"
)

// Pattern: 340 daemons start within 0.3 s and each lists configuration and targets:
// 680 lists, a megabyte each, at a store that answers 2,000 calls a second for all.
// Only the seeds ask at once; the others hear from them, and ask once that failed.
// One that starts anew while the fleet runs asks at once, so it is ready sooner.
func TestOnlySeedsAskTheStoreAsTheFleetStarts(t *testing.T) {
	start := time.Unix(0, 0)
	newcomer := func(vm berylspoke.VMID, first bool) *Daemon {
		daemon := &Daemon{settings: &Settings{VM: vm, Seeds: []berylspoke.VMID{"seed"}, FirstStart: first}, started: start}
		daemon.entries.Store(new(entries))
		return daemon
	}
	feed := berylfeed.Targets
	require.True(t, newcomer("seed", true).mustWatch(feed, start))
	other := newcomer("other", true)
	require.False(t, other.mustWatch(feed, start.Add(time.Second)))
	require.True(t, other.mustWatch(feed, start.Add(peersFirst+time.Second)))
	require.True(t, newcomer("other", false).mustWatch(feed, start))
}

// All watchers lose the store at one moment, and an engine says that it leaves at
// the next. The other daemons reach the store, but went on asking nobody for three
// seconds, as the watchers told them of a contact that was no longer there; callers'
// requests reached the engine after it had gone. Each daemon asks the store itself
// so early that an answer of half a second still tells it within three.
func TestDaemonsAskTheStoreOnceItsWatchersLostIt(t *testing.T) {
	const bound, answer = 3 * time.Second, 500 * time.Millisecond
	start := time.Unix(1000, 0)
	watcher, other := newUnstartedCore(start), newUnstartedCore(start)
	for _, feed := range watcher.feeds {
		feed.Answered(start)
	}
	other.daemon.known[berylfeed.Targets].Store(true)
	now := start
	other.fed(now, watcher.contact(now))
	for !other.daemon.mustWatch(berylfeed.Targets, now) {
		now = now.Add(reportEvery)
		other.fed(now, watcher.contact(now))
	}
	require.Less(t, now.Sub(start), bound-answer)
}

// Pattern: the store is well, each watch waits for a second and ends without news,
// and every third report is lost. The daemons that do not watch leave the store alone.
func TestFedDaemonsLeaveTheStoreAlone(t *testing.T) {
	start := time.Unix(1000, 0)
	watcher, other := newUnstartedCore(start), newUnstartedCore(start)
	other.daemon.known[berylfeed.Targets].Store(true)
	other.fed(start, berylfeed.Contact{ID: 1})
	reports := 0
	for now := start; now.Sub(start) < time.Minute; now = now.Add(tickEvery) {
		for _, feed := range watcher.feeds {
			if now.Sub(feed.Contact()) >= watchFor {
				feed.Answered(now)
			}
		}
		if now.Sub(start)%reportEvery == 0 {
			if reports++; reports%3 != 0 {
				other.fed(now, watcher.contact(now))
			}
		}
		require.False(t, other.daemon.mustWatch(berylfeed.Targets, now))
	}
}

// Guards against daemons that take a contact with the store for younger whenever they
// hear of it again from each other, and go on asking nobody while targets leave.
func TestContactDoesNotGrowYoungerOnItsWay(t *testing.T) {
	const bound, answer, daemons, way = 3 * time.Second, 500 * time.Millisecond, 8, 40 * time.Millisecond
	type told struct {
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
	var sent []told
	for now := start; now.Sub(start) < bound-answer; now = now.Add(10 * time.Millisecond) {
		for len(sent) > 0 && !sent[0].due.After(now) {
			cores[sent[0].to].fed(now, sent[0].contact)
			sent = sent[1:]
		}
		for from, core := range cores {
			if (now.Sub(start)/(10*time.Millisecond))%(reportEvery/(10*time.Millisecond)) != time.Duration(2*from) {
				continue
			}
			for to := range cores {
				if to != from {
					sent = append(sent, told{to, now.Add(way), core.contact(now)})
				}
			}
		}
	}
	for i, core := range cores[1:] {
		require.True(t, core.daemon.mustWatch(berylfeed.Targets, start.Add(bound-answer)), "daemon %d", i+1)
	}
}

// newUnstartedCore returns the core of a daemon that runs nothing by itself.
func newUnstartedCore(now time.Time) *core {
	daemon := &Daemon{settings: &Settings{}, started: now}
	daemon.entries.Store(new(entries))
	core := &core{daemon: daemon}
	for name := range core.feeds {
		core.feeds[name] = berylfeed.New()
	}
	return core
}
