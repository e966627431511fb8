package berylgate

// This file defines the dump of a gate.

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

// TargetDump is what a gate believes of one target.
type TargetDump struct {
	ID            berylspoke.TargetID  `json:"id"`
	Service       berylspoke.ServiceID `json:"service"`
	Leaving       bool                 `json:"leaving"`
	BacklogMillis float64              `json:"backlogMillis"`
	Pace          float64              `json:"pace"`
	Running       int                  `json:"running"`
	Others        int                  `json:"others"`
	ErrorRate     float64              `json:"errorRate"`
	Suspect       bool                 `json:"suspect"`
	Paused        bool                 `json:"paused"`
}

// Dump returns the state of the gate.
func (gate *Gate) Dump(now time.Time) Dump {
	dump := Dump{Daemons: gate.daemons, Level: gate.shares.level}
	if math.IsInf(dump.Level, 1) {
		dump.Level = -1
	}
	for _, target := range gate.sorted {
		target.drain(now)
		dump.Targets = append(dump.Targets, TargetDump{
			ID: target.ID, Service: target.Service, Leaving: target.Leaving, BacklogMillis: target.backlog,
			Pace: target.pace, Running: target.running, Others: target.others.running,
			ErrorRate: target.errors, Suspect: target.suspect, Paused: now.Before(target.paused),
		})
	}
	return dump
}
