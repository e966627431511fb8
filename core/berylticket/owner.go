package berylticket

// This file defines the owner that alone may dispatch the ids of its tickets.

import (
	"time"

	"berylspoke"
)

// Stage is how far an owner got with one id.
type Stage uint8

// The stages of an id at its owner.
const (
	// Queued ids wait for a slot; they have not run and may still be closed.
	Queued Stage = iota + 1
	// Asking ids wait for the witness's permit.
	Asking
	// Dispatched ids may have reached a target.
	Dispatched
	// Finished ids have a verdict.
	Finished
)

// Record is what an owner knows of one id.
type Record struct {
	Stage   Stage
	Verdict berylspoke.Verdict
	Answer  berylspoke.Answer
	Changed time.Time
}

type ownedTicket struct {
	records map[uint32]*Record
}

// Owner mints tickets and keeps the records of the ids that were used.
type Owner struct {
	self      berylspoke.Process
	bound     int
	minted    uint64
	watermark uint64
	tickets   map[uint64]*ownedTicket
	records   int
	// answers are the finished ids whose answers are kept, oldest first.
	answers []CallID
	bytes   int
}

// answerBytes bounds the bodies of kept answers; beyond it the oldest are
// dropped and only their verdicts stay.
const answerBytes = 4 << 20

// NewOwner returns an owner that keeps up to bound records.
func NewOwner(self berylspoke.Process, bound int) *Owner {
	return &Owner{self: self, bound: bound, tickets: make(map[uint64]*ownedTicket)}
}

// Len returns the number of records kept.
func (owner *Owner) Len() int { return owner.records }

// Mint returns a new ticket witnessed by the given process.
func (owner *Owner) Mint(witness berylspoke.Process) Ticket {
	owner.minted++
	return Ticket{Owner: owner.self, Witness: witness, Serial: owner.minted}
}

// Owns says whether this process alone may dispatch the id.
func (owner *Owner) Owns(id CallID) bool { return id.Ticket.Owner == owner.self }

// Begin returns the record of an id and whether it is new; a nil record means
// that the id lies below the watermark and its outcome is forgotten.
func (owner *Owner) Begin(now time.Time, id CallID) (*Record, bool) {
	if id.Ticket.Serial <= owner.watermark || id.Ticket.Serial > owner.minted {
		return nil, false
	}
	ticket := owner.tickets[id.Ticket.Serial]
	if ticket == nil {
		ticket = &ownedTicket{records: make(map[uint32]*Record)}
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

// Record returns what is known of an id without beginning it.
func (owner *Owner) Record(id CallID) *Record {
	if ticket := owner.tickets[id.Ticket.Serial]; ticket != nil {
		return ticket.records[id.Number]
	}
	return nil
}

// trim forgets the tickets of the lowest serials, finished ones only, and
// raises the watermark so that none of their ids can begin again.
func (owner *Owner) trim() {
	for owner.records > owner.bound {
		lowest := ^uint64(0)
		for serial := range owner.tickets {
			lowest = min(lowest, serial)
		}
		if owner.tickets[lowest].open() {
			return
		}
		for _, record := range owner.tickets[lowest].records {
			owner.bytes -= len(record.Answer.Body)
			record.Answer.Body = nil
		}
		owner.records -= len(owner.tickets[lowest].records)
		delete(owner.tickets, lowest)
		owner.watermark = lowest
	}
}

func (ticket *ownedTicket) open() bool {
	for _, record := range ticket.records {
		if record.Stage != Finished {
			return true
		}
	}
	return false
}

// Ask moves a queued id on to asking for its permit; false means that the id
// was settled meanwhile and must not be dispatched. An id without a witness is
// dispatched at once.
func (owner *Owner) Ask(now time.Time, id CallID) bool {
	record := owner.Record(id)
	if record == nil || record.Stage != Queued {
		return false
	}
	record.Stage, record.Changed = Asking, now
	return true
}

// Permit takes the witness's answer and says whether to dispatch now. Answers
// that come twice, or after the owner gave the id up, change nothing.
func (owner *Owner) Permit(now time.Time, id CallID, granted bool) (dispatch, refused bool) {
	record := owner.Record(id)
	if !owner.Owns(id) || record == nil || record.Stage != Asking {
		return false, false
	}
	if !granted {
		owner.Finish(now, id, berylspoke.NotRun, berylspoke.Answer{})
		return false, true
	}
	record.Stage, record.Changed = Dispatched, now
	return true, false
}

// GiveUp settles an id that was not dispatched as not run; it returns false if
// the id was dispatched or finished before.
func (owner *Owner) GiveUp(now time.Time, id CallID) bool {
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
	owner.bytes += size
	for owner.bytes > answerBytes && len(owner.answers) > 1 {
		if record := owner.Record(owner.answers[0]); record != nil {
			owner.bytes -= len(record.Answer.Body)
			record.Answer.Body = nil
		}
		owner.answers = owner.answers[1:]
	}
}

// Settle tells what became of an id. An id that was never begun is closed by
// this: a request that arrives later, delayed on its way, finds it finished.
func (owner *Owner) Settle(now time.Time, id CallID) Standing {
	if !owner.Owns(id) {
		return Unknowable
	}
	record, began := owner.Begin(now, id)
	if record == nil {
		return StandsMayHaveRun
	}
	if began {
		owner.Finish(now, id, berylspoke.NotRun, berylspoke.Answer{})
	}
	if record.Stage != Finished {
		return Pending
	}
	switch record.Verdict {
	case berylspoke.NotRun:
		return StandsNotRun
	case berylspoke.Ran:
		return StandsRan
	default:
		return StandsMayHaveRun
	}
}
