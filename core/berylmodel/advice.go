package berylmodel

// This file defines engines that ask for something in their answers.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylgate"
)

// Advice makes some engines reject all requests for a while, and ask for rest, or leave.
type Advice struct {
	From, Until time.Duration
	// Engines is the number of engines, beginning with the first.
	Engines int
	// Rest is the rest that they ask for with each rejection. If it is zero, their answers
	// say from From on that they leave.
	Rest time.Duration
}

// restGrace is the time after a rejection in which requests may still arrive.
const restGrace = 500 * time.Millisecond

// asked is what an engine asked of an entry daemon.
type asked struct {
	leaving   bool
	restFrom  time.Time
	restUntil time.Time
}

// askedKey is an entry daemon and an engine.
type askedKey struct {
	entry  int
	engine berylspoke.TargetID
}

// advice returns what applies to an engine now, nil if nothing does.
func (fleet *fleet) advice(now time.Time, engine berylspoke.TargetID) *Advice {
	since := now.Sub(time.Unix(0, 0))
	for i, advice := range fleet.options.Advice {
		for _, id := range fleet.ids[:advice.Engines] {
			if id == engine && since >= advice.From && (since < advice.Until || advice.Rest == 0) {
				return &fleet.options.Advice[i]
			}
		}
	}
	return nil
}

// countArrival counts a request that reaches an engine although the engine asked the entry
// daemon for none.
func (fleet *fleet) countArrival(now time.Time, entry int, engine berylspoke.TargetID) {
	known := fleet.asked[askedKey{entry, engine}]
	if fleet.store != nil && fleet.store.left(now, engine) || known.leaving || now.Sub(known.restFrom) > restGrace && now.Before(known.restUntil) {
		fleet.result.Unwanted++
	}
}

// shed reports whether an engine rejects a request and asks for rest.
func (fleet *fleet) shed(now time.Time, entry int, gate *berylgate.Gate, engine berylspoke.TargetID) bool {
	advice := fleet.advice(now, engine)
	if advice == nil || advice.Rest == 0 {
		return false
	}
	until := now.Add(advice.Rest)
	known := fleet.asked[askedKey{entry, engine}]
	if until.After(known.restUntil) {
		known.restFrom, known.restUntil = now, until
	}
	fleet.asked[askedKey{entry, engine}] = known
	gate.RecordRest(now, berylspoke.TargetRun{ID: engine}, until)
	return true
}

// announceLeaving tells a gate with an answer whether the engine leaves.
func (fleet *fleet) announceLeaving(now time.Time, entry int, gate *berylgate.Gate, engine berylspoke.TargetID) {
	advice := fleet.advice(now, engine)
	if advice == nil || advice.Rest > 0 {
		return
	}
	known := fleet.asked[askedKey{entry, engine}]
	known.leaving = true
	fleet.asked[askedKey{entry, engine}] = known
	gate.RecordLeaving(berylspoke.TargetRun{ID: engine}, now)
}
