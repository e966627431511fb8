package berylticket

// This file defines the witness that decides between permit and close.

import (
	"berylspoke"
)

type mark uint8

const (
	permitted mark = iota + 1
	closed
)

// witnessed is what a witness remembers for one owner process.
type witnessed struct {
	watermark uint64
	serials   map[uint64]map[uint32]mark
	marks     int
}

// Witness issues permits and closes ids for the tickets that name its process.
type Witness struct {
	self   berylspoke.Process
	bound  int
	owners map[berylspoke.Process]*witnessed
}

// NewWitness returns a witness that remembers up to bound ids of each owner.
func NewWitness(self berylspoke.Process, bound int) *Witness {
	return &Witness{self: self, bound: bound, owners: make(map[berylspoke.Process]*witnessed)}
}

// Len returns the number of ids remembered.
func (witness *Witness) Len() int {
	count := 0
	for _, owner := range witness.owners {
		count += owner.marks
	}
	return count
}

// Permit decides whether the owner may dispatch the id; a repeated request gets
// the same answer.
func (witness *Witness) Permit(id CallID) bool {
	if id.Ticket.Witness != witness.self {
		// A restarted witness has forgotten what its earlier process closed. If
		// it issued permits for that process's tickets, an id reported as not
		// run could still run. It issues none, so the id stays not run.
		return false
	}
	return witness.decide(id, permitted) == permitted
}

// Close settles the id unless it was permitted before.
func (witness *Witness) Close(id CallID) Standing {
	if id.Ticket.Witness != witness.self {
		return Unknowable
	}
	if witness.decide(id, closed) == closed {
		return StandsNotRun
	}
	return StandsMayHaveRun
}

// decide marks the id by the first comer and returns the mark in force. Below
// the watermark marks are forgotten: both sides lose there, so that neither a
// permit nor a "not run" contradicts what was said before.
func (witness *Witness) decide(id CallID, wish mark) mark {
	owner := witness.owners[id.Ticket.Owner]
	if owner == nil {
		owner = &witnessed{serials: make(map[uint64]map[uint32]mark)}
		witness.owners[id.Ticket.Owner] = owner
	}
	serial := id.Ticket.Serial
	if serial <= owner.watermark {
		return 0
	}
	marks := owner.serials[serial]
	if marks == nil {
		marks = make(map[uint32]mark)
		owner.serials[serial] = marks
	}
	if have := marks[id.Number]; have != 0 {
		return have
	}
	marks[id.Number] = wish
	owner.marks++
	owner.trim(witness.bound)
	if serial <= owner.watermark {
		return 0
	}
	return wish
}

// trim raises the watermark past the lowest serials until the bound holds.
func (owner *witnessed) trim(bound int) {
	for owner.marks > bound {
		lowest := ^uint64(0)
		for serial := range owner.serials {
			lowest = min(lowest, serial)
		}
		owner.marks -= len(owner.serials[lowest])
		delete(owner.serials, lowest)
		owner.watermark = lowest
	}
}

// Forget drops the ids of an owner process that has been replaced on its VM.
//
// The owner may be frozen rather than gone, and could wake up and ask for a
// permit. All its serials fall below the watermark, so it gets none.
func (witness *Witness) Forget(owner berylspoke.Process) {
	if held := witness.owners[owner]; held != nil {
		*held = witnessed{watermark: ^uint64(0)}
	}
}
