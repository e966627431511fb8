package beryledge

// This file defines the planned stop.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"berylspoke"
)

const (
	// stopNotice is the minimum time between the announcement and the end: callers
	// cache the addresses that they resolved for a while.
	stopNotice = 1500 * time.Millisecond
	// stopQuiet is the time without a request after which callers count as having left.
	stopQuiet = 800 * time.Millisecond
	// stopReserve is the end of the stop timeout that is reserved for the last answers
	// to arrive before the process is killed.
	stopReserve = 500 * time.Millisecond
	// acceptStreams and acceptCalls are the times after the announcement up to which
	// streams and other requests are still accepted. A later caller has not noticed the
	// announcement. Its request might not end in time, and another daemon accepts it at
	// once.
	acceptStreams = 2500 * time.Millisecond
	acceptCalls   = 5 * time.Second
	// stopRetryAfter is the delay after which such a caller may retry, which it does at
	// another daemon.
	stopRetryAfter = 20 * time.Millisecond
	// stopPollInterval is the time between two checks of whether callers have left.
	stopPollInterval = 50 * time.Millisecond
	// cutTimeout bounds the wait for the requests that the end of the stop cancels, and
	// cutPollInterval is the time between two checks of whether they have ended.
	cutTimeout      = 100 * time.Millisecond
	cutPollInterval = 5 * time.Millisecond
)

// Stop leaves the fleet without interrupting requests: the daemon announces that it is
// leaving and continues to serve until its callers have left.
func (daemon *Daemon) Stop() {
	started := time.Now()
	daemon.stopStarted.Store(started.UnixNano())
	daemon.stopping.Store(true)
	daemon.log.Info("stopping", zap.Int64("active", daemon.active.Load()), zap.Duration("timeout", daemon.settings.StopTimeout))
	daemon.inspectCore(func(now time.Time, core *core) {
		core.table.Leave(now)
		core.tick(now)
	})
	deadline := started.Add(daemon.settings.StopTimeout - stopReserve)
	for time.Now().Before(deadline) && !daemon.quiet(started) {
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(stopReserve/2))
	defer cancel()
	err := daemon.callerServer.Shutdown(ctx)
	daemon.calls.each(func(call *call) { call.cancel(errStopEnded) })
	for limit := time.Now().Add(cutTimeout); daemon.active.Load() > 0 && time.Now().Before(limit); {
		time.Sleep(cutPollInterval)
	}
	daemon.log.Info("stopped", zap.Int64("active", daemon.active.Load()), cause(err))
	daemon.Kill()
}

// stopBegan returns when the planned stop began.
func (daemon *Daemon) stopBegan() time.Time { return time.Unix(0, daemon.stopStarted.Load()) }

// tooLate reports whether a stopping daemon no longer accepts a request of a kind.
func (daemon *Daemon) tooLate(now time.Time, kind berylspoke.Kind) bool {
	if !daemon.stopping.Load() {
		return false
	}
	since := now.Sub(daemon.stopBegan())
	if kind == berylspoke.Streaming {
		return since > acceptStreams
	}
	return since > acceptCalls
}

// quiet reports whether callers have stopped sending requests and none is active.
func (daemon *Daemon) quiet(started time.Time) bool {
	now := time.Now()
	last := time.Unix(0, daemon.lastRequest.Load())
	return now.Sub(started) > stopNotice && now.Sub(last) > stopQuiet && daemon.active.Load() == 0
}

// Reload applies the settings that may change while the process runs: the seeds and the
// time to stop within. Changes of addresses need a new process.
func (daemon *Daemon) Reload(settings *Settings) {
	daemon.inspectCore(func(now time.Time, core *core) {
		daemon.settings.Seeds = settings.Seeds
		daemon.settings.StopTimeout = settings.StopTimeout
		core.table.Join(now, settings.Seeds)
	})
	daemon.log.Info("settings reloaded", zap.Int("seeds", len(settings.Seeds)))
}
