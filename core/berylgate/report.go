package berylgate

// This file defines what daemons tell each other of their dispatches.

import (
	"maps"
	"slices"
	"strings"
	"time"

	"berylspoke"
	"berylspoke/core/berylfeed"
)

const (
	// reportStale is the age at which a peer's report no longer counts: its
	// daemon is gone or out of reach.
	reportStale = 2 * time.Second
	// urgentWork is the work in milliseconds of a dispatch that is reported at once.
	// Whoever is sent behind such a prompt by a daemon that does not know of it waits
	// so much longer than expected, which is the whole objective of short requests.
	urgentWork = 40.0
	// rateLeast is the rate in tokens a second below which it is not reported.
	rateLeast = 20.0
)

// Report is what one daemon has at the targets and gave to organisations.
type Report struct {
	Incarnation berylspoke.Incarnation
	// Feeds are the revisions that the sender is complete up to.
	Feeds []berylspoke.Revision
	// Contact is how long ago the store answered the sender, or a daemon that it
	// heard of; ContactID tells such answers apart.
	Contact   time.Duration
	ContactID berylfeed.ContactID
	// Targets is what the sender has at the targets; Loads are what targets told
	// it of themselves since its last report. A large fleet tells only loads, as a
	// daemon would hear of a small part of what the others sent.
	Targets []TargetReport
	Loads   []LoadReport
	// Organisations is empty in a large fleet, which sums them up by Usage.
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

// LoadReport is the load that a target told with an answer some time ago.
type LoadReport struct {
	Target           uint32
	Running, Waiting int
	Age              time.Duration
}

// OrganisationReport is the usage by one organisation in tokens a second.
type OrganisationReport struct {
	Organisation uint32
	Asked, Given uint32
	// Short says that a VM with too little processor time turned callers of it away.
	Short bool
}

func (report OrganisationReport) total() total {
	return total{float64(report.Asked), float64(report.Given), report.Short}
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
	if gate.sampled() {
		report.Loads = gate.newLoads(now, gate.reported)
	} else {
		report.Targets = gate.dispatches()
		report.Organisations = gate.newUsage(DaemonUsage, gate.ownUsage(now)).Organisations
	}
	gate.reported, gate.urgent = now, false
	return report
}

// Urgent says whether a report should not wait until it is due. In a large fleet
// only the targets themselves tell of what others sent.
func (gate *Gate) Urgent() bool { return gate.urgent && !gate.sampled() }

// newLoads returns what targets told this daemon itself after some time. What
// others told is not passed on: that would multiply the bytes by the number of
// links, and the peers' own word covers each target often enough.
func (gate *Gate) newLoads(now, after time.Time) []LoadReport {
	var loads []LoadReport
	for _, target := range gate.sorted {
		if own := target.toldHere; own.at.After(after) {
			loads = append(loads, LoadReport{
				Target: target.hash, Running: own.running, Waiting: own.waiting, Age: now.Sub(own.at),
			})
		}
	}
	return loads
}

// dispatches returns what this daemon has at the targets.
func (gate *Gate) dispatches() []TargetReport {
	var reports []TargetReport
	for _, target := range gate.sorted {
		if target.sentWork > 0 || target.running > 0 {
			reports = append(reports, TargetReport{
				Target: target.hash, Work: uint64(target.sentWork), Running: target.running, Tokens: target.tokens, Pending: uint32(target.pending),
			})
		}
	}
	return reports
}

// Heard takes a peer's report. The work that it sent since its last one is
// added to the queues of the targets. Of a peer that was not heard of before, it is
// what has not begun yet: after a restart of the whole fleet all first reports tell
// of a flood, and daemons that took them for old news sent theirs on top.
func (gate *Gate) Heard(now time.Time, from berylspoke.VMID, report Report) {
	known := gate.peer(from, report.Incarnation)
	for _, item := range report.Targets {
		target := gate.hashes[item.Target]
		sent := float64(item.Pending)
		if before, seen := known.work[item.Target]; seen {
			sent = float64(item.Work) - float64(before)
		}
		known.work[item.Target] = item.Work
		if target != nil && sent > 0 {
			target.drain(now)
			target.backlog += sent
			target.reported += sent
		}
	}
	for _, item := range report.Loads {
		if target := gate.hashes[item.Target]; target != nil {
			target.tell(now, load{now.Add(-item.Age), item.Running, item.Waiting})
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

// sampled says whether the fleet is so large that a daemon hears only some of
// the others.
func (gate *Gate) sampled() bool { return gate.live-1 > FullMesh }

// FullMesh is the number of peers up to which a daemon tells all of them what
// it dispatched; in larger fleets it tells its links.
const FullMesh = 12

// sumOthers adds up what the other daemons have at each target.
func (gate *Gate) sumOthers(now time.Time) {
	for _, target := range gate.sorted {
		target.others = occupancy{}
		if gate.sampled() {
			target.others = target.toldOthers(now)
		}
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
}

// total is what one organisation asked for and was given by all daemons, and whether
// the processor time of a VM holds it back.
type total struct {
	asked, given float64
	short        bool
}

func (sum total) plus(more total) total {
	return total{sum.asked + more.asked, sum.given + more.given, sum.short || more.short}
}

// totals returns the usage of all organisations in the fleet.
func (gate *Gate) totals(now time.Time) map[uint32]total {
	gate.shares.others = gate.others(now)
	totals := maps.Clone(gate.shares.others)
	add(totals, gate.ownUsage(now))
	return totals
}

// others returns the usage of organisations at the other daemons.
func (gate *Gate) others(now time.Time) map[uint32]total {
	if gate.sampled() {
		return gate.sampledOthers(now)
	}
	others := make(map[uint32]total)
	for _, peer := range gate.peers {
		for _, item := range peer.report.Organisations {
			others[item.Organisation] = others[item.Organisation].plus(item.total())
		}
	}
	return others
}

// given returns what an organisation is given by all daemons in tokens a second.
func (gate *Gate) given(now time.Time, organisation uint32) float64 {
	return gate.shares.usage(organisation).given.now(now) + gate.shares.others[organisation].given
}
