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
	// usageEvery is the time between two reports of organisations' usage in a large
	// fleet. Rates are means over shareWindow, so more would say little; each costs
	// some hundred bytes to each peer, half of all control traffic.
	usageEvery = 800 * time.Millisecond
	// usageStale is the age at which the usage that a peer told no longer counts:
	// two reports were lost.
	usageStale = 3*usageEvery + 200*time.Millisecond
	// usageLeast is the part of the throughput below which a large fleet's daemons
	// do not report what an organisation asks them for.
	usageLeast = 0.0002
	// rateLeast is the rate in tokens a second below which it is not reported.
	rateLeast = 20.0
)

// Report is what one daemon has at the targets and gave to organisations.
type Report struct {
	Incarnation berylspoke.Incarnation
	// Feeds are the revisions that the sender is complete up to.
	Feeds []berylspoke.Revision
	// Contact is how long ago the store answered the sender, or a daemon that it
	// heard of.
	Contact time.Duration
	// Targets is what the sender has at the targets; Loads are what targets told
	// it of themselves since its last report. A large fleet tells only loads, as a
	// daemon would hear of a small part of what the others sent.
	Targets []TargetReport
	Loads   []LoadReport
	// Organisations is empty in most reports of a large fleet, which says nothing
	// new.
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

// OrganisationReport is one daemon's usage by one organisation in tokens a
// second, as it was some time ago. Origin is zero for the sender's own.
type OrganisationReport struct {
	Origin       uint32
	Organisation uint32
	Asked, Given uint32
	Age          time.Duration
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
	// usage is what the peer told last of organisations, and when.
	usage   []OrganisationReport
	usageAt time.Time
}

// Report returns this daemon's report.
func (gate *Gate) Report(now time.Time) Report {
	report := Report{Incarnation: gate.options.Incarnation}
	if gate.sampled() {
		report.Loads = gate.newLoads(now, gate.reported)
	} else {
		report.Targets = gate.dispatches()
	}
	gate.reported = now
	if !gate.sampled() || now.Sub(gate.usageTold) >= usageEvery {
		report.Organisations = gate.usages(now, gate.usageTold)
		gate.usageTold = now
	}
	return report
}

// newLoads returns what targets told this daemon itself after some time. What
// others told is not passed on: eight peers' own word covers each target about
// twice a second at the sizes that are planned, and passing on would multiply
// the bytes by the number of links.
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

// usages returns what organisations ask this daemon for and are given, and in a
// large fleet the heavy usage elsewhere that was learnt after some time.
func (gate *Gate) usages(now, after time.Time) []OrganisationReport {
	var reports []OrganisationReport
	least := rateLeast
	if gate.sampled() {
		least = max(least, usageLeast*float64(gate.capacity))
	}
	for _, organisation := range slices.Sorted(maps.Keys(gate.shares.own)) {
		usage := gate.shares.own[organisation]
		asked, given := usage.asked.now(now), usage.given.now(now)
		if asked < rateLeast {
			delete(gate.shares.own, organisation)
		}
		if asked >= least {
			reports = append(reports, OrganisationReport{
				Organisation: organisation, Asked: uint32(asked), Given: uint32(given),
			})
		}
	}
	if gate.sampled() {
		reports = append(reports, gate.heavy.newest(now, after)...)
	}
	return reports
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
			sent := float64(item.Work - before)
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
	gate.heavy.learn(now, from, hashOf(string(gate.options.VM)), gate.heavyRate(), report.Organisations)
	known.report, known.at = report, now
	if len(report.Organisations) > 0 || !gate.sampled() {
		known.usage, known.usageAt = report.Organisations, now
	}
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

// scale is how many daemons each heard one stands for in the rates of
// organisations. Small fleets hear all, and one that is not heard is gone or
// cut off.
func (gate *Gate) scale() float64 {
	if !gate.sampled() {
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

// levelEvery is the time between two computations of the levels.
const levelEvery = 100 * time.Millisecond

// refreshLevels computes the max-min level and the cap in tokens a second.
func (gate *Gate) refreshLevels(now time.Time) {
	if now.Sub(gate.shares.levels) < levelEvery {
		return
	}
	gate.shares.levels = now
	totals := gate.totals(now)
	asked := make([]float64, 0, len(totals))
	for _, total := range totals {
		asked = append(asked, total.asked)
	}
	gate.shares.level, gate.shares.cap = math.Inf(1), math.Inf(1)
	if gate.capacity > 0 {
		gate.shares.level = waterLevel(asked, float64(gate.capacity))
		gate.shares.cap = capOf(gate.shares.level, totals)
	}
}

// capOf returns the most that an organisation beyond its level may get: mostGap
// times what the least served backlogged one gets.
func capOf(level float64, totals map[uint32]total) float64 {
	floor := math.Inf(1)
	for _, total := range totals {
		if total.given < squeezed*total.asked {
			floor = math.Min(floor, total.given)
		}
	}
	return math.Max(level, mostGap*floor)
}

// total is what one organisation asked for and was given by all daemons.
type total struct{ asked, given float64 }

func (sum total) plus(scale float64, item OrganisationReport) total {
	return total{sum.asked + scale*float64(item.Asked), sum.given + scale*float64(item.Given)}
}

// heavyShare is the part of the throughput from which on one organisation at one
// daemon is told on by all.
const heavyShare = 0.04

func (gate *Gate) heavyRate() float64 { return heavyShare * float64(gate.capacity) }

// totals returns the usage of all organisations in the fleet. Where a daemon
// hears only some of the others, what they say stands for the rest, but for
// heavy usage at one daemon, which all are told of.
func (gate *Gate) totals(now time.Time) map[uint32]total {
	others := make(map[uint32]total)
	scale, heavy := gate.scale(), math.Inf(1)
	if gate.sampled() {
		heavy = gate.heavyRate()
	}
	for _, peer := range gate.peers {
		if now.Sub(peer.usageAt) > usageStale {
			continue
		}
		for _, item := range peer.usage {
			if item.Origin == 0 && float64(item.Asked) < heavy {
				others[item.Organisation] = others[item.Organisation].plus(scale, item)
			}
		}
	}
	if gate.sampled() {
		for _, item := range gate.heavy.newest(now, time.Time{}) {
			others[item.Organisation] = others[item.Organisation].plus(1, item)
		}
	}
	gate.shares.others = others
	totals := maps.Clone(others)
	for organisation, usage := range gate.shares.own {
		sum := totals[organisation]
		totals[organisation] = total{sum.asked + usage.asked.now(now), sum.given + usage.given.now(now)}
	}
	return totals
}

// given returns what an organisation is given by all daemons in tokens a second.
func (gate *Gate) given(now time.Time, organisation uint32) float64 {
	return gate.shares.usage(organisation).given.now(now) + gate.shares.others[organisation].given
}
