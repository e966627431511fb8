package beryledge

// This file defines how a daemon notices that it has too little processor time.

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// strainWeight is the part of one observation in the mean delay: the last
	// twenty requests and ticks count.
	strainWeight = 0.05
	// strainHigh is the mean delay beyond which the daemon asks callers to go
	// elsewhere. A decision takes a tenth of a millisecond, and up to three on a
	// VM at two thirds of its processor; at this delay a request waits three times
	// on its way through the daemon for as long, a tenth of its objective.
	strainHigh = 12 * time.Millisecond
	// withdrawFor is how long a strained daemon is not told to callers: they keep
	// what they were told for a second, and its queues drain meanwhile.
	withdrawFor = 3 * time.Second
	// withdrawLeast is the number of other daemons in the failure domain that
	// must be left to callers.
	withdrawLeast = 2
)

// strain is the mean delay of decisions and ticks, which wait for the processor
// when it is short. A strained daemon closes the connections that it refused
// something on, and callers pick again.
type strain struct {
	mutex sync.Mutex
	mean  time.Duration
}

// observe takes how long a decision took, or how late a tick was.
func (strain *strain) observe(delay time.Duration) {
	strain.mutex.Lock()
	defer strain.mutex.Unlock()
	strain.mean += time.Duration(strainWeight * float64(max(delay, 0)-strain.mean))
}

// high says whether the processor is short.
func (strain *strain) high() bool { return strain.delay() > strainHigh }

// delay returns the mean delay.
func (strain *strain) delay() time.Duration {
	strain.mutex.Lock()
	defer strain.mutex.Unlock()
	return strain.mean
}

// withdraw takes a strained daemon out of what callers are told, and back. One
// caller with a flood of requests may have picked it; told of other addresses,
// it leaves within a second, where closing connections alone would bring it back
// over a new one.
func (core *core) withdraw(now time.Time) {
	daemon := core.daemon
	if !daemon.ready.Load() || daemon.stopping.Load() || now.Before(core.withdrawn) {
		return
	}
	strained := daemon.strain.high() && core.announcedNear() >= withdrawLeast
	switch withdrawn := !core.withdrawn.IsZero(); {
	case strained:
		core.withdrawn = now.Add(withdrawFor)
		core.table.Announce("", daemon.settings.Capacity)
		daemon.log.Warn("withdrawn from callers, processor short", zap.Int("othersNear", core.announcedNear()))
	case withdrawn:
		core.withdrawn = time.Time{}
		core.table.Announce(daemon.settings.Callers, daemon.settings.Capacity)
		daemon.log.Info("back for callers")
	}
}

// announcedNear counts the other daemons of the failure domain that callers are
// told of.
func (core *core) announcedNear() int {
	count := 0
	for _, vm := range core.table.Live() {
		member := core.table.Member(vm)
		if vm != core.daemon.settings.VM && member.VM.FailureDomain == core.daemon.settings.FailureDomain && member.VM.CallAddress != "" {
			count++
		}
	}
	return count
}
