package berylgate

// This file estimates how long requests wait for a slot of an engine.

import (
	"time"
)

const (
	// initialHoldMillis is the time for which a request is assumed to hold a slot before
	// any ended. minHoldMillis and maxHoldMillis bound what is learnt.
	initialHoldMillis = 1000.0
	minHoldMillis     = 20.0
	maxHoldMillis     = 60_000.0
	// holdWeight is the weight of one request in the mean.
	holdWeight = 0.02
)

// observeHold updates the mean time for which requests hold a slot.
func (gate *Gate) observeHold(now time.Time, attempt *attempt) {
	pool := gate.pools[attempt.target.Service]
	if pool == nil {
		return
	}
	held := millis(now.Sub(attempt.sentAt)) - attempt.slotWaitMillis
	pool.meanHoldMillis += holdWeight * (min(max(held, minHoldMillis), maxHoldMillis) - pool.meanHoldMillis)
}

// slotWaitMillis returns the expected time until an engine has a slot for another request:
// with all slots in use, one becomes free in the time that a request holds it divided by
// the number of slots.
func (gate *Gate) slotWaitMillis(target *target) float64 {
	excess := target.occupied() + 1 - target.slots
	pool := gate.pools[target.Service]
	if target.engine == nil || excess <= 0 || target.slots <= 0 || pool == nil {
		return 0
	}
	return float64(excess) * pool.meanHoldMillis / float64(target.slots)
}
