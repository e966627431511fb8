package berylmember

// This file defines which rumours a heartbeat carries.

import (
	"maps"
	"slices"
)

// takePending returns the rumours for the next heartbeat and counts down their repetitions;
// rumours beyond rumoursPerHeartbeat wait for a later one.
func (table *Table) takePending() []Rumour {
	var rumours []Rumour
	for id := range table.pending {
		if len(rumours) == rumoursPerHeartbeat {
			break
		}
		if member := table.members[id]; member != nil {
			rumours = append(rumours, member.Rumour)
		}
		table.pending[id]--
		if table.pending[id] <= 0 {
			delete(table.pending, id)
		}
	}
	return rumours
}

func (table *Table) knownRumours(limit int) []Rumour {
	var rumours []Rumour
	for _, member := range table.members {
		if len(rumours) < limit && member != table.self && member.Rumour.Process.Incarnation != 0 {
			rumours = append(rumours, member.Rumour)
		}
	}
	return rumours
}

// rumoursNotAlive returns the rumours about daemons that are suspect or dead, sorted by id.
func (table *Table) rumoursNotAlive() []Rumour {
	var rumours []Rumour
	for _, id := range slices.Sorted(maps.Keys(table.notAlive)) {
		rumours = append(rumours, table.members[id].Rumour)
	}
	return rumours
}

func (table *Table) heartbeat(rumours []Rumour) Heartbeat {
	return Heartbeat{Self: table.self.Rumour, Rumours: rumours}
}
