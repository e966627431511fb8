package berylspoke

// This file defines the interfaces that packages below core and io implement.

import (
	"context"
)

// Message is a message between two daemons.
type Message interface {
	// PeerMessage marks the types that daemons exchange.
	PeerMessage()
}

// Peers sends messages to other daemons without blocking. Messages may be lost,
// duplicated or reordered.
type Peers interface {
	Send(to VMID, message Message)
}

// Published is one patch as published by the platform.
type Published struct {
	Number PatchNumber
	Body   []byte
}

// VM is one entry VM in the platform's list.
type VM struct {
	ID            VMID
	FailureDomain FailureDomain
	PeerAddress   string
	CallAddress   string
	Leaving       bool
}

// Platform reads what the platform publishes. Its methods block until there is an
// update, the context ends or the platform fails.
type Platform interface {
	Patches(ctx context.Context, after PatchNumber) ([]Published, error)
	VMs(ctx context.Context, after uint64) ([]VM, uint64, error)
}

// Chunk is a piece of a streamed answer. Text starts after Offset tokens.
type Chunk struct {
	Offset Tokens
	Text   string
	Tokens Tokens
	End    bool
}

// GenerationRequest is a request to a model engine for a stream that starts after Offset
// tokens.
type GenerationRequest struct {
	Request   RequestID
	Prompt    string
	MaxTokens Tokens
	Offset    Tokens
}

// Call is a request to a plain service.
type Call struct {
	Request     RequestID
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Answer is the answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// LoadReport is the load that a target reports. It is outdated by the reporting lag
// when it arrives.
type LoadReport struct {
	Running int
	Waiting int
}

// Targets sends requests to back ends. Errors that concern a request carry its verdict,
// see VerdictOf.
type Targets interface {
	Stream(ctx context.Context, target TargetID, generation GenerationRequest, sink func(Chunk) error) error
	Call(ctx context.Context, target TargetID, call Call) (Answer, error)
	Load(ctx context.Context, target TargetID) (LoadReport, error)
	Order(ctx context.Context, target TargetID, order EngineOrder) error
}

// EngineOrder instructs an engine to serve a version of a model with adapters in a role.
// Fence is the fencing number by which an engine detects an outdated order.
type EngineOrder struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role"`
}

// MemoryBudget bounds the memory that is taken for something.
type MemoryBudget interface {
	// Reserve reserves bytes and returns an error if there is no room for them.
	Reserve(bytes int64) error
	// Release gives back reserved bytes.
	Release(bytes int64)
}
