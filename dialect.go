package berylspoke

// This file defines the interfaces to a platform's store and to its headers.

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrHistoryGone means that the store has discarded changes that a watch asked for; the
// reader has to list all items again.
var ErrHistoryGone = errors.New("requested changes are no longer in the store's history")

// StoreAnswer is the answer of a store to one list or watch.
type StoreAnswer struct {
	Items []Item
	// AsOf is the position up to which a list is complete, or from which a watch continues.
	AsOf Position
	// EraUnknown is set if the answer does not say its era.
	EraUnknown bool
}

// SetEra sets the era of an answer that does not say it.
func (answer *StoreAnswer) SetEra(era Era) {
	answer.AsOf.Era, answer.EraUnknown = era, false
	for i := range answer.Items {
		answer.Items[i].Position.Era = era
	}
}

// StoreError is a call that the store answered with a failure.
type StoreError struct {
	// Era is the era of the answer unless EraUnknown is set.
	Era        Era
	EraUnknown bool
	// Unreadable is set if an answer with items came that could not be read, or not in time or as a
	// whole. The same call may fail alike for ever.
	Unreadable bool
	Cause      error
}

// Error implements error.
func (failure *StoreError) Error() string { return failure.Cause.Error() }

// Unwrap returns the cause.
func (failure *StoreError) Unwrap() error { return failure.Cause }

// Store reads the published items. It is read-only.
type Store interface {
	// List returns all items below a prefix. Errors of calls that were answered are a
	// StoreError.
	List(ctx context.Context, prefix string) (StoreAnswer, error)
	// Watch waits for changes after a revision, at most for the given time. Errors are those
	// of List.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (StoreAnswer, error)
}

// TargetFault says why a published item names no target that can be used.
type TargetFault string

// The faults of items below the prefix of the targets.
const (
	// FaultMalformed items cannot be decoded, or are larger than any target's.
	FaultMalformed TargetFault = "malformed"
	// FaultID items have a key that cannot be the id of a target.
	FaultID TargetFault = "id"
	// FaultState items are in a state that is not known.
	FaultState TargetFault = "state"
	// FaultService items belong to no service.
	FaultService TargetFault = "service"
	// FaultAddress items have no address that can be connected to.
	FaultAddress TargetFault = "address"
	// FaultOfFleet items have an address of the fleet or of the store.
	FaultOfFleet TargetFault = "fleet"
	// FaultSlots, FaultCold and FaultRun items have a number of slots, a cold time, or a start or a
	// count that no target has.
	FaultSlots TargetFault = "slots"
	FaultCold  TargetFault = "cold"
	FaultRun   TargetFault = "run"
)

// TargetFaults lists all faults.
var TargetFaults = []TargetFault{
	FaultMalformed, FaultID, FaultState, FaultService, FaultAddress, FaultOfFleet, FaultSlots, FaultCold, FaultRun,
}

// TargetError is the error of a published item that names no target.
type TargetError struct {
	Fault TargetFault
	Cause error
}

// Error implements error.
func (failure *TargetError) Error() string { return failure.Cause.Error() }

// Unwrap returns the cause.
func (failure *TargetError) Unwrap() error { return failure.Cause }

// PromptSegment is one segment of a prompt, which other prompts may have as a prefix too.
type PromptSegment struct {
	ID     uint64
	Tokens Tokens
}

// RequestInfo holds what a caller's headers say about its request.
type RequestInfo struct {
	ID  RequestID
	Key string
	// TimeRemaining is how much longer the caller waits for the answer.
	TimeRemaining time.Duration
	// Input is the number of tokens in the prompt, Output the maximum to generate.
	Input, Output Tokens
	// OutputHint is the caller's estimate of the generated tokens, zero for none.
	OutputHint Tokens
	// Segments lists the segments of the prompt in order; the last one belongs to this
	// request alone.
	Segments []PromptSegment
	// Continues is set if the caller takes up a stream of which it has received events.
	Continues bool
	// LastEvent is the last event that it has received; HasLastEvent is set if it tells one.
	LastEvent    int64
	HasLastEvent bool
	// Resumes is the attempt that brought the first event of the stream, empty if the caller
	// does not name it.
	Resumes RequestID
}

// ForwardInfo holds what a daemon adds to the caller's headers when it forwards a request
// to a target.
type ForwardInfo struct {
	TimeRemaining time.Duration
	Target        TargetID
	Organisation  OrganisationID
	// CacheSource is the address of the engine to fetch the KV cache of shared prefix
	// segments from, empty for none.
	CacheSource string
	// Resume is set if the stream continues after LastEvent.
	Resume    bool
	LastEvent int64
}

// EngineLoad is the load that a target reports in its answer.
type EngineLoad struct {
	Running, Waiting, Slots int
}

// ResponseInfo holds what the headers of a target's answer say.
type ResponseInfo struct {
	ID RequestID
	// Sealed answers carry the proof that a target produced them.
	Sealed bool
	// NotRun answers state that the target did not execute the request.
	NotRun bool
	// Misdirected answers state that the target is not the one that the request was meant for, or not
	// what the request asks for.
	Misdirected bool
	// Load is nil if the target reports none.
	Load *EngineLoad
	// Leaving answers state that the target is about to exit and accepts no new requests.
	Leaving bool
	// Rest is for how long after a rejection the target asks this daemon to send it
	// nothing, zero if it does not ask.
	Rest time.Duration
	// Unusable counts the values of these two that were ignored.
	Unusable int
}

// Dialect translates a platform's headers and published items.
type Dialect interface {
	// Prefixes returns the key prefixes below which the configuration and the targets
	// are published.
	Prefixes() (configuration, targets string)
	// ParseRequest parses a caller's headers.
	ParseRequest(header http.Header) (RequestInfo, error)
	// Peek extracts the key and the token counts from the first bytes of a request that
	// has not been parsed. Fields whose header is not within these bytes stay zero.
	Peek(head []byte) RequestInfo
	// ForwardHeaders returns the headers to send to a target, made from the caller's.
	ForwardHeaders(header http.Header, info ForwardInfo) http.Header
	// ParseResponse parses the headers of a target's answer.
	ParseResponse(status int, header http.Header) ResponseInfo
	// CopyResponseHeaders copies the headers of a target's answer that concern the caller.
	CopyResponseHeaders(header, received http.Header)
	// SetRequestID sets the header that holds the request id in an answer that the daemon
	// itself gives.
	SetRequestID(header http.Header, id RequestID)
	// Catalog decodes the configuration; it returns nil if none is published.
	Catalog(items []Item) (*Catalog, error)
	// Evacuated returns the failure domains that operators evacuate, from the items of
	// the configuration. Their targets get no new requests.
	Evacuated(items []Item) []FailureDomain
	// Sequence returns the position of an item's value among those of its writer, and false
	// if the value does not tell or is another writer's.
	Sequence(item Item) (Sequence, bool)
	// IdentityPath is the path at which a target says of itself when it started, and Started
	// extracts that from the answer, false if it does not say it.
	IdentityPath() string
	Started(body []byte) (int64, bool)
	// Target decodes one published target. An error, which is a TargetError, means that the
	// item does not describe a target.
	Target(item Item) (Target, error)
}
