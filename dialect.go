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

// Store reads the published items. It is read-only.
type Store interface {
	// List returns all items below a prefix and the revision up to which the list
	// is complete.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes after a revision, at most for the given time. It returns
	// them with the revision to continue from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
}

// Part is one segment of a prompt, which other prompts may have as a prefix too.
type Part struct {
	ID     uint64
	Tokens Tokens
}

// Ask holds what a caller's headers say about its request.
type Ask struct {
	ID  RequestID
	Key string
	// TimeLeft is how much longer the caller waits for the answer.
	TimeLeft time.Duration
	// Input is the number of tokens in the prompt, Output the maximum to generate.
	Input, Output Tokens
	// OutputHint is the caller's estimate of the generated tokens, zero for none.
	OutputHint Tokens
	// Parts lists the segments of the prompt in order; the last one belongs to this
	// request alone.
	Parts []Part
	// LastEvent is the last event of the stream that the caller has received.
	LastEvent int64
}

// Onward holds what a daemon adds to the caller's headers when it forwards a request to
// a target.
type Onward struct {
	TimeLeft     time.Duration
	Target       TargetID
	Organisation OrganisationID
	// Source is the address of the engine to fetch the KV cache of shared prefix
	// segments from, empty for none.
	Source string
	// Resume is set if the stream continues after LastEvent.
	Resume    bool
	LastEvent int64
}

// EngineLoad is the load that a target reports in its answer.
type EngineLoad struct {
	Running, Waiting, Slots int
}

// Reply holds what the headers of a target's answer say.
type Reply struct {
	ID RequestID
	// Sealed answers carry the proof that a target produced them.
	Sealed bool
	// NotRun answers state that the target did not execute the request.
	NotRun bool
	// Load is nil if the target reports none.
	Load *EngineLoad
}

// Dialect translates a platform's headers and published items.
type Dialect interface {
	// Prefixes returns the key prefixes below which the configuration and the targets
	// are published.
	Prefixes() (configuration, targets string)
	// Ask parses a caller's headers.
	Ask(header http.Header) (Ask, error)
	// Peek extracts the key and the token counts from the first bytes of a request that
	// has not been parsed. Fields whose header is not within these bytes stay zero.
	Peek(head []byte) Ask
	// Onward returns the headers to send to a target, made from the caller's.
	Onward(header http.Header, info Onward) http.Header
	// Reply parses the headers of a target's answer.
	Reply(status int, header http.Header) Reply
	// Back copies the headers of a target's answer that concern the caller.
	Back(header, received http.Header)
	// Name sets the header that holds the request id in an answer that the daemon
	// itself gives.
	Name(header http.Header, id RequestID)
	// Catalog decodes the configuration; it returns nil if none is published.
	Catalog(items []Item) (*Catalog, error)
	// Emptied returns the failure domains that operators evacuate, from the items of
	// the configuration. Their targets get no new requests.
	Emptied(items []Item) []FailureDomain
	// Target decodes one published target. An error means that the item does not
	// describe a target.
	Target(item Item) (Target, error)
}
