package beryledge

import (
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylfeed"
)

// Guards against news that waits for the next regular tick, and against one urgent tick for
// each message of many.
func TestNewsIsSentByAnUrgentTick(t *testing.T) {
	start := time.Unix(1000, 0)
	core := newSilentCore(t, start)
	var delays []time.Duration
	core.tickAfter = func(delay time.Duration) { delays = append(delays, delay) }
	core.tick(start)
	core.scheduleUrgentTick(start)
	require.False(t, core.urgentTickDue, "nothing is to be sent")
	core.applyStoreAnswer(start, storeAnswer{feed: berylfeed.Targets, asOf: at(1), full: true, items: []berylspoke.Item{{Key: "t", Position: at(1)}}})
	core.scheduleUrgentTick(start)
	core.scheduleUrgentTick(start)
	require.Equal(t, []time.Duration{urgentTickInterval}, delays, "one for all messages")
	core.beginTick(start.Add(urgentTickInterval), true)
	require.False(t, core.urgentTickDue)
	core.tick(start.Add(urgentTickInterval))
	core.scheduleUrgentTick(start.Add(urgentTickInterval))
	require.Len(t, delays, 1, "the news was sent")
}

// Guards against urgent ticks that count as late ones: the daemon would take itself for
// short of processor time.
func TestUrgentTicksDoNotRaiseCPUPressure(t *testing.T) {
	start := time.Unix(1000, 0)
	core := newSilentCore(t, start)
	for now := start; now.Sub(start) < 5*time.Second; now = now.Add(urgentTickInterval) {
		core.beginTick(now, now.Sub(start)%tickInterval != 0)
		core.tick(now)
	}
	require.Zero(t, core.daemon.pressure.delay())
}

// Guards against a daemon that does not read the store though its replica is old, because
// its reader sleeps.
func TestReaderIsWokenWhenReplicaIsOld(t *testing.T) {
	start := time.Unix(1000, 0)
	core := newSilentCore(t, start)
	core.applyStoreAnswer(start, storeAnswer{feed: berylfeed.Configuration, asOf: at(1), full: true})
	core.applyStoreAnswer(start, storeAnswer{feed: berylfeed.Targets, asOf: at(1), full: true})
	core.daemon.watcher.Store(false)
	core.daemon.wakeReaders(start)
	require.Empty(t, core.daemon.readDue[berylfeed.Targets])
	core.daemon.wakeReaders(start.Add(maxContactAge + time.Second))
	require.Len(t, core.daemon.readDue[berylfeed.Targets], 1)
}

// Guards against a daemon that crashes at its start on a busy machine: the first message
// of the actor system scheduled a tick, which came before the actor's address was known.
func TestNoTickIsScheduledBeforeTheActorIsKnown(t *testing.T) {
	core := newSilentCore(t, time.Now())
	var scheduled atomic.Int32
	core.tickAfter = func(time.Duration) { scheduled.Add(1) }
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	started := system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return core }))
	require.NoError(t, system.Root.StopFuture(started).Wait())
	require.Zero(t, scheduled.Load())
}
