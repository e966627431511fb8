package berylslot

// This file defines the messages between entries and keepers.

import (
	"time"

	"berylspoke"
)

// Hold is what an entry holds and uses of one target; Pace is the mean time
// between tokens it saw there, zero if none.
type Hold struct {
	Target berylspoke.TargetID
	Held   int
	Used   int
	Pace   time.Duration
}

// Ask is an entry's whole view towards one keeper for one service.
type Ask struct {
	From    berylspoke.Process
	Service berylspoke.ServiceID
	// Sequence numbers the asks of a process; Applied is the last lease whose
	// content Holds includes.
	Sequence, Applied uint32
	Waiting           int
	Tags              []berylspoke.Tag
	Time, Started     berylspoke.Tag
	Holds             []Hold
}

// PeerMessage implements berylspoke.Message.
func (Ask) PeerMessage() {}

// Grant is the number of slots of a target that an entry may hold.
type Grant struct {
	Target berylspoke.TargetID
	Slots  int
}

// Lease is a keeper's whole view towards one entry for one service.
type Lease struct {
	From    berylspoke.Process
	Service berylspoke.ServiceID
	// Sequence numbers the leases of a process; Answers is the last ask seen.
	Sequence, Answers uint32
	Contended         bool
	// Threshold is the highest tag with which a freed slot may be reused.
	Threshold berylspoke.Tag
	Time      berylspoke.Tag
	Grants    []Grant
}

// PeerMessage implements berylspoke.Message.
func (Lease) PeerMessage() {}

var (
	_ berylspoke.Message = Ask{}
	_ berylspoke.Message = Lease{}
)
