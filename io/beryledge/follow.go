package beryledge

// This file defines the readers of the platform's store.

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
)

const (
	// watchFor is how long a watch waits at the store. A store that drops its
	// history may forget a waiting watch, which then tells nothing until it ends;
	// a change must be in force within three seconds all the same.
	watchFor = time.Second
	// watchers is the number of daemons that watch the store. Each call is paid
	// and the store's rate is shared, so the others hear from these. Three, so
	// that a fault at one or two of them delays nothing.
	watchers = 3
	// contactSlack is how much older than a watch and the reports on its way to
	// this daemon the last contact may be: slow answers and late ticks.
	contactSlack = 300 * time.Millisecond
	// fedFor is how old the last contact of any daemon may be before one that is
	// no watcher watches by itself: one watch, one report and a lost one.
	fedFor = watchFor + 2*reportEvery + contactSlack
	// fedSampled is the same where reports pass from daemon to daemon, over as many
	// hops as the largest fleet has.
	fedSampled = watchFor + 3*reportSampled + contactSlack
	// answerWithin is how long a daemon that begins to watch waits for its first answer,
	// at most, from a store that is up.
	answerWithin = 900 * time.Millisecond
	// peersFirst is how long a daemon that starts together with the whole fleet
	// waits for peers to tell it what is published before it asks the store: the
	// seeds ask at once, and the fleet hears of it within about a second. Without it
	// each start of a fleet costs two lists a daemon at one moment.
	peersFirst = 2500 * time.Millisecond
	// fedLook is the time between two looks whether that is so.
	fedLook = 100 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call. A store that
	// turns callers away because they are many must not be asked more often.
	retryLeast = 250 * time.Millisecond
	retryMost  = 1500 * time.Millisecond
)

// follow reads the items below one prefix until the daemon ends.
func (daemon *Daemon) follow(feed berylfeed.Name, prefix string) {
	pause := retryLeast
	var after berylspoke.Revision
	for daemon.ctx.Err() == nil {
		if !daemon.mustWatch(feed, time.Now()) {
			daemon.sleep(fedLook)
			continue
		}
		full := !daemon.known[feed].Load() && after == 0
		message, err := daemon.read(feed, prefix, full, after)
		if errors.Is(err, berylspoke.ErrHistoryGone) {
			message, err = daemon.read(feed, prefix, true, 0)
		}
		if err != nil {
			daemon.tell(storeFailed{feed, err})
			daemon.sleep(pause + time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, retryMost)
			continue
		}
		pause, after = retryLeast, message.asOf
		daemon.tell(message)
	}
}

// mustWatch says whether this daemon has to ask the store itself: it is one of
// the watchers, knows nothing yet, or hears from no daemon in contact.
func (daemon *Daemon) mustWatch(feed berylfeed.Name, now time.Time) bool {
	if !daemon.known[feed].Load() {
		return !daemon.settings.waitsForPeers() || now.Sub(daemon.started) > peersFirst
	}
	if daemon.watcher.Load() {
		return true
	}
	return now.Sub(time.Unix(0, daemon.fed.Load())) > daemon.fedPatience()
}

// fedPatience returns how old the last contact of any daemon may be before one that is
// no watcher watches by itself.
func (daemon *Daemon) fedPatience() time.Duration {
	if len(daemon.entries.Load().domains) > berylgate.FullMesh {
		return fedSampled
	}
	return fedFor
}

// read makes one call, or the calls of one list. A watch goes on from the last
// answer, or from what peers told since.
func (daemon *Daemon) read(feed berylfeed.Name, prefix string, full bool, after berylspoke.Revision) (fromStore, error) {
	daemon.meters.storeCalls.Inc()
	message := fromStore{feed: feed, full: full}
	var err error
	if full {
		message.items, message.asOf, err = daemon.store.List(daemon.ctx, prefix)
		return message, err
	}
	after = max(after, berylspoke.Revision(daemon.revisions[feed].Load()))
	message.items, message.asOf, err = daemon.store.Watch(daemon.ctx, prefix, after, watchFor)
	return message, err
}

// sleep waits unless the daemon ends.
func (daemon *Daemon) sleep(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-daemon.ctx.Done():
	case <-timer.C:
	}
}
