package berylgate

// This file defines the dump of a gate's state.

import (
	"math"
	"time"

	"berylspoke"
)

// Dump is the state of a gate.
type Dump struct {
	Daemons int          `json:"daemons"`
	Level   float64      `json:"level"`
	Targets []TargetDump `json:"targets"`
}

// TargetDump is the state that a gate keeps of one target.
type TargetDump struct {
	ID            berylspoke.TargetID  `json:"id"`
	Service       berylspoke.ServiceID `json:"service"`
	Draining      bool                 `json:"leaving"`
	BacklogMillis float64              `json:"backlogMillis"`
	Slowdown      float64              `json:"pace"`
	Running       int                  `json:"running"`
	OthersRunning int                  `json:"others"`
	ErrorRate     float64              `json:"errorRate"`
	Suspect       bool                 `json:"suspect"`
	Paused        bool                 `json:"paused"`
	// Resting says that the target asked this daemon for rest, Recovering that it gets few
	// requests since.
	Resting    bool `json:"resting"`
	Recovering bool `json:"recovering"`
	// Silent says that the target answered no daemon recently, WaitMillis how long requests
	// are known to wait there.
	Silent     bool    `json:"silent"`
	WaitMillis float64 `json:"waitMillis"`
}

// Dump returns the state of the gate.
func (gate *Gate) Dump(now time.Time) Dump {
	dump := Dump{Daemons: gate.maxDaemons, Level: gate.shares.level}
	if math.IsInf(dump.Level, 1) {
		dump.Level = -1
	}
	for _, target := range gate.sorted {
		target.drain(now)
		dump.Targets = append(dump.Targets, TargetDump{
			ID: target.ID, Service: target.Service, Draining: target.Draining, BacklogMillis: target.backlogMillis,
			Slowdown: target.slowdown, Running: target.running, OthersRunning: target.others.running,
			ErrorRate: target.errorRate, Suspect: target.suspect, Paused: now.Before(target.pausedUntil),
			Resting: target.resting, Recovering: target.recovery.limit > 0,
			Silent: target.silent(now), WaitMillis: target.wait.now(now),
		})
	}
	return dump
}
