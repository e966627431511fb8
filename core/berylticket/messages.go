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
	Standing  Standing
	ByWitness bool
}

// Standing is the state of an id as one process knows it.
type Standing uint8

// The statuses of an id.
const (
	// Unknowable means that the process named in the id is gone.
	Unknowable Standing = iota
	// Pending means that the owner has not finished the id yet.
	Pending
	// StandsNotRun means that the id has not run and never will.
	StandsNotRun
	// StandsRan means that a target executed the id.
	StandsRan
	// StandsMayHaveRun means that nobody can tell whether the id ran.
	StandsMayHaveRun
)

// Verdict returns the verdict of a status; a pending id may have run.
func (status Standing) Verdict() berylspoke.Verdict {
	switch status {
	case StandsNotRun:
		return berylspoke.NotRun
	case StandsRan:
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
