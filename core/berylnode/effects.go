package berylnode

// This file defines the inputs and effects of a node.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
	"berylspoke/core/berylticket"
)

// Request is one attempt of a caller's request at this entry.
type Request struct {
	Service berylspoke.ServiceID
	berylshare.Waiting
	// Call is the id of a non-idempotent request, nil for any other.
	Call *berylticket.CallID
}

// Send is a message for another daemon.
type Send struct {
	To      berylspoke.VMID
	Message berylspoke.Message
}

// Start tells io to send a request to a target now.
type Start struct {
	Request berylspoke.RequestID
	Target  berylspoke.TargetID
}

// Refuse tells io the final error of a request.
type Refuse struct {
	Request berylspoke.RequestID
	Refusal *berylspoke.Refusal
}

// Settled tells io what became of an id it asked about.
type Settled struct {
	Token    uint64
	Standing berylticket.Standing
}

// Order tells io to give an engine an order.
type Order struct {
	Target berylspoke.TargetID
	Order  berylspoke.Order
}

// Effects is what io carries out after an input.
type Effects struct {
	Sends    []Send
	Starts   []Start
	Refusals []Refuse
	Settled  []Settled
	Orders   []Order
	// Reconfigured is set when patches were folded, accepted or not.
	Reconfigured bool
}

// Options are the settings of a node.
type Options struct {
	VM          berylspoke.VM
	Incarnation berylspoke.Incarnation
	Policy      berylshare.Policy
	Queue       berylshare.Options
	Keeper      berylslot.KeeperOptions
	// Quantum is the charge after which an organisation is reported.
	Quantum berylspoke.Tokens
	// ReportEvery is the shortest time between two reports to one ledger.
	ReportEvery time.Duration
	// CrossAfter is the time a queue must not have been empty before a request
	// may go to another region.
	CrossAfter time.Duration
	// CrossMargin is how much lower its tag must be than those that wait there.
	CrossMargin berylspoke.Tag
	// CrossBytes is the budget of bytes a second between regions.
	CrossBytes float64
	// KeepersAsked bounds the keepers of one service an entry deals with.
	KeepersAsked int
	// PermitTimeout is the time an owner waits for its witness.
	PermitTimeout time.Duration
	// SettleTimeout is the time a settler waits for the owner, then for the
	// witness.
	SettleTimeout time.Duration
	// Records bounds the ids kept as owner and, for each owner, as witness.
	Records int
	// Retries is the number of retries earned by each request.
	Retries float64
}

// DefaultOptions returns the options of the product but for the VM.
func DefaultOptions() Options {
	return Options{
		Policy: berylshare.FleetFair,
		Queue: berylshare.Options{
			CatchUp:            2_000 * berylspoke.TagScale,
			Lead:               1_500 * berylspoke.TagScale,
			MaxWaiting:         20_000,
			MaxPerOrganisation: 2_000,
		},
		Keeper:        berylslot.DefaultKeeperOptions(),
		Quantum:       100,
		ReportEvery:   time.Second,
		CrossAfter:    300 * time.Millisecond,
		CrossMargin:   300 * berylspoke.TagScale,
		CrossBytes:    400_000,
		KeepersAsked:  8,
		PermitTimeout: time.Second,
		SettleTimeout: time.Second,
		Records:       32_768,
		Retries:       0.1,
	}
}
