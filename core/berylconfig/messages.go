package berylconfig

// This file defines the messages by which daemons pass entries on.

import (
	"berylspoke"
)

// PullRequest asks a peer for the entries after a number.
type PullRequest struct {
	After berylspoke.EntryNumber
}

// PullAnswer carries entries, or a snapshot for a peer that lacks too many;
// Number is the last entry the sender has.
type PullAnswer struct {
	Number   berylspoke.EntryNumber
	Serving  bool
	Entries  []berylspoke.Published
	Snapshot []byte
}

// PeerMessage implements berylspoke.Message.
func (PullRequest) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (PullAnswer) PeerMessage() {}

var (
	_ berylspoke.Message = PullRequest{}
	_ berylspoke.Message = PullAnswer{}
)
