package beryledge

// This file defines the readers of the platform's store.

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylfeed"
)

const (
	// watchFor is how long a watch waits at the store. A watch whose answer is
	// lost tells nothing until it ends, and each end costs a call.
	watchFor = 5 * time.Second
	// storeFresh is the age of the store's last answer up to which a daemon
	// counts as in contact with it.
	storeFresh = watchFor + 2*time.Second
	// retryLeast and retryMost bound the pause after a failed call. A store that
	// turns callers away because they are many must not be asked more often.
	retryLeast = 250 * time.Millisecond
	retryMost  = 1500 * time.Millisecond
)

// follow reads the items below one prefix until the daemon ends.
func (daemon *Daemon) follow(feed berylfeed.Name, prefix string) {
	full := true
	pause := retryLeast
	var after berylspoke.Revision
	for daemon.ctx.Err() == nil {
		message, err := daemon.read(feed, prefix, full, after)
		if errors.Is(err, berylspoke.ErrHistoryGone) {
			full = true
			continue
		}
		if err != nil {
			daemon.tell(storeFailed{feed, err})
			daemon.sleep(pause + time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, retryMost)
			continue
		}
		full, pause, after = false, retryLeast, message.asOf
		daemon.tell(message)
	}
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
