package berylnode

// This file defines the requests, effects and options of a node.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
	"berylspoke/core/berylticket"
)

// Request is one attempt of a caller's request at this entry daemon.
type Request struct {
	Service berylspoke.ServiceID
	berylshare.QueuedRequest
	// Call is the ID of a non-idempotent request, nil for an idempotent one.
	Call *berylticket.CallID
}

// Send tells io to send a message to another daemon.
type Send struct {
	To      berylspoke.VMID
	Message berylspoke.Message
}

// Start tells io to send a request to a target.
type Start struct {
	Request berylspoke.RequestID
	Target  berylspoke.TargetID
}

// Refuse tells io that a request ended with a refusal.
type Refuse struct {
	Request berylspoke.RequestID
	Refusal *berylspoke.Refusal
}

// Settled tells io the outcome of an ID that it asked about with Settle.
type Settled struct {
	Token  uint64
	Status berylticket.Status
}

// Order tells io to send an order to an engine.
type Order struct {
	Target berylspoke.TargetID
	Order  berylspoke.EngineOrder
}

// Effects are the actions that io carries out after an input.
type Effects struct {
	Sends    []Send
	Starts   []Start
	Refusals []Refuse
	Settled  []Settled
	Orders   []Order
	// Reconfigured is set if patches were applied, whether accepted or rejected.
	Reconfigured bool
}

// Options are the settings of a node.
type Options struct {
	VM          berylspoke.VM
	Incarnation berylspoke.Incarnation
	Policy      berylshare.Policy
	Queue       berylshare.Options
	Lessor      berylslot.LessorOptions
	// Quantum is the change in an organisation's charge that makes a report to its
	// ledger due.
	Quantum berylspoke.Tokens
	// ReportEvery is the minimum time between two reports to one ledger.
	ReportEvery time.Duration
	// CrossAfter is how long a queue must have been backlogged before a request may go
	// to another region.
	CrossAfter time.Duration
	// CrossMargin is how much lower the tag of such a request must be than the tags of
	// the requests that wait there.
	CrossMargin berylspoke.Tag
	// CrossBytesPerSecond is the budget for traffic between regions, in bytes per second.
	CrossBytesPerSecond float64
	// MaxLessors bounds the lessors of its own region that an entry daemon requests slots
	// from, for each service.
	MaxLessors int
	// PermitTimeout is the time an owner waits for its witness.
	PermitTimeout time.Duration
	// SettleTimeout is the time that a settling daemon waits for the owner and then for
	// the witness.
	SettleTimeout time.Duration
	// MaxRecords bounds the IDs remembered as owner and, for each owner, as witness.
	MaxRecords int
	// RetriesPerRequest is the number of retries that each request adds to the budget.
	RetriesPerRequest float64
}

// DefaultOptions returns the default options. VM and Incarnation are left unset.
func DefaultOptions() Options {
	return Options{
		Policy: berylshare.FleetFair,
		Queue: berylshare.Options{
			CatchUp:            2_000 * berylspoke.TagScale,
			Lead:               1_500 * berylspoke.TagScale,
			MaxWaiting:         20_000,
			MaxPerOrganisation: 2_000,
		},
		Lessor:              berylslot.DefaultLessorOptions(),
		Quantum:             100,
		ReportEvery:         time.Second,
		CrossAfter:          300 * time.Millisecond,
		CrossMargin:         300 * berylspoke.TagScale,
		CrossBytesPerSecond: 400_000,
		MaxLessors:          8,
		PermitTimeout:       time.Second,
		SettleTimeout:       time.Second,
		MaxRecords:          32_768,
		RetriesPerRequest:   0.1,
	}
}
