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

// ownerMarks are the marks that a witness keeps for one owner process.
type ownerMarks struct {
	watermark uint64
	serials   map[uint64]map[uint32]mark
	marks     int
}

// Witness grants permits and closes ids for the tickets that name its process.
type Witness struct {
	self   berylspoke.Process
	bound  int
	owners map[berylspoke.Process]*ownerMarks
}

// NewWitness returns a witness that keeps up to bound marks per owner.
func NewWitness(self berylspoke.Process, bound int) *Witness {
	return &Witness{self: self, bound: bound, owners: make(map[berylspoke.Process]*ownerMarks)}
}

// Len returns the number of marks kept.
func (witness *Witness) Len() int {
	count := 0
	for _, owner := range witness.owners {
		count += owner.marks
	}
	return count
}

// Permit reports whether the owner may dispatch the id; a repeated request gets the same
// answer.
func (witness *Witness) Permit(id CallID) bool {
	if id.Ticket.Witness != witness.self {
		// A restarted witness has lost what its earlier process closed. If it granted
		// permits for tickets of that process, an id reported as not run could still run.
		// It grants none, so the id stays not run.
		return false
	}
	return witness.decide(id, permitted) == permitted
}

// Close closes the id unless a permit was granted before, and returns its status.
func (witness *Witness) Close(id CallID) Status {
	if id.Ticket.Witness != witness.self {
		return StatusUnknown
	}
	if witness.decide(id, closed) == closed {
		return StatusNotRun
	}
	return StatusMayHaveRun
}

// decide sets the mark of the id unless it has one and returns the mark in force. Marks
// below the watermark are lost: zero denies both permit and close there, so that neither
// a permit nor a "not run" contradicts an earlier answer.
func (witness *Witness) decide(id CallID, wanted mark) mark {
	owner := witness.owners[id.Ticket.Owner]
	if owner == nil {
		owner = &ownerMarks{serials: make(map[uint64]map[uint32]mark)}
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
	if existing := marks[id.Number]; existing != 0 {
		return existing
	}
	marks[id.Number] = wanted
	owner.marks++
	owner.trim(witness.bound)
	if serial <= owner.watermark {
		return 0
	}
	return wanted
}

// trim raises the watermark past the lowest serials until at most bound marks are left.
func (owner *ownerMarks) trim(bound int) {
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

// Forget drops the marks of an owner process that was replaced on its VM.
//
// The owner may be frozen rather than gone, and could resume and request a permit. All
// its serials are then below the watermark, so its request is denied.
func (witness *Witness) Forget(owner berylspoke.Process) {
	if held := witness.owners[owner]; held != nil {
		*held = ownerMarks{watermark: ^uint64(0)}
	}
}
