package berylserve

// This file defines the goroutines that watch the platform and poll the load of targets.

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylnode"
	"berylspoke/io/berylsettings"
)

const (
	// watchCheckInterval is the mean time after which a daemon that does not watch the
	// platform checks again whether it should.
	watchCheckInterval = 2 * time.Second
	// nonWatcherInterval is the time after which a daemon that does not watch the
	// platform reads it once, in case the watchers of its failure domain receive nothing.
	nonWatcherInterval = 60 * time.Second
)

// platformBackoff returns randomised delays. All daemons may lose the platform at
// the same moment; the delays prevent a thundering herd when it returns.
func platformBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 200 * time.Millisecond
	delays.MaxInterval = 5 * time.Second
	return delays
}

func (daemon *Daemon) watchVMs() {
	followVMs(daemon.ctx, daemon.platform, daemon.log, func(vms []berylspoke.VM) { daemon.send(vmsListed{vms}) })
}

// followVMs calls apply for the first list of VMs and for each that differs from the one
// before it. The revision only tells the platform what the reader has: a platform that
// returned from an older copy gives revisions out again.
func followVMs(ctx context.Context, platform berylspoke.Platform, log *zap.Logger, apply func([]berylspoke.VM)) {
	var revision uint64
	var applied []berylspoke.VM
	delays := platformBackoff()
	for ctx.Err() == nil {
		vms, next, err := platform.VMs(ctx, revision)
		if err != nil {
			log.Debug("cannot read the list of VMs from the platform; retrying after a delay", zap.Error(err))
			sleep(ctx, delays.NextBackOff())
			continue
		}
		delays.Reset()
		if revision == 0 || !slices.Equal(vms, applied) {
			apply(vms)
		}
		revision, applied = next, vms
	}
}

func (daemon *Daemon) watchPatches() {
	delays := platformBackoff()
	lastRead := time.Now()
	for daemon.ctx.Err() == nil {
		var number berylspoke.PatchNumber
		watches := false
		err := daemon.inspect(daemon.ctx, func(now time.Time, node *berylnode.Node) {
			number, watches = node.Config().Number, node.WatchesPlatform(now)
		})
		if err != nil {
			return
		}
		if !watches && time.Since(lastRead) < nonWatcherInterval {
			sleep(daemon.ctx, watchCheckInterval/2+rand.N(watchCheckInterval))
			continue
		}
		lastRead = time.Now()
		entries, err := daemon.platform.Patches(daemon.ctx, number)
		if err != nil {
			daemon.log.Debug("cannot read patches from the platform; retrying after a delay", zap.Error(err))
			sleep(daemon.ctx, delays.NextBackOff())
			continue
		}
		delays.Reset()
		if len(entries) > 0 {
			daemon.send(patchesPublished{entries})
		}
	}
}

// pollLoads polls the load of the targets whose lessor is this daemon.
func (daemon *Daemon) pollLoads() {
	interval := berylsettings.Millis(daemon.settings.Targets.LoadIntervalMillis)
	for sleep(daemon.ctx, interval) {
		var leased []berylspoke.TargetID
		if daemon.inspect(daemon.ctx, func(_ time.Time, node *berylnode.Node) { leased = node.LeasedTargets() }) != nil {
			return
		}
		var group sync.WaitGroup
		for _, target := range leased {
			group.Add(1)
			go func() {
				defer group.Done()
				daemon.readLoad(target)
			}()
		}
		group.Wait()
	}
}

func (daemon *Daemon) readLoad(target berylspoke.TargetID) {
	report, actual, err := daemon.targets.Report(daemon.ctx, target)
	if err != nil {
		daemon.log.Debug("cannot read the load of a target", zap.String("target", string(target)), zap.Error(err))
		return
	}
	daemon.send(loadReported{target, report, actual})
}

func (daemon *Daemon) sendOrder(order berylnode.Order) {
	err := daemon.targets.Order(daemon.ctx, order.Target, order.Order)
	daemon.log.Info("engine order request finished", zap.String("target", string(order.Target)),
		zap.Uint64("fence", order.Order.Fence), zap.String("model", order.Order.Model), zap.Error(err))
}
