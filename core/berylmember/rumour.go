package berylmember

// This file defines heartbeats, rumours and the order between rumours.

import (
	"berylspoke"
)

// Status is the state of a daemon as the fleet believes it.
type Status uint8

// The statuses in the order in which one overrides another at the same counter.
const (
	Alive Status = iota
	Suspect
	Dead
)

// String returns the status as dumped.
func (status Status) String() string {
	return [...]string{"alive", "suspect", "dead"}[status]
}

// Rumour is a belief about the state of one daemon. Of two rumours the one with the
// higher incarnation, then the higher counter, then the higher status overrides the
// other.
type Rumour struct {
	Process berylspoke.Process
	Counter uint32
	Status  Status
	Leaving bool
	// Attributes holds the attributes of the daemon; it is empty if the platform lists
	// VMs.
	Attributes Attributes
}

// Attributes holds the attributes that a daemon announces in a fleet without a list of
// VMs.
type Attributes struct {
	FailureDomain berylspoke.FailureDomain
	// CallAddress is the address for callers' requests.
	CallAddress string
	// Capacity is the processor time available to the daemon, in hundredths of a core.
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

// Heartbeat shows that its sender is alive and carries rumours.
type Heartbeat struct {
	Self         Rumour
	ConfigNumber berylspoke.PatchNumber
	Serving      bool
	// Sync requests all rumours that the receiver knows, unless Digest is set and shows
	// that both know the same.
	Sync    bool
	Digest  uint64
	Rumours []Rumour
}

// PeerMessage implements berylspoke.Message.
func (Heartbeat) PeerMessage() {}

var _ berylspoke.Message = Heartbeat{}
