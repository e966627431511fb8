package berylmember

// This file defines failure detection and when heartbeats are due.

import (
	"sort"
	"time"

	"berylspoke"
)

// Due is a heartbeat and the VMs that it is sent to.
type Due struct {
	To        []berylspoke.VMID
	Heartbeat Heartbeat
}

// Tick advances failure detection and returns the heartbeats due.
func (table *Table) Tick(now time.Time) []Due {
	table.relink()
	table.detect(now)
	table.relink()
	periodic := now.Sub(table.lastHeartbeat) >= table.options.Interval
	if !periodic && !table.urgent {
		return nil
	}
	var due []Due
	rumours := table.takePending()
	if len(rumours) > 0 {
		due = append(due, Due{To: table.Links(), Heartbeat: table.heartbeat(rumours)})
		table.lastHeartbeat = now
	} else if periodic {
		due = append(due, Due{To: table.out, Heartbeat: table.heartbeat(nil)})
		table.lastHeartbeat = now
	}
	table.urgent = false
	if now.Sub(table.lastRecheck) >= table.options.RecheckInterval {
		table.lastRecheck = now
		due = append(due, table.recheck(now)...)
		if dead := table.deadSuccessor(now); dead != "" {
			// The heartbeat carries the rumour that its receiver is dead. If only one side
			// of a healed partition holds that rumour, nothing else makes the receiver
			// refute it.
			deadRumour := []Rumour{table.members[dead].Rumour}
			due = append(due, Due{To: []berylspoke.VMID{dead}, Heartbeat: table.heartbeat(deadRumour)})
		}
	}
	return due
}

// recheck sends one linked daemon, in turn, the rumours about daemons that are not alive. A
// refutation is sent only a few times and may be lost; without this the refuting daemon
// would stay dead in this table forever. A receiver with newer rumours replies with these.
func (table *Table) recheck(now time.Time) []Due {
	notAlive, linked := table.rumoursNotAlive(), table.Links()
	if len(notAlive) == 0 || len(linked) == 0 {
		return nil
	}
	turn := int(now.UnixNano()/int64(table.options.RecheckInterval)) % len(linked)
	return []Due{{To: linked[turn : turn+1], Heartbeat: table.heartbeat(notAlive[:min(len(notAlive), rumoursPerHeartbeat)])}}
}

// detect marks silent members as suspect, and suspects as dead once their time to refute
// is over. After a pause of this daemon, Resume must be called first, since the daemon
// received nothing during the pause.
func (table *Table) detect(now time.Time) {
	for id, since := range table.monitoredSince {
		member := table.members[id]
		if member == nil || member.Rumour.Status != Alive || member.Rumour.Process.Incarnation == 0 && !member.Listed {
			continue
		}
		last := member.LastSeen
		if since.After(last) {
			last = since
		}
		if now.Sub(last) > table.options.SuspectAfter {
			table.declare(now, member, Suspect)
		}
	}
	for id := range table.notAlive {
		member := table.members[id]
		if member.Rumour.Status == Suspect && now.Sub(member.Changed) > table.options.DeadAfter {
			table.declare(now, member, Dead)
		}
		if table.options.Open && member.Rumour.Status == Dead && now.Sub(member.Changed) > table.options.ForgetAfter {
			table.remove(id)
			table.version++
		}
	}
}

// declare sets the status of a member and spreads it.
func (table *Table) declare(now time.Time, member *Member, status Status) {
	table.setStatus(member, status)
	member.Changed = now
	table.enqueue(member.VM.ID)
	table.changed(now)
}

// Resume restarts the time-outs after a pause of this daemon, during which every member
// only seemed silent.
func (table *Table) Resume(now time.Time) {
	for id := range table.monitoredSince {
		table.monitoredSince[id] = now
	}
	for id := range table.notAlive {
		if member := table.members[id]; member.Rumour.Status == Suspect {
			member.Changed = now
		}
	}
}

// deadSuccessor picks, in turn, a listed dead VM to send a heartbeat to, so that the
// sides of a healed partition find each other. Only VMs that would receive heartbeats if
// they were alive are picked: a heartbeat to a VM that is gone costs several packets, and
// otherwise the whole fleet would send them.
func (table *Table) deadSuccessor(now time.Time) berylspoke.VMID {
	if len(table.notAlive) == 0 {
		return ""
	}
	var listed, dead []berylspoke.VMID
	for id, member := range table.members {
		if member.Listed {
			listed = append(listed, id)
		}
	}
	neighbours, _ := links(table.self.VM.ID, listed)
	for _, id := range neighbours {
		if table.members[id].Rumour.Status == Dead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return ""
	}
	sort.Slice(dead, func(i, j int) bool { return dead[i] < dead[j] })
	return dead[int(now.UnixNano()/int64(table.options.RecheckInterval))%len(dead)]
}
