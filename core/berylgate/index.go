package berylgate

// This file defines the index of the targets of a service: by distance, to draw the
// candidates for a request, and by hash, to find the homes of shared segments. What a
// decision costs does not depend on the number of targets.

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

// targetIndex holds the targets of one service that accept requests.
type targetIndex struct {
	// near holds the targets in this daemon's failure domain, those elsewhere in its
	// region, and those in other regions.
	near [scopeCount][]*target
	// domain holds the targets in this daemon's failure domain, regions those of each
	// region.
	domain  ring
	regions map[berylspoke.Region]ring
}

// add adds a target in the given region.
func (index *targetIndex) add(target *target, region berylspoke.Region) {
	index.near[target.scope] = append(index.near[target.scope], target)
	if target.scope == domainScope {
		index.domain = index.domain.with(target)
	}
	if index.regions == nil {
		index.regions = make(map[berylspoke.Region]ring)
	}
	index.regions[region] = index.regions[region].with(target)
}

// remove removes a target that was added.
func (index *targetIndex) remove(target *target, region berylspoke.Region) {
	near := index.near[target.scope]
	if at := slices.Index(near, target); at >= 0 {
		last := len(near) - 1
		near[at], near[last] = near[last], nil
		index.near[target.scope] = near[:last]
	}
	if target.scope == domainScope {
		index.domain = index.domain.without(target)
	}
	index.regions[region] = index.regions[region].without(target)
}

// ring assigns segments to targets by multi-probe consistent hashing. Each target has one
// point, and a segment belongs to the target whose point most closely follows one of the
// segment's probes. A target that joins or leaves moves no segments but its own.
type ring []point

type point struct {
	hash   uint64
	target *target
}

func newPoint(target *target) point {
	return point{xxhash.Sum64String(string(target.ID)), target}
}

func comparePoints(one, other point) int {
	return cmp.Or(cmp.Compare(one.hash, other.hash), strings.Compare(string(one.target.ID), string(other.target.ID)))
}

func (ring ring) with(target *target) ring {
	added := newPoint(target)
	at, _ := slices.BinarySearchFunc(ring, added, comparePoints)
	return slices.Insert(ring, at, added)
}

func (ring ring) without(target *target) ring {
	at, found := slices.BinarySearchFunc(ring, newPoint(target), comparePoints)
	if !found {
		return ring
	}
	return slices.Delete(ring, at, at+1)
}

// probeCount is the number of probes of a segment. More probes make the parts of the targets
// more even.
const probeCount = 21

// probes are the hashes at which a segment looks for its home.
type probes [probeCount]uint64

func newProbes(segment uint64) probes {
	var probes probes
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], segment)
	for i := range probes {
		key[8] = byte(i)
		probes[i] = xxhash.Sum64(key[:])
	}
	return probes
}

// owner returns the target to which a segment belongs and its distance from the closest
// probe, nil if there are no targets.
func (ring ring) owner(probes *probes) (*target, uint64) {
	var best *target
	nearest := uint64(math.MaxUint64)
	if len(ring) == 0 {
		return nil, nearest
	}
	for _, probe := range probes {
		next := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= probe })
		point := ring[next%len(ring)]
		// The distance wraps around.
		if distance := point.hash - probe; best == nil || distance < nearest {
			best, nearest = point.target, distance
		}
	}
	return best, nearest
}

const (
	// drawnTargets is the number of targets that are drawn from each scope at a time.
	drawnTargets = 32
	// maxDraws is how often targets are drawn for one request while none of those drawn
	// before is expected to answer in time. While there is none at all, draws go on.
	maxDraws = 3
)

// count returns the number of targets.
func (index *targetIndex) count() int {
	count := 0
	for _, near := range index.near {
		count += len(near)
	}
	return count
}

// draws returns the number of draws that cover all targets.
func (index *targetIndex) draws() int {
	longest := 0
	for _, near := range index.near {
		longest = max(longest, len(near))
	}
	return (longest + drawnTargets - 1) / drawnTargets
}

// draw calls visit with the targets of one draw from a scope. The draws that begin at the
// same offset follow each other. The first draw has all targets of a scope if they are few.
func (index *targetIndex) draw(scope scope, offset uint64, draw int, visit func(*target)) {
	near := index.near[scope]
	count := uint64(len(near))
	if count <= drawnTargets {
		offset = 0
	}
	first := uint64(draw * drawnTargets)
	for i := first; i < min(first+drawnTargets, count); i++ {
		visit(near[(offset+i)%count])
	}
}
