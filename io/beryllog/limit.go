package beryllog

import (
	"sync/atomic"
	"time"
)

// Limit bounds how often something is logged. The zero value has logged nothing yet.
type Limit struct{ last atomic.Int64 }

// Due reports whether the next line may be logged.
func (limit *Limit) Due(now time.Time, interval time.Duration) bool {
	last := limit.last.Load()
	return now.UnixNano()-last >= int64(interval) && limit.last.CompareAndSwap(last, now.UnixNano())
}
