package beryledge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylorigin"
)

const (
	watcherPeer berylspoke.VMID = "watcher"
	standstill                  = 1500 * time.Millisecond
)

// informedCore is the core of a daemon that has long known of one version of a service. A peer
// tells it when the store last answered.
type informedCore struct {
	*core
	contact berylfeed.ContactID
}

func newInformedCore(t *testing.T, now time.Time) (*informedCore, time.Time) {
	informed := &informedCore{core: newSilentCore(t, now)}
	for _, feed := range []berylfeed.Name{berylfeed.Configuration, berylfeed.Targets} {
		informed.applyStoreAnswer(now, storeAnswer{feed: feed, asOf: at(1), full: true})
	}
	informed.daemon.origins.setTarget(now, berylspoke.Target{ID: "t-1", Service: "drafts", Version: "v1", Started: now.UnixMilli()})
	for end := now.Add(2 * berylorigin.Memory); now.Before(end); {
		now = now.Add(tickInterval)
		informed.deliver(now, watcherPeer, informed.report())
		informed.beginTick(now, false)
		informed.tick(now)
	}
	return informed, now
}

// report returns a report that the peer sends now, of an answer of the store that it had just before.
func (informed *informedCore) report() berylgate.Report {
	informed.contact++
	return berylgate.Report{
		Incarnation: 1, Contact: 50 * time.Millisecond, ContactID: 7<<32 | informed.contact, Feeds: informed.claimPositions(), Complete: informed.claimPositions(),
	}
}

// only reports whether the daemon says that one version began all streams.
func (informed *informedCore) only(now time.Time) bool {
	answer := informed.daemon.origins.find(now, berylorigin.Key{1}, "drafts")
	return answer.Only
}

// Guards against streams that go on at another version (ORDER): a daemon that stood still takes what
// waited for it meanwhile for new, and says that one version began all streams though another has joined.
func TestWhatWaitedDuringAStandstillIsNotTakenForNew(t *testing.T) {
	for name, wake := range map[string]func(*informedCore, time.Time, berylgate.Report){
		"report before the first tick": func(core *informedCore, now time.Time, waiting berylgate.Report) {
			core.deliver(now, watcherPeer, waiting)
			core.beginTick(now, false)
			core.tick(now)
		},
		"report after the first tick": func(core *informedCore, now time.Time, waiting berylgate.Report) {
			core.beginTick(now, false)
			core.tick(now)
			core.deliver(now.Add(10*time.Millisecond), watcherPeer, waiting)
		},
		"answer of the store": func(core *informedCore, now time.Time, _ berylgate.Report) {
			core.applyStoreAnswer(now, storeAnswer{feed: berylfeed.Targets, asOf: at(1)})
			core.beginTick(now, false)
			core.tick(now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			core, stopped := newInformedCore(t, time.Unix(1000, 0))
			require.True(t, core.only(stopped))
			waiting := core.report()
			now := stopped.Add(standstill)
			wake(core, now, waiting)
			require.False(t, core.targetsAsOf().After(stopped), "the targets are known as of the standstill")
			// A version that joined as the standstill began gets streams from then on.
			joined := stopped.Add(core.daemon.versionDelay())
			for now.Before(joined.Add(time.Second)) {
				now = now.Add(tickInterval)
				core.beginTick(now, false)
				core.tick(now)
				require.False(t, now.After(joined) && core.only(now), "after %s", now.Sub(stopped))
			}
		})
	}
}

// Guards against a daemon whose replica seems older than it is while it runs as usual.
func TestReportsAreDatedExactlyWhileTheDaemonRuns(t *testing.T) {
	core, now := newInformedCore(t, time.Unix(1000, 0))
	require.Less(t, now.Sub(core.targetsAsOf()), 50*time.Millisecond+2*tickInterval)
}
