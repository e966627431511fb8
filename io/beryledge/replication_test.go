package beryledge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
	"berylspoke/io/berylconn"
	"berylspoke/io/berylpeer"
)

// Guards against a full link between regions: each VM of a region pulls a large
// configuration from the other region for itself, and what targets leave waits behind it.
func TestLargeChangeCrossesRegionsInFewCopies(t *testing.T) {
	const perRegion, gateways, size = 10, 2, 300_000
	store := newTestStore()
	store.put("c/1", "catalog")
	daemons := startRegions(t, store, perRegion)
	awaitRevision(t, daemons, berylfeed.Configuration, 2)
	// The watches end that daemons began before they knew the watchers.
	time.Sleep(2 * watchTimeout)
	before := pulledAcrossRegions(daemons)
	store.put("c/1", strings.Repeat("x", size))
	awaitRevision(t, daemons, berylfeed.Configuration, 3)
	// Each region may have watchers, which read the store, but only the other region's
	// gateways pull, and each of them may have to pull again once.
	require.LessOrEqual(t, pulledAcrossRegions(daemons)-before, uint64(2*gateways*size))
}

// startRegions starts as many daemons in each of two regions and waits until all know
// each other.
func startRegions(t *testing.T, store berylspoke.Store, perRegion int) []*Daemon {
	regions := map[berylspoke.FailureDomain]berylspoke.Region{"a": "r", "b": "s"}
	var daemons []*Daemon
	var seeds []berylspoke.VMID
	for range perRegion {
		for domain := range regions {
			daemon := startIn(t, store, testDialect{testCatalog()}, domain, regions, seeds...)
			daemons = append(daemons, daemon)
			seeds = append(seeds, daemon.settings.VM)[:min(len(seeds)+1, 3)]
		}
	}
	require.Eventually(t, func() bool {
		for _, daemon := range daemons {
			if len(daemon.entries.Load().domains) < len(daemons) || !daemon.Ready() {
				return false
			}
		}
		return true
	}, 30*time.Second, 20*time.Millisecond)
	return daemons
}

// awaitRevision waits until a feed of all daemons has reached a revision.
func awaitRevision(t *testing.T, daemons []*Daemon, feed berylfeed.Name, revision berylspoke.Revision) {
	require.Eventually(t, func() bool {
		for _, daemon := range daemons {
			if daemon.position(feed).Revision < revision {
				return false
			}
		}
		return true
	}, 30*time.Second, 20*time.Millisecond)
}

func pulledAcrossRegions(daemons []*Daemon) uint64 {
	total := uint64(0)
	for _, daemon := range daemons {
		total += daemon.meters.pulledBytes[berylpeer.AcrossRegions].Get()
	}
	return total
}

// Guards against copies that multiply while a link is slow: the answer to a pull takes
// seconds, and the daemon pulls the same changes again and again meanwhile.
func TestSlowAnswerIsNotPulledAgainAtOnce(t *testing.T) {
	const patience, most = 4 * time.Second, 4
	start := time.Unix(1000, 0)
	core := newSilentCore(t, start)
	core.feeds[berylfeed.Targets].Replace(start, nil, at(1))
	for now := start; now.Sub(start) < patience; now = now.Add(urgentTickInterval) {
		for peer := range 8 {
			if now.Sub(start)%largeFleetReportInterval == time.Duration(peer)*urgentTickInterval {
				core.deliver(now, berylspoke.VMID(fmt.Sprintf("127.0.0.9:%d", peer+1)), berylgate.Report{
					Incarnation: 1, Feeds: []berylspoke.Position{at(0), at(5)}, ContactID: 1, Contact: now.Sub(start),
				})
			}
		}
		core.tick(now)
	}
	require.Positive(t, pullCount(core.daemon))
	require.LessOrEqual(t, pullCount(core.daemon), uint64(most))
}

func pullCount(daemon *Daemon) uint64 {
	total := uint64(0)
	for _, counter := range daemon.meters.pulls {
		total += counter.Get()
	}
	return total
}

