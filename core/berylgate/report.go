package berylgate

// This file defines what daemons tell each other of their dispatches.

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"berylspoke"
)

const (
	// reportStale is the age at which a peer's report no longer counts: its
	// daemon is gone or out of reach.
	reportStale = 2 * time.Second
	// rateLeast is the rate in tokens a second below which it is not reported.
	rateLeast = 20.0
)

// Report is what one daemon has at the targets and gave to organisations.
type Report struct {
	Incarnation berylspoke.Incarnation
	// Feeds are the revisions that the sender is complete up to.
	Feeds []berylspoke.Revision
	// Contact says whether the store answered the sender lately.
	Contact       bool
	Targets       []TargetReport
	Organisations []OrganisationReport
}

// TargetReport is a daemon's part of one target.
type TargetReport struct {
	Target uint32
	// Work is all prefill work in milliseconds ever sent there, so a lost report
	// is made up for by the next one.
	Work    uint64
	Running int
	Tokens  berylspoke.Tokens
	// Pending is the work in milliseconds of the requests there that have not
	// begun to answer.
	Pending uint32
}

// OrganisationReport is a daemon's usage by one organisation in tokens a second.
type OrganisationReport struct {
	Organisation uint32
	Asked, Given uint32
}

// PeerMessage implements berylspoke.Message.
func (Report) PeerMessage() {}

var _ berylspoke.Message = Report{}

// peer is the last report of one daemon.
type peer struct {
	vm     berylspoke.VMID
	report Report
	at     time.Time
	work   map[uint32]uint64
}

// Report returns this daemon's report.
func (gate *Gate) Report(now time.Time) Report {
	report := Report{Incarnation: gate.options.Incarnation}
	for _, target := range gate.sorted {
		if target.sentWork > 0 || target.running > 0 {
			report.Targets = append(report.Targets, TargetReport{
				Target: target.hash, Work: uint64(target.sentWork), Running: target.running, Tokens: target.tokens, Pending: uint32(target.pending),
			})
		}
	}
	for _, organisation := range slices.Sorted(maps.Keys(gate.shares.own)) {
		usage := gate.shares.own[organisation]
		asked, given := usage.asked.now(now), usage.given.now(now)
		if asked < rateLeast {
			delete(gate.shares.own, organisation)
			continue
		}
		report.Organisations = append(report.Organisations, OrganisationReport{
			Organisation: organisation, Asked: uint32(asked), Given: uint32(given),
		})
	}
	return report
}

// Heard takes a peer's report. The work that it sent since its last one is
// added to the queues of the targets.
func (gate *Gate) Heard(now time.Time, from berylspoke.VMID, report Report) {
	known := gate.peer(from, report.Incarnation)
	for _, item := range report.Targets {
		target := gate.hashes[item.Target]
		before, seen := known.work[item.Target]
		known.work[item.Target] = item.Work
		if target != nil && seen && item.Work > before {
			sent := float64(item.Work-before) * gate.scale()
			target.drain(now)
			target.backlog += sent
			target.reported += sent
		}
	}
	known.report, known.at = report, now
	gate.sumOthers(now)
}

// peer returns the peer of one life of a daemon, a new one if need be.
func (gate *Gate) peer(from berylspoke.VMID, incarnation berylspoke.Incarnation) *peer {
	place, found := slices.BinarySearchFunc(gate.peers, from, func(peer *peer, vm berylspoke.VMID) int {
		return strings.Compare(string(peer.vm), string(vm))
	})
	if found && gate.peers[place].report.Incarnation == incarnation {
		return gate.peers[place]
	}
	fresh := &peer{vm: from, work: make(map[uint32]uint64)}
	if found {
		gate.peers[place] = fresh
	} else {
		gate.peers = slices.Insert(gate.peers, place, fresh)
	}
	return fresh
}

// scale is how many daemons each heard one stands for. Small fleets hear all of
// them, and one that is not heard is gone or cut off; in a large fleet a daemon
// hears only a sample of the others.
func (gate *Gate) scale() float64 {
	if gate.live-1 <= FullMesh {
		return 1
	}
	return math.Max(1, float64(gate.live-1)/math.Max(1, float64(len(gate.peers))))
}

// FullMesh is the number of peers up to which a daemon tells all of them what
// it dispatched; in larger fleets it tells its links.
const FullMesh = 12

// sumOthers adds up what the other daemons have at each target.
func (gate *Gate) sumOthers(now time.Time) {
	for _, target := range gate.sorted {
		target.others = occupancy{}
	}
	gate.peers = slices.DeleteFunc(gate.peers, func(peer *peer) bool { return now.Sub(peer.at) > reportStale })
	for _, peer := range gate.peers {
		for _, item := range peer.report.Targets {
			if target := gate.hashes[item.Target]; target != nil {
				target.others.running += item.Running
				target.others.tokens += item.Tokens
				target.others.pending += float64(item.Pending)
			}
		}
	}
	if scale := gate.scale(); scale > 1 {
		for _, target := range gate.sorted {
			target.others.running = int(scale * float64(target.others.running))
			target.others.tokens = berylspoke.Tokens(scale * float64(target.others.tokens))
			target.others.pending *= scale
		}
	}
}

// fleet returns what an organisation asked for and was given by all daemons.
func (gate *Gate) fleet(now time.Time, organisation uint32) (asked, given float64) {
	for _, peer := range gate.peers {
		fade := math.Exp(-float64(now.Sub(peer.at)) / float64(shareWindow))
		for _, item := range peer.report.Organisations {
			if item.Organisation == organisation {
				asked += fade * float64(item.Asked)
				given += fade * float64(item.Given)
			}
		}
	}
	scale := gate.scale()
	usage := gate.shares.usage(organisation)
	return usage.asked.now(now) + scale*asked, usage.given.now(now) + scale*given
}

// levelEvery is the time between two computations of the max-min level.
const levelEvery = 100 * time.Millisecond

// level returns the max-min level in tokens a second.
func (gate *Gate) level(now time.Time) float64 {
	if now.Sub(gate.shares.levels) < levelEvery {
		return gate.shares.level
	}
	gate.shares.levels = now
	total := make(map[uint32]float64)
	for organisation, usage := range gate.shares.own {
		total[organisation] = usage.asked.now(now)
	}
	scale := gate.scale()
	for _, peer := range gate.peers {
		for _, item := range peer.report.Organisations {
			total[item.Organisation] += scale * float64(item.Asked)
		}
	}
	asked := make([]float64, 0, len(total))
	for _, want := range total {
		asked = append(asked, want)
	}
	gate.shares.level = math.Inf(1)
	if capacity := gate.capacity; capacity > 0 {
		gate.shares.level = waterLevel(asked, float64(capacity))
	}
	return gate.shares.level
}
