package beryledge

// This file defines how a daemon measures its CPU pressure and reacts to it.

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// observationWeight is the weight of one observation in the mean delay, which thus
	// covers about the last twenty requests and ticks.
	observationWeight = 0.05
	// highPressure is the mean delay beyond which the daemon makes callers use other
	// daemons. A decision takes a tenth of a millisecond, and up to three milliseconds
	// on a VM that uses two thirds of its processor time. A request waits for the
	// processor three times while the daemon handles it; at this delay, that takes a
	// tenth of its objective in total.
	highPressure = 12 * time.Millisecond
	// withdrawDuration is how long the address of a daemon under high CPU pressure is
	// not given to callers: they cache addresses for a second, and the daemon's queues
	// drain in the meantime.
	withdrawDuration = 3 * time.Second
	// minOtherEntries is the number of other daemons in the failure domain that must
	// remain announced to callers.
	minOtherEntries = 2
)

// cpuPressure is the mean delay of decisions and ticks, which grows when they have to
// wait for the processor. Under high CPU pressure the daemon closes connections on which
// it refused a request, so that their callers choose an address again.
type cpuPressure struct {
	mutex sync.Mutex
	mean  time.Duration
}

// observe adds the time that a decision took, or by which a tick was late.
func (pressure *cpuPressure) observe(delay time.Duration) {
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	pressure.mean += time.Duration(observationWeight * float64(max(delay, 0)-pressure.mean))
}

// high reports whether the CPU pressure is high.
func (pressure *cpuPressure) high() bool { return pressure.delay() > highPressure }

// delay returns the mean delay.
func (pressure *cpuPressure) delay() time.Duration {
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	return pressure.mean
}

// withdraw removes the daemon's address from resolve answers while the CPU pressure is
// high, and announces it again afterwards. A caller with a flood of requests may have
// chosen this daemon; given other addresses it moves within a second, whereas closing
// its connections alone would make it return over new ones.
func (core *core) withdraw(now time.Time) {
	daemon := core.daemon
	if !daemon.ready.Load() || daemon.stopping() || now.Before(core.withdrawnUntil) {
		return
	}
	starved := daemon.pressure.high() && core.announcedInDomain() >= minOtherEntries
	switch withdrawn := !core.withdrawnUntil.IsZero(); {
	case starved:
		core.withdrawnUntil = now.Add(withdrawDuration)
		core.table.Announce("", daemon.settings.Capacity)
		daemon.log.Warn("address withdrawn from callers, CPU pressure is high", zap.Int("othersNear", core.announcedInDomain()))
	case withdrawn:
		core.withdrawnUntil = time.Time{}
		core.table.Announce(daemon.settings.CallersAddress, daemon.settings.Capacity)
		daemon.log.Info("address announced to callers again")
	}
}

// announcedInDomain returns the number of other daemons in the failure domain that are
// announced to callers.
func (core *core) announcedInDomain() int {
	count := 0
	for _, vm := range core.table.Live() {
		member := core.table.Member(vm)
		if vm != core.daemon.settings.VM && member.VM.FailureDomain == core.daemon.settings.FailureDomain && member.VM.CallAddress != "" {
			count++
		}
	}
	return count
}
