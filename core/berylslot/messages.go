package berylslot

// This file defines the messages between entry daemons and lessors.

import (
	"time"

	"berylspoke"
)

// Holding is the number of slots of one target that an entry daemon holds and uses.
type Holding struct {
	Target berylspoke.TargetID
	Held   int
	Used   int
	// TokenInterval is the mean time between tokens measured on the target, zero if none.
	TokenInterval time.Duration
}

// Demand is an entry daemon's complete demand towards one lessor for one service.
type Demand struct {
	From    berylspoke.Process
	Service berylspoke.ServiceID
	// Sequence numbers the demands of a process; Applied is the sequence of the last
	// lease that the held slots reflect.
	Sequence, Applied uint32
	Waiting           int
	Tags              []berylspoke.Tag
	// VirtualTime is the virtual time of the entry daemon; MaxStarted is the highest tag
	// that it started on the lessor's targets.
	VirtualTime, MaxStarted berylspoke.Tag
	Holdings                []Holding
}

// PeerMessage implements berylspoke.Message.
func (Demand) PeerMessage() {}

// Grant is the number of slots of a target that an entry daemon may hold.
type Grant struct {
	Target berylspoke.TargetID
	Slots  int
}

// Lease is everything that a lessor grants to one entry daemon for one service.
type Lease struct {
	From    berylspoke.Process
	Service berylspoke.ServiceID
	// Sequence numbers the leases of a process; Acknowledged is the sequence of the last
	// demand received.
	Sequence, Acknowledged uint32
	Contended              bool
	// Threshold is the highest tag that may reuse a freed slot.
	Threshold berylspoke.Tag
	// VirtualTime is the virtual time of the lessor.
	VirtualTime berylspoke.Tag
	Grants      []Grant
}

// PeerMessage implements berylspoke.Message.
func (Lease) PeerMessage() {}

var (
	_ berylspoke.Message = Demand{}
	_ berylspoke.Message = Lease{}
)
