package beryledge

// This file defines how messages are dated that waited while the process stood still.

import (
	"time"
)

const (
	// maxTickGap is the gap between two ticks beyond which messages may have waited for the process, and
	// drainTime how long after it such messages may still be handled.
	maxTickGap = 3 * tickInterval
	drainTime  = 500 * time.Millisecond
)

// heldUp returns for how long a message that is handled now may have waited, in the socket or in the
// mailbox, as the process stood still. Short waits count as none.
func (core *core) heldUp(now time.Time) time.Duration {
	since := core.lastTick
	if now.Before(core.drainedAt) {
		since = core.stoodSince
	}
	if held := now.Sub(since); held > maxTickGap {
		return held
	}
	return 0
}

// observeStandstill records a gap between two ticks.
func (core *core) observeStandstill(now time.Time) {
	if now.Sub(core.lastTick) <= maxTickGap {
		return
	}
	if !now.Before(core.drainedAt) {
		core.stoodSince = core.lastTick
	}
	core.drainedAt = now.Add(drainTime)
}
