package berylspoke

// This file defines what operators declare for routing: routes, services,
// organisations and limits, and what targets say of themselves.

import (
	"slices"
	"time"
)

// Kind says how often a request of a route may run.
type Kind uint8

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again on another target.
	Idempotent
	// Streaming requests are answered by a series of events. They run at most
	// once unless their route is resumable.
	Streaming
)

// String returns the kind as logged.
func (kind Kind) String() string {
	return [...]string{"nonIdempotent", "idempotent", "streaming"}[kind]
}

// Regions are those in which requests may be served and what engines keep of them may
// lie; nil allows all.
type Regions []Region

// Allow says whether a region is among them.
func (regions Regions) Allow(region Region) bool {
	return regions == nil || slices.Contains(regions, region)
}

// And returns the regions that both allow, empty but not nil if there is none.
func (regions Regions) And(other Regions) Regions {
	if regions == nil {
		return other
	}
	both := make(Regions, 0, len(regions))
	for _, region := range regions {
		if other.Allow(region) {
			both = append(both, region)
		}
	}
	return both
}

// Share is the part of a route's traffic that goes to one service.
type Share struct {
	Service ServiceID
	Weight  int
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another target after the last event.
	Resumable bool
	// Anonymous routes need no key.
	Anonymous bool
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the first byte within which an answer counts in
	// full.
	Objective time.Duration
	// Attempts bounds the targets that one request may be sent to.
	Attempts int
	// Priority ranks routes; zero is the most urgent.
	Priority int
	// Shares lists the services that serve the route.
	Shares []Share
	// Regions are those in which its requests may be served.
	Regions Regions
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests an engine runs at once.
	Slots int
	// Memory is the number of tokens an engine keeps.
	Memory Tokens
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens Tokens
}

// Service is one declared service; Engine is nil for a plain one.
type Service struct {
	ID         ServiceID
	HealthPath string
	// MaxConnections bounds the connections to one target from all daemons
	// together.
	MaxConnections int
	Engine         *EngineSpec
	// ColdFor is how long a target is cold after it starts, zero if it never is.
	ColdFor time.Duration
	// ColdPerSecond is the rate of requests from all daemons together that a cold target
	// bears.
	ColdPerSecond float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is what the engines produce together, where each token
	// read counts once and each token generated twice.
	TokensPerSecond Tokens
}

// Organisation is one customer that shares capacity, and the keys that prove it.
type Organisation struct {
	ID   OrganisationID
	Keys []string
	// Regions are those in which its requests may be served.
	Regions Regions
}

// Catalog is one version of the declared configuration.
type Catalog struct {
	Version       ConfigVersion
	Routes        []Route
	Services      map[ServiceID]Service
	Organisations []Organisation
	Limits        Limits
}

// Target is what one back end says of itself.
type Target struct {
	ID            TargetID
	Service       ServiceID
	Address       string
	FailureDomain FailureDomain
	Slots         int
	// Leaving targets take no new requests.
	Leaving bool
	// ColdFor is how much longer the target was cold when it said so.
	ColdFor time.Duration
	// Born tells two runs under one id apart.
	Born int64
}

// Revision is a position in the history of the published items.
type Revision uint64

// Item is one published key and its last change.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
}
