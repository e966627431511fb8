package berylsoak

// This file defines the quota of processor time of a process.

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the time in which a process uses its share of a core, quotaTick the time between
	// two looks at what it has used.
	quotaPeriod, quotaTick = 100 * time.Millisecond, 2 * time.Millisecond
)

// processorTime returns the processor time that a process has used, of all its threads.
func processorTime(pid int) (time.Duration, bool) {
	const scheduled = 2
	var used unix.Timespec
	err := unix.ClockGettime(int32(^pid<<3|scheduled), &used)
	return time.Duration(used.Nano()), err == nil
}

// limitProcessor stops a process for the rest of each period in which it has used its share of a core, as
// a quota of processor time does.
func (world *World) limitProcessor(ctx context.Context, process *process) {
	share := time.Duration(world.size.Quota * float64(quotaPeriod))
	var pid int
	var base time.Duration
	begins, held := time.Now(), false
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			process.signal(syscall.SIGCONT)
			return
		case <-ticker.C:
		}
		now, current := time.Now(), process.pid()
		used, known := processorTime(current)
		if current != pid || now.Sub(begins) >= quotaPeriod {
			if held && !process.suspended.Load() {
				process.signal(syscall.SIGCONT)
			}
			pid, base, begins, held = current, used, now, false
			continue
		}
		if known && !held && used-base > share {
			world.judge.recordHeld()
			process.signal(syscall.SIGSTOP)
			held = true
		}
	}
}

// pid returns the id of the current run of a process.
func (process *process) pid() int {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.command.Process.Pid
}

// recordHeld counts a period in which a process used up its quota.
func (judge *Judge) recordHeld() {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.held++
}
