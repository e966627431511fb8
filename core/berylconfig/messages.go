package berylconfig

// This file defines the messages by which daemons exchange entries.

import (
	"berylspoke"
)

// PullRequest requests the entries after a number from a peer.
type PullRequest struct {
	After berylspoke.PatchNumber
}

// PullAnswer carries entries, or a snapshot if the sender no longer keeps all entries
// that the peer lacks; Number is the last entry of the sender.
type PullAnswer struct {
	Number   berylspoke.PatchNumber
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
