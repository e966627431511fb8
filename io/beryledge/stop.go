package beryledge

// This file defines the planned stop.

import (
	"time"

	"go.uber.org/zap"

	"berylspoke/core/berylstop"
)

const (
	// stopNotice is the minimum time between the announcement and the end: callers
	// cache the addresses that they resolved for a while.
	stopNotice = 1500 * time.Millisecond
	// stopQuiet is the time without a request after which callers count as having left.
	stopQuiet = 800 * time.Millisecond
	// stopPollInterval is the time between two checks of whether callers have left.
	stopPollInterval = 50 * time.Millisecond
)

// Stop leaves the fleet without interrupting requests: the daemon announces that it is
// leaving and continues to serve until its callers have left. Requests that might not end in
// time are rejected.
func (daemon *Daemon) Stop() {
	stop := berylstop.New(time.Now(), daemon.stopTimeout())
	daemon.stop.Store(&stop)
	daemon.log.Info("stopping", zap.Int64("active", daemon.active.Load()), zap.Time("end", stop.End))
	for _, call := range daemon.calls.all() {
		call.boundBody()
	}
	daemon.inspectCore(func(now time.Time, core *core) {
		core.table.Leave(now)
		core.tick(now)
	})
	for time.Now().Before(stop.End) && !daemon.quiet(stop.Began) {
		time.Sleep(min(stopPollInterval, time.Until(stop.End)))
	}
	daemon.endRequests(stop)
	daemon.Kill()
}

// endRequests accepts no more connections, ends the requests that are active at the end of a stop, and
// waits until their callers have their answers. What still arrives is answered too: http.Server.Shutdown
// would close connections whose request it has read.
func (daemon *Daemon) endRequests(stop berylstop.Stop) {
	open := daemon.callerListener.openConns()
	daemon.callerListener.end(stop.Answered())
	daemon.callerListener.awaitClosed(stop.End)
	active := daemon.calls.all()
	for _, call := range active {
		call.cut()
	}
	daemon.callerListener.awaitClosed(stop.Answered())
	daemon.callerListener.awaitAnswers(stop.Exits())
	daemon.log.Info("stopped", zap.Int("active", len(active)), zap.Int64("left", daemon.active.Load()),
		zap.Int("connections", open), zap.Int("connectionsLeft", daemon.callerListener.openConns()),
		zap.Uint64("unanswered", daemon.meters.unanswered.Get()))
}

func (daemon *Daemon) stopTimeout() time.Duration { return time.Duration(daemon.stopNanos.Load()) }

func (daemon *Daemon) stopping() bool { return daemon.stop.Load() != nil }

// quiet reports whether callers have stopped sending requests and none is active.
func (daemon *Daemon) quiet(started time.Time) bool {
	now := time.Now()
	last := time.Unix(0, daemon.lastRequest.Load())
	return now.Sub(started) > stopNotice && now.Sub(last) > stopQuiet && daemon.active.Load() == 0
}

// Reload applies the settings that may change while the process runs: the seeds and the
// time to stop within, which does not change for a stop that has begun. Changes of addresses
// need a new process.
func (daemon *Daemon) Reload(settings *Settings) {
	daemon.stopNanos.Store(int64(settings.StopTimeout))
	daemon.inspectCore(func(now time.Time, core *core) {
		daemon.settings.Seeds = settings.Seeds
		core.table.Join(now, settings.Seeds)
	})
	daemon.log.Info("settings reloaded", zap.Int("seeds", len(settings.Seeds)), zap.Duration("stopTimeout", settings.StopTimeout))
}
