package berylmember

// This file defines which rumours a heartbeat carries.

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

// notAlive lists the rumours of daemons that are suspect or dead.
func (table *Table) notAlive() []Rumour {
	var notAlive []Rumour
	for _, member := range table.Members() {
		if member.Rumour.Status != Alive {
			notAlive = append(notAlive, member.Rumour)
		}
	}
	return notAlive
}

func (table *Table) heartbeat(rumours []Rumour) Heartbeat {
	return Heartbeat{Self: table.self.Rumour, Rumours: rumours}
}
