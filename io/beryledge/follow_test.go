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
