package beryledge

// This file defines how the platform's store is read.

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
)

const (
	// watchTimeout is how long a watch waits at the store. A store that drops its
	// history may forget a waiting watch, which then reports nothing until it ends; a
	// change must still be in force within three seconds.
	watchTimeout = time.Second
	// gatherDelay is the pause after an answer that held changes. Targets that start or
	// stop together write one after another, and each change would take a call of every
	// watcher. A change after a calm second is still read at once.
	gatherDelay = 200 * time.Millisecond
	// watcherCount is the number of daemons that watch the store. Each call is billed and
	// the store's rate limit is shared, so the others get the changes from these. There
	// are three, so that a fault at one or two of them delays nothing.
	watcherCount = 3
	// contactSlack is added to the duration of a watch and the reports that pass its
	// answer on, for slow answers and late ticks.
	contactSlack = 300 * time.Millisecond
	// maxContactAge is how old the last contact of any daemon may be before a daemon
	// that is not a watcher reads the store itself. It covers one watch, one report and
	// one lost report.
	maxContactAge = watchTimeout + 2*reportInterval + contactSlack
	// largeFleetMaxContactAge replaces maxContactAge in a large fleet, where reports pass
	// from daemon to daemon, over as many hops as the largest fleet has.
	largeFleetMaxContactAge = watchTimeout + 3*largeFleetReportInterval + contactSlack
	// firstAnswerDelay is the longest time that a daemon that starts to watch waits for
	// its first answer while the store is up.
	firstAnswerDelay = 900 * time.Millisecond
	// peerWait is how long a daemon that starts together with the whole fleet waits for
	// the published items from its peers before it reads the store: the seeds read it at
	// once, and the items reach the fleet within about a second. Without the wait, each
	// start of a fleet causes two lists per daemon at the same moment.
	peerWait = 2500 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call, so that a
	// store that rejects calls because it gets too many does not get even more.
	minRetryPause = 250 * time.Millisecond
	// maxUnreadable is the number of watches in a row that cannot be read after which the reader
	// lists: one may have been cut.
	maxUnreadable = 2
	maxRetryPause = 1500 * time.Millisecond
)

// followStore reads the items below one prefix until the daemon ends.
func (daemon *Daemon) followStore(feed berylfeed.Name, prefix string) {
	pause, wait := minRetryPause, watchTimeout
	reader := storeReader{daemon: daemon, feed: feed, prefix: prefix}
	for daemon.ctx.Err() == nil {
		if !daemon.mustWatch(feed, time.Now()) {
			select {
			case <-daemon.ctx.Done():
			case <-daemon.readDue[feed]:
			}
			continue
		}
		message, err := reader.read(wait)
		if err != nil {
			daemon.send(storeFailed{feed, err})
			daemon.sleep(pause + time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, maxRetryPause)
			continue
		}
		pause, wait = minRetryPause, watchTimeout
		daemon.send(message)
		if len(message.items) > 0 {
			// The next answer is not later than without the pause.
			wait -= gatherDelay
			daemon.sleep(gatherDelay)
		}
	}
}

// mustWatch reports whether this daemon has to read the store itself: because it is one
// of the watchers, has no items yet, or does not know that those it has are recent. That
// others have contact with the store does not suffice: the changes may be late. Large
// replicas are read in turns, as a whole region that reads one at once fills its link.
func (daemon *Daemon) mustWatch(feed berylfeed.Name, now time.Time) bool {
	if !daemon.known[feed].Load() {
		return !daemon.settings.waitsForPeers() || now.Sub(daemon.started) > peerWait
	}
	if daemon.watcher.Load() {
		return true
	}
	turn := berylfeed.StoreDelay(int(daemon.regionRank.Load()), int(daemon.replicaBytes[feed].Load()))
	return daemon.replicaAge(feed, now) > daemon.contactAgeLimit()+turn
}

// newReadDue returns the channels that wake the readers of the feeds.
func newReadDue() [berylfeed.Count]chan struct{} {
	var due [berylfeed.Count]chan struct{}
	for name := range due {
		due[name] = make(chan struct{}, 1)
	}
	return due
}

// wakeReaders wakes the readers of the feeds that the daemon has to read from the store.
func (daemon *Daemon) wakeReaders(now time.Time) {
	for name, due := range daemon.readDue {
		if !daemon.mustWatch(berylfeed.Name(name), now) {
			continue
		}
		select {
		case due <- struct{}{}:
		default:
		}
	}
}

