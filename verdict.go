package berylspoke

// This file defines the verdict on a request and the error that carries it.

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have been executed by a target.
type Verdict uint8

const (
	// MayHaveRun means that a target may have executed the request.
	MayHaveRun Verdict = iota
	// NotRun means that no target executed the request or ever will.
	NotRun
	// Ran means that a target executed the request.
	Ran
)

// String returns the name of the verdict in answers and logs.
func (verdict Verdict) String() string {
	switch verdict {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	default:
		return "mayHaveRun"
	}
}

// Reason is the machine-readable cause of a refusal.
type Reason string

// The reasons of refusals.
const (
	ReasonOverload           Reason = "overload"
	ReasonOrganisationLimit  Reason = "organisationLimit"
	ReasonUnknownService     Reason = "unknownService"
	ReasonUnauthorised       Reason = "unauthorised"
	ReasonMalformed          Reason = "malformed"
	ReasonStarting           Reason = "starting"
	ReasonDraining           Reason = "draining"
	ReasonWitnessUnreachable Reason = "witnessUnreachable"
	ReasonClosed             Reason = "closed"
	ReasonTicketRequired     Reason = "ticketRequired"
	ReasonOutcomeForgotten   Reason = "outcomeForgotten"
	ReasonTargetFailed       Reason = "targetFailed"
	ReasonCrashesTargets     Reason = "crashesTargets"
	ReasonNoTarget           Reason = "noTarget"
	ReasonOwnerUnreachable   Reason = "ownerUnreachable"
	ReasonWaitedTooLong      Reason = "waitedTooLong"
	ReasonCPUStarved         Reason = "processorShort"
	ReasonTargetsResting     Reason = "targetsResting"
	// ReasonMemoryShort refuses a request as its organisation, or all callers, hold the memory that they may, and
	// ReasonConnectionsShort one as its organisation has too many requests in service.
	ReasonMemoryShort      Reason = "memoryShort"
	ReasonConnectionsShort Reason = "connectionsShort"
	// ReasonBuildGone refuses to continue a stream whose build no target has any more,
	// ReasonOriginUnknown one whose build is not known.
	ReasonBuildGone     Reason = "buildGone"
	ReasonOriginUnknown Reason = "originUnknown"
	// ReasonInternal refuses a request whose processing failed in the daemon.
	ReasonInternal Reason = "internal"
)

// Refusal is the final error of a request, with its verdict.
type Refusal struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (refusal *Refusal) Error() string {
	if refusal.Cause != nil {
		return fmt.Sprintf("%s (%s): %v", refusal.Reason, refusal.Verdict, refusal.Cause)
	}
	return fmt.Sprintf("%s (%s)", refusal.Reason, refusal.Verdict)
}

// Unwrap returns the cause, or nil if there is none.
func (refusal *Refusal) Unwrap() error { return refusal.Cause }

// VerdictOf returns the verdict that err carries. For other errors it returns
// MayHaveRun, since they do not prove that no target executed the request.
func VerdictOf(err error) Verdict {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Verdict
	}
	return MayHaveRun
}
