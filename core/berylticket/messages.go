package berylticket

// This file defines the messages between owners, witnesses and settlers.

import (
	"berylspoke"
)

// PermitRequest asks the witness for the permit to dispatch an id.
type PermitRequest struct{ ID CallID }

// PermitAnswer grants or refuses the permit for good.
type PermitAnswer struct {
	ID      CallID
	Granted bool
}

// SettleRequest asks the owner what became of an id.
type SettleRequest struct {
	ID    CallID
	Token uint64
}

// CloseRequest asks the witness to close an id that its owner does not answer
// for.
type CloseRequest struct {
	ID    CallID
	Token uint64
}

// SettleAnswer is the owner's or the witness's word on an id.
type SettleAnswer struct {
	ID        CallID
	Token     uint64
	Standing  Standing
	ByWitness bool
}

// Standing is what one process knows of an id.
type Standing uint8

// The standings of an id.
const (
	// Unknowable means that the process named in the id is gone.
	Unknowable Standing = iota
	// Pending means that the owner has not decided or finished yet.
	Pending
	// StandsNotRun means that the id never ran and never will.
	StandsNotRun
	// StandsRan means that the target executed the id.
	StandsRan
	// StandsMayHaveRun means that nobody can tell any more.
	StandsMayHaveRun
)

// Verdict returns the verdict of a standing; a pending one may have run.
func (standing Standing) Verdict() berylspoke.Verdict {
	switch standing {
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
