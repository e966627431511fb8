package berylspoke

// This file defines the interfaces whose implementations live below core and io.

import (
	"context"
)

// Message is a typed message between two daemons.
type Message interface {
	// PeerMessage marks the types that may cross between daemons.
	PeerMessage()
}

// Peers sends messages to other daemons without waiting; delivery is not
// guaranteed and may repeat or reorder.
type Peers interface {
	Send(to VMID, message Message)
}

// Published is one patch as the platform published it.
type Published struct {
	Number EntryNumber
	Body   []byte
}

// VM is one entry VM as the platform lists it.
type VM struct {
	ID            VMID
	FailureDomain FailureDomain
	PeerAddress   string
	CallAddress   string
	Leaving       bool
}

// Platform reads what the platform publishes; every method blocks until there
// is news, the context ends, or the platform fails.
type Platform interface {
	Patches(ctx context.Context, after EntryNumber) ([]Published, error)
	VMs(ctx context.Context, after uint64) ([]VM, uint64, error)
}

// Chunk is a piece of a streamed answer; Text starts at Offset tokens.
type Chunk struct {
	Offset Tokens
	Text   string
	Tokens Tokens
	End    bool
}

// Draft asks a model engine for a stream that begins after Offset tokens.
type Draft struct {
	Request   RequestID
	Prompt    string
	MaxTokens Tokens
	Offset    Tokens
}

// Call is a request to a plain service.
type Call struct {
	Request RequestID
	Method  string
	Path    string
	Type    string
	Body    []byte
}

// Answer is the answer of a plain service.
type Answer struct {
	Status int
	Type   string
	Body   []byte
}

// LoadReport is what a target says of itself, late by its lag.
type LoadReport struct {
	Running int
	Waiting int
}

// Targets reaches back ends; errors are refusals with a verdict.
type Targets interface {
	Stream(ctx context.Context, target TargetID, draft Draft, sink func(Chunk) error) error
	Call(ctx context.Context, target TargetID, call Call) (Answer, error)
	Load(ctx context.Context, target TargetID) (LoadReport, error)
	Order(ctx context.Context, target TargetID, order Order) error
}

// Order asks an engine to hold a model, a version, adapters and a role.
type Order struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role"`
}