// Guards against a replica that is old though reports of a recent contact with the store
// keep coming: the changes that the contact brought are late, and nobody reads the store.
func TestDaemonThatLacksChangesReadsStore(t *testing.T) {
	const bound, answer = 3 * time.Second, 500 * time.Millisecond
	start := time.Unix(1000, 0)
	core := newSilentCore(t, start)
	core.applyStoreAnswer(start, storeAnswer{feed: berylfeed.Configuration, asOf: at(1), full: true})
	core.applyStoreAnswer(start, storeAnswer{feed: berylfeed.Targets, asOf: at(1), full: true})
	core.daemon.watcher.Store(false)
	for now := start; now.Sub(start) < bound-answer; now = now.Add(reportInterval) {
		core.lastTick = now // The process does not stand still.
		core.deliver(now, "127.0.0.9:1", berylgate.Report{
			Incarnation: 1, Feeds: []berylspoke.Position{at(0), at(5)}, ContactID: berylfeed.ContactID(now.UnixNano()),
			Complete: []berylspoke.Position{at(1), at(5)},
		})
	}
	require.True(t, core.daemon.mustWatch(berylfeed.Targets, start.Add(bound-answer)))
	require.False(t, core.daemon.mustWatch(berylfeed.Configuration, start.Add(bound-answer)))
}

// Guards against a link between regions that is filled by reads of the store: when nobody
// has contact, each VM of a region reads the same large configuration at the same moment.
func TestOldLargeReplicasAreReadInTurns(t *testing.T) {
	const perRegion, gateways, size = 30, 2, 500_000
	start := time.Unix(1000, 0)
	readers := func(feed berylfeed.Name, age time.Duration) int {
		count := 0
		for rank := range perRegion {
			daemon := &Daemon{settings: &Settings{}, started: start}
			daemon.entries.Store(new(entries))
			daemon.known[feed].Store(true)
			daemon.regionRank.Store(int64(rank))
			daemon.replicaBytes[berylfeed.Configuration].Store(size)
			daemon.completeAsOf[feed].Store(start.UnixNano())
			if daemon.mustWatch(feed, start.Add(age)) {
				count++
			}
		}
		return count
	}
	limit := maxContactAge + urgentTickInterval
	require.Equal(t, gateways, readers(berylfeed.Configuration, limit))
	require.Equal(t, 2*gateways, readers(berylfeed.Configuration, limit+time.Second))
	require.Equal(t, perRegion, readers(berylfeed.Configuration, limit+10*time.Second))
	require.Equal(t, perRegion, readers(berylfeed.Targets, limit))
}

// Guards against a fleet that reads the store as one at its start: a daemon that has just
// learned everything from a peer took the peer's unknown contact for one an hour old.
func TestUnknownContactMakesNoReplicaOld(t *testing.T) {
	start := time.Unix(1000, 0)
	core := newSilentCore(t, start)
	for name := range berylfeed.Count {
		core.deliver(start, "127.0.0.9:1", berylfeed.Delta{Feed: name, Full: true, AsOf: at(5)})
	}
	core.daemon.watcher.Store(false)
	core.deliver(start, "127.0.0.9:1", berylgate.Report{
		Incarnation: 1, Feeds: []berylspoke.Position{at(0), at(5)}, Contact: unknownContactAge, Complete: []berylspoke.Position{at(5), at(5)},
	})
	for name := range berylfeed.Count {
		require.False(t, core.daemon.mustWatch(name, start.Add(time.Second)))
		require.True(t, core.daemon.mustWatch(name, start.Add(maxContactAge+time.Second)))
	}
}

// newSilentCore returns the core of a daemon whose peers never answer.
func newSilentCore(t *testing.T, now time.Time) *core {
	host := uniqueHost()
	domains := map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"}
	settings := &Settings{Name: t.Name(), VM: berylspoke.VMID(host + ":7001"), FailureDomain: "a", Region: "r", RegionOf: domains}
	daemon := &Daemon{
		settings: settings, dialect: testDialect{testCatalog()}, started: now, incarnation: 1, log: zap.NewNop(),
		pool: berylconn.NewPool(0), idle: newIdleConns(), readDue: newReadDue(),
	}
	daemon.meters = newMeters(daemon)
	daemon.entries.Store(new(entries))
	var err error
	daemon.admission, err = newAdmission(t.Context())
	require.NoError(t, err)
	daemon.transport, err = berylpeer.Listen(berylpeer.Options{
		VM: settings.VM, Address: string(settings.VM), Keys: [][]byte{[]byte("a key of the tests only")}, Locator: daemon, Log: daemon.log,
		Handler: func(berylspoke.VMID, []berylspoke.Message) {},
	})
	require.NoError(t, err)
	t.Cleanup(daemon.transport.Close)
	daemon.origins = newOrigins(daemon)
	core := newCore(now, daemon)
	core.tickAfter = func(time.Duration) {}
	return core
}
