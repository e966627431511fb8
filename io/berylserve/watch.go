package berylserve

// This file defines the loops that read the platform and the targets' load.

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylnode"
	"berylspoke/io/berylsettings"
)

const (
	// watchLook is the time between two looks whether to watch the platform.
	watchLook = 2 * time.Second
	// anyoneAfter is the time after which a daemon that is no watcher asks the
	// platform once, in case the watchers of its failure domain hear nothing.
	anyoneAfter = 60 * time.Second
)

// platformBackoff spreads the calls of a fleet that lost the platform at one
// moment, so that its return is no thundering herd.
func platformBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 200 * time.Millisecond
	delays.MaxInterval = 5 * time.Second
	return delays
}

func (daemon *Daemon) watchVMs() {
	var revision uint64
	delays := platformBackoff()
	for daemon.ctx.Err() == nil {
		vms, next, err := daemon.platform.VMs(daemon.ctx, revision)
		if err != nil {
			daemon.log.Debug("list of VMs not read", zap.Error(err))
			pause(daemon.ctx, delays.NextBackOff())
			continue
		}
		delays.Reset()
		if next != revision {
			daemon.send(listed{vms})
		}
		revision = next
	}
}

func (daemon *Daemon) watchPatches() {
	delays := platformBackoff()
	lastRead := time.Now()
	for daemon.ctx.Err() == nil {
		var number berylspoke.EntryNumber
		watches := false
		err := daemon.look(daemon.ctx, func(now time.Time, node *berylnode.Node) {
			number, watches = node.Config().Number, node.Watches(now)
		})
		if err != nil {
			return
		}
		if !watches && time.Since(lastRead) < anyoneAfter {
			pause(daemon.ctx, watchLook/2+rand.N(watchLook))
			continue
		}
		lastRead = time.Now()
		entries, err := daemon.platform.Patches(daemon.ctx, number)
		if err != nil {
			daemon.log.Debug("patches not read", zap.Error(err))
			pause(daemon.ctx, delays.NextBackOff())
			continue
		}
		delays.Reset()
		if len(entries) > 0 {
			daemon.send(published{entries})
		}
	}
}

// pollLoads reads the load of the targets kept here.
func (daemon *Daemon) pollLoads() {
	every := berylsettings.Millis(daemon.settings.Targets.LoadMillis)
	for pause(daemon.ctx, every) {
		var kept []berylspoke.TargetID
		if daemon.look(daemon.ctx, func(_ time.Time, node *berylnode.Node) { kept = node.Kept() }) != nil {
			return
		}
		var group sync.WaitGroup
		for _, target := range kept {
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
	report, held, err := daemon.targets.Report(daemon.ctx, target)
	if err != nil {
		daemon.log.Debug("load not read", zap.String("target", string(target)), zap.Error(err))
		return
	}
	daemon.send(reported{target, report, held})
}

func (daemon *Daemon) order(order berylnode.Order) {
	err := daemon.targets.Order(daemon.ctx, order.Target, order.Order)
	daemon.log.Info("order given", zap.String("target", string(order.Target)),
		zap.Uint64("fence", order.Order.Fence), zap.String("model", order.Order.Model), zap.Error(err))
}
