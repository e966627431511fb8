package berylticket

// This file defines the messages between owners, witnesses and daemons that settle an id.

import (
	"berylspoke"
)

// PermitRequest requests the permit to dispatch an id from the witness.
type PermitRequest struct{ ID CallID }

// PermitAnswer grants or denies the permit; the decision is final.
type PermitAnswer struct {
	ID      CallID
	Granted bool
}

// SettleRequest asks the owner for the status of an id.
type SettleRequest struct {
	ID    CallID
	Token uint64
}

// CloseRequest asks the witness to close an id whose owner does not answer.
type CloseRequest struct {
	ID    CallID
	Token uint64
}

// SettleAnswer reports the status of an id at its owner or its witness.
type SettleAnswer struct {
	ID        CallID
	Token     uint64
	Status    Status
	ByWitness bool
}

// Status is the state of an id as one process knows it.
type Status uint8

// The statuses of an id.
const (
	// StatusUnknown means that the process named in the id is gone.
	StatusUnknown Status = iota
	// StatusPending means that the owner has not finished the id yet.
	StatusPending
	// StatusNotRun means that the id has not run and never will.
	StatusNotRun
	// StatusRan means that a target executed the id.
	StatusRan
	// StatusMayHaveRun means that nobody can tell whether the id ran.
	StatusMayHaveRun
)

// Verdict returns the verdict of a status; a pending id may have run.
func (status Status) Verdict() berylspoke.Verdict {
	switch status {
	case StatusNotRun:
		return berylspoke.NotRun
	case StatusRan:
		return berylspoke.Ran
	default:
		return berylspoke.MayHaveRun
	}
}

// PeerMessage implements berylspoke.Message.
func (PermitRequest) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (PermitAnswer) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (SettleRequest) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (CloseRequest) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (SettleAnswer) PeerMessage() {}

var (
	_ berylspoke.Message = PermitRequest{}
	_ berylspoke.Message = PermitAnswer{}
	_ berylspoke.Message = SettleRequest{}
	_ berylspoke.Message = CloseRequest{}
	_ berylspoke.Message = SettleAnswer{}
)
