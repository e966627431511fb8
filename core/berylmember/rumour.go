package berylmember

// This file defines heartbeats, rumours and the order between rumours.

import (
	"berylspoke"
)

// Status is what the fleet believes of one daemon.
type Status uint8

// The statuses in the order in which one overrides another of equal counter.
const (
	Alive Status = iota
	Suspect
	Dead
)

// String returns the status as dumped.
func (status Status) String() string {
	return [...]string{"alive", "suspect", "dead"}[status]
}

// Rumour is one belief about one daemon; a higher incarnation, then a higher
// counter, then a higher status wins.
type Rumour struct {
	Process berylspoke.Process
	Counter uint32
	Status  Status
	Leaving bool
	// Place is where the daemon stands; it is empty where the platform lists VMs.
	Place Place
}

// Place is what a daemon says of itself to a fleet without a list of VMs.
type Place struct {
	FailureDomain berylspoke.FailureDomain
	// CallAddress takes callers' requests.
	CallAddress string
	// Capacity is the processor time that the daemon has, in hundredths of a core.
	Capacity uint16
}

func (rumour Rumour) overrides(old Rumour) bool {
	if rumour.Process.Incarnation != old.Process.Incarnation {
		return rumour.Process.Incarnation > old.Process.Incarnation
	}
	if rumour.Counter != old.Counter {
		return rumour.Counter > old.Counter
	}
	return rumour.Status > old.Status
}

// Heartbeat proves that its sender is alive and carries what spreads.
type Heartbeat struct {
	Self    Rumour
	Number  berylspoke.EntryNumber
	Serving bool
	// Sync asks the receiver for all it knows, unless Digest, if set, shows that
	// both know the same.
	Sync    bool
	Digest  uint64
	Rumours []Rumour
}

// PeerMessage implements berylspoke.Message.
func (Heartbeat) PeerMessage() {}

var _ berylspoke.Message = Heartbeat{}
