package berylticket

// This file defines the owner, which alone may dispatch the ids of its tickets.

import (
	"time"

	"berylspoke"
)

// Stage is how far an id has progressed at its owner.
type Stage uint8

// The stages of an id at its owner.
const (
	// Queued ids wait for a slot; they have not run and may still be closed.
	Queued Stage = iota + 1
	// PermitRequested ids wait for the witness's permit.
	PermitRequested
	// Dispatched ids may have reached a target.
	Dispatched
	// Finished ids have a verdict.
	Finished
)

// Record is the state of an id at its owner.
type Record struct {
	Stage   Stage
	Verdict berylspoke.Verdict
	Answer  berylspoke.Answer
	Changed time.Time
}

type ticketRecords struct {
	records map[uint32]*Record
}

// Owner mints tickets and keeps the records of the ids used.
type Owner struct {
	self       berylspoke.Process
	bound      int
	lastSerial uint64
	watermark  uint64
	tickets    map[uint64]*ticketRecords
	records    int
	// answers are the finished ids whose answer bodies are kept, oldest first.
	answers     []CallID
	answerBytes int
}

// maxAnswerBytes bounds the bodies of kept answers; beyond it the oldest bodies are
// dropped and only their verdicts stay.
const maxAnswerBytes = 4 << 20

// NewOwner returns an owner that keeps up to bound records, and more only while the
// oldest ticket has unfinished ids.
func NewOwner(self berylspoke.Process, bound int) *Owner {
	return &Owner{self: self, bound: bound, tickets: make(map[uint64]*ticketRecords)}
}

// Len returns the number of records kept.
func (owner *Owner) Len() int { return owner.records }

// Mint returns a new ticket with the given witness.
func (owner *Owner) Mint(witness berylspoke.Process) Ticket {
	owner.lastSerial++
	return Ticket{Owner: owner.self, Witness: witness, Serial: owner.lastSerial}
}

// Owns reports whether this process alone may dispatch the id.
func (owner *Owner) Owns(id CallID) bool { return id.Ticket.Owner == owner.self }

// Register returns the record of an id, created if needed, and whether it is new; a nil
// record means that the id lies below the watermark and its outcome is lost.
func (owner *Owner) Register(now time.Time, id CallID) (*Record, bool) {
	if id.Ticket.Serial <= owner.watermark || id.Ticket.Serial > owner.lastSerial {
		return nil, false
	}
	ticket := owner.tickets[id.Ticket.Serial]
	if ticket == nil {
		ticket = &ticketRecords{records: make(map[uint32]*Record)}
		owner.tickets[id.Ticket.Serial] = ticket
	}
	if record := ticket.records[id.Number]; record != nil {
		return record, false
	}
	record := &Record{Stage: Queued, Changed: now}
	ticket.records[id.Number] = record
	owner.records++
	owner.trim()
	return record, true
}

// Record returns the record of an id, or nil.
func (owner *Owner) Record(id CallID) *Record {
	if ticket := owner.tickets[id.Ticket.Serial]; ticket != nil {
		return ticket.records[id.Number]
	}
	return nil
}

// trim drops the records of the lowest serials while all ids of such a ticket are
// finished, and raises the watermark so that none of their ids get a record again.
func (owner *Owner) trim() {
	for owner.records > owner.bound {
		lowest := ^uint64(0)
		for serial := range owner.tickets {
			lowest = min(lowest, serial)
		}
		if owner.tickets[lowest].hasUnfinished() {
			return
		}
		for _, record := range owner.tickets[lowest].records {
			owner.answerBytes -= len(record.Answer.Body)
			record.Answer.Body = nil
		}
		owner.records -= len(owner.tickets[lowest].records)
		delete(owner.tickets, lowest)
		owner.watermark = lowest
	}
}

func (ticket *ticketRecords) hasUnfinished() bool {
	for _, record := range ticket.records {
		if record.Stage != Finished {
			return true
		}
	}
	return false
}

// RequestPermit advances a queued id to requesting its permit; false means that the id
// was settled meanwhile and must not be dispatched. An id without a witness needs no
// permit and is dispatched at once.
func (owner *Owner) RequestPermit(now time.Time, id CallID) bool {
	record := owner.Record(id)
	if record == nil || record.Stage != Queued {
		return false
	}
	record.Stage, record.Changed = PermitRequested, now
	return true
}

// Permit applies the witness's answer and reports whether to dispatch now. Repeated
// answers, and answers after the owner abandoned the id, change nothing.
func (owner *Owner) Permit(now time.Time, id CallID, granted bool) (dispatch, denied bool) {
	record := owner.Record(id)
	if !owner.Owns(id) || record == nil || record.Stage != PermitRequested {
		return false, false
	}
	if !granted {
		owner.Finish(now, id, berylspoke.NotRun, berylspoke.Answer{})
		return false, true
	}
	record.Stage, record.Changed = Dispatched, now
	return true, false
}

// Abandon finishes an id that was not dispatched as not run; it returns false if the id
// was dispatched or finished before.
func (owner *Owner) Abandon(now time.Time, id CallID) bool {
	record := owner.Record(id)
	if record == nil || record.Stage == Dispatched || record.Stage == Finished {
		return false
	}
	owner.Finish(now, id, berylspoke.NotRun, berylspoke.Answer{})
	return true
}

// Finish records the verdict and the answer of an id.
func (owner *Owner) Finish(now time.Time, id CallID, verdict berylspoke.Verdict, answer berylspoke.Answer) {
	record := owner.Record(id)
	if record == nil || record.Stage == Finished {
		return
	}
	record.Stage, record.Verdict, record.Answer, record.Changed = Finished, verdict, answer, now
	owner.keepAnswer(id, len(answer.Body))
}

func (owner *Owner) keepAnswer(id CallID, size int) {
	if size == 0 {
		return
	}
	owner.answers = append(owner.answers, id)
	owner.answerBytes += size
	for owner.answerBytes > maxAnswerBytes && len(owner.answers) > 1 {
		if record := owner.Record(owner.answers[0]); record != nil {
			owner.answerBytes -= len(record.Answer.Body)
			record.Answer.Body = nil
		}
		owner.answers = owner.answers[1:]
	}
}

// Settle returns the status of an id. It closes an id that has no record yet: a delayed
// request that arrives later finds it finished.
func (owner *Owner) Settle(now time.Time, id CallID) Status {
	if !owner.Owns(id) {
		return StatusUnknown
	}
	record, isNew := owner.Register(now, id)
	if record == nil {
		return StatusMayHaveRun
	}
	if isNew {
		owner.Finish(now, id, berylspoke.NotRun, berylspoke.Answer{})
	}
	if record.Stage != Finished {
		return StatusPending
	}
	switch record.Verdict {
	case berylspoke.NotRun:
		return StatusNotRun
	case berylspoke.Ran:
		return StatusRan
	default:
		return StatusMayHaveRun
	}
}
