package berylspoke

// This file defines the interfaces to a platform's store and to its headers.

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrHistoryGone means that a watch asked for changes that the store no longer
// remembers; the reader lists all items anew.
var ErrHistoryGone = errors.New("history of the store is gone")

// Store reads the published items; nothing is ever written to it.
type Store interface {
	// List returns all items below a prefix and the revision before which no
	// change is missing.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes after a revision as soon as there are any, and
	// the revision to go on from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
}

// Part is one piece of a prompt that other prompts may begin with too.
type Part struct {
	ID     uint64
	Tokens Tokens
}

// Ask is what a caller's headers say of its request.
type Ask struct {
	ID  RequestID
	Key string
	// TimeLeft is how long the caller goes on waiting.
	TimeLeft time.Duration
	// Input and Output are the tokens of the prompt and the most to generate.
	Input, Output Tokens
	// OutputHint is the caller's guess of the tokens generated, zero for none.
	OutputHint Tokens
	// Parts lists the prompt's pieces in order; the last is the request's own.
	Parts []Part
	// LastEvent is the last event of the stream that the caller has.
	LastEvent int64
}

// Onward is what a daemon tells a target beside the caller's own headers.
type Onward struct {
	TimeLeft     time.Duration
	Target       TargetID
	Organisation OrganisationID
	// Source is the address of the engine to fetch shared parts of the prompt from,
	// empty for none.
	Source string
	// Resume is set when the stream goes on after event LastEvent.
	Resume    bool
	LastEvent int64
}

// EngineLoad is the load that a target reports in its answer.
type EngineLoad struct {
	Running, Waiting, Slots int
}

// Reply is what the headers of a target's answer say.
type Reply struct {
	ID RequestID
	// Sealed answers carry the proof that a target made them.
	Sealed bool
	// NotRun answers say that the target did not run the request.
	NotRun bool
	// Load is nil where the target tells none.
	Load *EngineLoad
}

// Dialect translates a platform's headers and published items.
type Dialect interface {
	// Prefixes returns the prefixes below which configuration and targets are
	// published.
	Prefixes() (configuration, targets string)
	// Ask reads a caller's headers.
	Ask(header http.Header) (Ask, error)
	// Peek reads the key and the tokens from the first bytes of a request that was
	// not parsed; what is not among them stays empty.
	Peek(head []byte) Ask
	// Onward makes the headers for a target out of the caller's.
	Onward(header http.Header, onward Onward) http.Header
	// Reply reads the headers of a target's answer.
	Reply(status int, header http.Header) Reply
	// Back copies to a caller the headers of a target's answer that concern it.
	Back(header, received http.Header)
	// Name sets the header that names the request in an answer of our own.
	Name(header http.Header, id RequestID)
	// Catalog decodes the configuration, nil if none is published.
	Catalog(items []Item) (*Catalog, error)
	// Emptied returns the failure domains to whose targets operators want nothing more to
	// be sent, from the items of the configuration.
	Emptied(items []Item) []FailureDomain
	// Target decodes one published target; an error means that the item names
	// none.
	Target(item Item) (Target, error)
}
