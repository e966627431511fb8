package berylspoke

// This file defines the configuration that operators declare (routes, services,
// organisations and limits) and the targets that register themselves.

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether the requests of a route may be executed more than once.
type Kind uint8

const (
	// NonIdempotent requests are executed at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be retried on another target.
	Idempotent
	// Streaming requests are answered by a series of events. They are executed at
	// most once unless their route is resumable.
	Streaming
)

// String returns the name of the kind in logs and metrics.
func (kind Kind) String() string {
	return [...]string{"nonIdempotent", "idempotent", "streaming"}[kind]
}

// Regions is the set of regions in which requests may be served and in which engines
// may cache their prompts; nil allows all regions.
type Regions []Region

// Allows reports whether a region is in the set.
func (regions Regions) Allows(region Region) bool {
	return regions == nil || slices.Contains(regions, region)
}

// Intersect returns the regions that both sets allow. If there are none, the result is
// empty but not nil, since nil would allow all.
func (regions Regions) Intersect(other Regions) Regions {
	if regions == nil {
		return other
	}
	both := make(Regions, 0, len(regions))
	for _, region := range regions {
		if other.Allows(region) {
			both = append(both, region)
		}
	}
	return both
}

// Share is the fraction of a route's traffic that goes to one service: its weight
// relative to the sum of the route's weights.
type Share struct {
	Service ServiceID
	Weight  int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue on another target after the last event that was
	// delivered.
	Resumable bool
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Timeout bounds the time that a caller waits for its answer.
	Timeout time.Duration
	// Objective is the service level objective for the time to the first byte. A later
	// answer does not count in full.
	Objective time.Duration
	// MaxAttempts is the maximum number of targets that a request is sent to.
	MaxAttempts int
	// Priority ranks routes; zero is the highest priority.
	Priority int
	// Shares lists the services that serve the route.
	Shares []Share
	// Regions restricts where the route's requests may be served.
	Regions Regions
}

// Serves reports whether requests of the route may go to a service.
func (route *Route) Serves(service ServiceID) bool {
	return slices.ContainsFunc(route.Shares, func(share Share) bool { return share.Service == service })
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheCapacity is the capacity of an engine's KV cache.
	CacheCapacity Tokens
	// EventTokens is the number of generated tokens in one event of a stream.
	EventTokens Tokens
}

// Service is one declared service; Engine is nil for a plain service.
type Service struct {
	ID         ServiceID
	HealthPath string
	// MaxConnections bounds the connections to one target, summed over all daemons.
	MaxConnections int
	Engine         *EngineSpec
	// ColdFor is how long a target stays cold after its start; zero means that it is
	// never cold.
	ColdFor time.Duration
	// ColdRequestsPerSecond is the maximum request rate of a cold target, summed over all
	// daemons.
	ColdRequestsPerSecond float64
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is the total capacity of the engines. A prompt token counts once,
	// a generated token twice.
	TokensPerSecond Tokens
}

// Organisation is one customer that shares capacity, with the keys that authenticate
// its requests.
type Organisation struct {
	ID   OrganisationID
	Keys []string
	// Regions restricts where the organisation's requests may be served.
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

// Target is one back end as it describes itself.
type Target struct {
	ID            TargetID
	Service       ServiceID
	Address       string
	FailureDomain FailureDomain
	Slots         int
	// Draining targets accept no new requests.
	Draining bool
	// ColdFor is the cold time that remained when the target published it.
	ColdFor time.Duration
	// Started distinguishes successive runs under one id.
	Started int64
	// Version is the version of the target's software.
	Version SoftwareVersion
}

// TargetRun identifies one run of a target: a target that restarts may keep its id.
type TargetRun struct {
	ID      TargetID
	Started int64
}

// Run returns the run of the target.
func (target Target) Run() TargetRun { return TargetRun{target.ID, target.Started} }

// Build returns the build of the target. A target that does not tell its version has one of its
// run alone: nothing shows that it is the same as another's.
func (target Target) Build() Build {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(target.Service))
	if target.Version == "" {
		_, _ = fmt.Fprintf(digest, "\x00run\x00%s\x00%d", target.ID, target.Started)
	} else {
		_, _ = fmt.Fprintf(digest, "\x00version\x00%s", target.Version)
	}
	return Build(max(digest.Sum64(), 1))
}

// Revision counts the changes of the store within one era.
type Revision uint64

// Era counts how often the store has returned from an older copy of itself.
type Era uint64

// Position is a position in the store's history of changes. Each era has revisions of its
// own: those after the copy are given out again.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns -1, 0 or 1 for a position that is earlier than, the same as or later than
// another.
func (position Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(position.Era, other.Era), cmp.Compare(position.Revision, other.Revision))
}

// After reports whether a position is later than another.
func (position Position) After(other Position) bool { return position.Compare(other) > 0 }

// Later returns the later of two positions.
func (position Position) Later(other Position) Position {
	if other.After(position) {
		return other
	}
	return position
}

// Sequence is the position of a value among those of its writer, which knows in which order
// it wrote them whatever the store has kept of that.
type Sequence struct {
	// Run identifies the run of the writer; a later run has a greater one.
	Run    int64
	Number uint64
}

// Compare returns -1, 0 or 1 for a value that is earlier than, the same as or later than
// another of the same writer.
func (sequence Sequence) Compare(other Sequence) int {
	return cmp.Or(cmp.Compare(sequence.Run, other.Run), cmp.Compare(sequence.Number, other.Number))
}

// Item is one key of the store with its last change.
type Item struct {
	Key      string
	Value    []byte
	Position Position
	Deleted  bool
}
