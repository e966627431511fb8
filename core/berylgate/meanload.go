package berylgate

// This file estimates how busy the engines are of which nothing recent is known.

import (
	"math"
	"time"
)

const (
	// meanLoadWeight is the weight of one observation in the means over the engines of a
	// service.
	meanLoadWeight = 0.1
	// meanWaitDecay and meanOccupancyDecay are the time constants with which the means
	// are forgotten while nothing is observed.
	meanWaitDecay      = time.Second
	meanOccupancyDecay = 10 * time.Second
	// loadDecay is the time constant with which an observation of one engine gives way
	// to the mean.
	loadDecay = 700 * time.Millisecond
	// waitNoiseMillis is the mean wait that is attributed to the error of the model.
	waitNoiseMillis = 40.0
	// maxOccupancy bounds the observed ratio of an engine's requests to its slots.
	maxOccupancy = 4.0
)

// meanLoad is the mean load of the engines of a service, from the answers to this daemon and
// the reports of others. It stands in for engines of which nothing recent is known.
type meanLoad struct {
	updated time.Time
	// occupancy is the mean ratio of the running and waiting requests of an engine to its
	// slots, waitMillis the mean time that requests wait.
	occupancy, waitMillis float64
}

// decay advances the means to the given time.
func (mean *meanLoad) decay(now time.Time) {
	if elapsed := now.Sub(mean.updated); elapsed > 0 {
		mean.waitMillis *= math.Exp(-float64(elapsed) / float64(meanWaitDecay))
		mean.occupancy *= math.Exp(-float64(elapsed) / float64(meanOccupancyDecay))
		mean.updated = now
	}
}

func (mean *meanLoad) observeOccupancy(now time.Time, occupancy float64) {
	mean.decay(now)
	mean.occupancy += meanLoadWeight * (min(max(occupancy, 0), maxOccupancy) - mean.occupancy)
}

func (mean *meanLoad) observeWait(now time.Time, waitedMillis float64) {
	mean.decay(now)
	mean.waitMillis += meanLoadWeight * (min(max(waitedMillis, 0), millis(maxWait)) - mean.waitMillis)
}

// excessWaitMillis returns the mean wait beyond the error of the model.
func (mean *meanLoad) excessWaitMillis(now time.Time) float64 {
	mean.decay(now)
	return max(0, mean.waitMillis-waitNoiseMillis)
}

// unknownShare returns the weight of the mean against an observation of the given age.
func unknownShare(age time.Duration) float64 {
	return 1 - math.Exp(-float64(max(age, 0))/float64(loadDecay))
}

// meanLoadOf returns the mean load of the engines of a target's service.
func (gate *Gate) meanLoadOf(target *target) *meanLoad {
	if pool := gate.pools[target.Service]; pool != nil {
		return &pool.mean
	}
	return new(meanLoad)
}

// adoptLoad adopts the load that a target reported to this daemon or another one.
func (gate *Gate) adoptLoad(now time.Time, target *target, reported load) {
	if target.engine != nil && target.slots > 0 && now.Sub(reported.at) < loadDecay {
		gate.meanLoadOf(target).observeOccupancy(now, float64(reported.running+reported.waiting)/float64(target.slots))
	}
	target.adoptLoad(now, reported)
}

// unknownWaitMillis returns the expected wait for a slot, or the mean wait at all engines as
// far as nothing recent is known of this one.
func (gate *Gate) unknownWaitMillis(now time.Time, target *target) float64 {
	slotWait := gate.slotWaitMillis(target)
	if target.engine == nil || !gate.largeFleet() {
		return slotWait
	}
	return max(slotWait, unknownShare(now.Sub(target.wait.at))*gate.meanLoadOf(target).excessWaitMillis(now))
}
