package beryledge

// This file defines the planned stop.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"berylspoke"
)

const (
	// stopNotice is the least time between the announcement and the end: callers
	// keep the addresses that they were told for a while.
	stopNotice = 1500 * time.Millisecond
	// stopQuiet is the time without a request after which callers have left.
	stopQuiet = 800 * time.Millisecond
	// stopReserve is left of the time to stop within for the last answers to
	// arrive before the process is killed.
	stopReserve = 500 * time.Millisecond
	// stopStreams and stopCalls are the times after the announcement up to which
	// a stream, and any other request, is still taken. A caller that comes later
	// missed the news of the stop; what it asks for might not end in time, and
	// another daemon takes it at once.
	stopStreams = 2500 * time.Millisecond
	stopCalls   = 5 * time.Second
	// stopWait is when it may come back, which it does at another daemon.
	stopWait = 20 * time.Millisecond
	// stopLook is the time between two looks at what is left.
	stopLook = 50 * time.Millisecond
)

// Stop leaves the fleet without cutting a request: the daemon is announced as
// leaving and serves on until its callers have left.
func (daemon *Daemon) Stop() {
	began := time.Now()
	daemon.stopBegan.Store(began.UnixNano())
	daemon.stopping.Store(true)
	daemon.log.Info("stopping", zap.Int64("active", daemon.active.Load()))
	daemon.look(func(now time.Time, core *core) {
		core.table.Leave(now)
		core.tick(now)
	})
	last := began.Add(daemon.settings.StopWithin - stopReserve)
	for time.Now().Before(last) && !daemon.quiet(began) {
		time.Sleep(stopLook)
	}
	ctx, cancel := context.WithDeadline(context.Background(), last.Add(stopReserve/2))
	defer cancel()
	err := daemon.callers.Shutdown(ctx)
	daemon.log.Info("stopped", zap.Int64("active", daemon.active.Load()), cause(err))
	daemon.Kill()
}

// tooLate says whether a stopping daemon no longer takes a request of a kind.
func (daemon *Daemon) tooLate(now time.Time, kind berylspoke.Kind) bool {
	if !daemon.stopping.Load() {
		return false
	}
	since := now.Sub(time.Unix(0, daemon.stopBegan.Load()))
	if kind == berylspoke.Streaming {
		return since > stopStreams
	}
	return since > stopCalls
}

// quiet says whether the callers have left.
func (daemon *Daemon) quiet(began time.Time) bool {
	now := time.Now()
	last := time.Unix(0, daemon.lastRequest.Load())
	return now.Sub(began) > stopNotice && now.Sub(last) > stopQuiet && daemon.active.Load() == 0
}

// Reload takes what may change while the process runs: the seeds, the time to
// stop within, and the retry budget. Addresses need a new process.
func (daemon *Daemon) Reload(settings *Settings) {
	daemon.look(func(now time.Time, core *core) {
		daemon.settings.Seeds = settings.Seeds
		daemon.settings.StopWithin = settings.StopWithin
		core.table.Join(now, settings.Seeds)
	})
	daemon.log.Info("settings reloaded", zap.Int("seeds", len(settings.Seeds)))
}