// contactAgeLimit returns how old the last contact as of which a feed is complete may be
// before a daemon that is not a watcher reads the store itself.
func (daemon *Daemon) contactAgeLimit() time.Duration {
	if len(daemon.entries.Load().domains) > berylgate.MaxFullMeshPeers {
		return largeFleetMaxContactAge
	}
	return maxContactAge
}

// storeReader reads the items below one prefix. It watches for changes, and lists all items
// if there is nothing to continue from: at the start, after the store has discarded its
// history, and in a new era of the store.
type storeReader struct {
	daemon *Daemon
	feed   berylfeed.Name
	prefix string
	// asOf is the position of the last answer.
	asOf berylspoke.Position
	// listDue is set once the store has answered in an era that this reader has no list of, or
	// watches cannot be read.
	listDue bool
	// unreadable counts the watches in a row whose answers could not be read.
	unreadable int
}

// errOldAnswer means that an answer of the store is older than what is known of it.
var errOldAnswer = errors.New("store gave an answer that is older than the known position")

// read makes one watch call, or the calls of one list. A watch continues after the last
// answer, or after newer changes that peers sent.
func (reader *storeReader) read(wait time.Duration) (storeAnswer, error) {
	from := reader.asOf.Later(reader.daemon.position(reader.feed))
	full := reader.listDue || !reader.daemon.known[reader.feed].Load() && from == (berylspoke.Position{})
	message, err := reader.call(full, from, wait)
	if !full && (reader.listDue && err == nil || errors.Is(err, berylspoke.ErrHistoryGone)) {
		message, err = reader.call(true, from, wait)
	}
	if err == nil {
		reader.asOf, reader.unreadable = message.asOf, 0
	}
	return message, err
}

// observeUnreadable counts an answer to a watch that could not be read. A watch from the same position
// brings the same and more, and a list only what there is now.
func (reader *storeReader) observeUnreadable(err error) {
	reader.daemon.meters.storeUnreadable.Inc()
	if reader.unreadable++; reader.unreadable >= maxUnreadable {
		reader.listDue = true
		reader.daemon.log.Warn("store is listed, as its watches cannot be read", zap.Uint8("feed", uint8(reader.feed)),
			zap.Int("watches", reader.unreadable), cause(err))
	}
}

// call makes one watch call, or the calls of one list. An answer that does not state its era
// counts as of the known one.
func (reader *storeReader) call(full bool, from berylspoke.Position, wait time.Duration) (storeAnswer, error) {
	daemon := reader.daemon
	daemon.meters.storeCalls.Inc()
	var answer berylspoke.StoreAnswer
	var err error
	if full {
		daemon.meters.storeLists.Inc()
		answer, err = daemon.store.List(daemon.ctx, reader.prefix)
	} else {
		answer, err = daemon.store.Watch(daemon.ctx, reader.prefix, from.Revision, wait)
	}
	answered, unknown := answer.AsOf.Era, answer.EraUnknown
	if err != nil {
		var failure *berylspoke.StoreError
		if !errors.As(err, &failure) {
			return storeAnswer{}, err
		}
		answered, unknown = failure.Era, failure.EraUnknown
		if failure.Unreadable && !full {
			reader.observeUnreadable(err)
		}
		if errors.Is(err, berylspoke.ErrHistoryGone) {
			daemon.meters.storeHistoryGone.Inc()
		}
	}
	switch {
	case unknown:
		daemon.meters.storeEraUnknown.Inc()
		answer.SetEra(from.Era)
	case answered < from.Era:
		daemon.meters.storeEraOld.Inc()
		return storeAnswer{}, errOldAnswer
	case answered > from.Era && from != berylspoke.Position{} && !reader.listDue:
		reader.listDue = true
		daemon.log.Info("store changed its era", zap.Uint8("feed", uint8(reader.feed)), zap.Uint64("era", uint64(answered)),
			zap.Uint64("before", uint64(from.Era)), revision(answer.AsOf), zap.Uint64("known", uint64(from.Revision)), cause(err))
	}
	if full && err == nil {
		reader.listDue = false
		if from.After(answer.AsOf) {
			return storeAnswer{}, errOldAnswer
		}
	}
	return storeAnswer{feed: reader.feed, items: answer.Items, asOf: answer.AsOf, full: full}, err
}

// sleep waits for a time or until the daemon ends.
func (daemon *Daemon) sleep(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-daemon.ctx.Done():
	case <-timer.C:
	}
}
