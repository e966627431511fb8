package berylconfig

// This file defines the messages by which daemons pass entries on.

import (
	"berylspoke"
)

// PullRequest asks a peer for the entries after a number.
type PullRequest struct {
	After berylspoke.EntryNumber
}

// PullAnswer carries entries; Number is the last one the peer has.
type PullAnswer struct {
	Number  berylspoke.EntryNumber
	Serving bool
	Entries []berylspoke.Published
}

// PeerMessage implements berylspoke.Message.
func (PullRequest) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (PullAnswer) PeerMessage() {}

var (
	_ berylspoke.Message = PullRequest{}
	_ berylspoke.Message = PullAnswer{}
)
