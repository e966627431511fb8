package berylgate

// This file defines the reports of dispatches that daemons exchange.

import (
	"maps"
	"slices"
	"strings"
	"time"

	"berylspoke"
	"berylspoke/core/berylfeed"
)

const (
	// reportMaxAge is the age at which a peer's report no longer counts: its daemon is
	// gone or unreachable.
	reportMaxAge = 2 * time.Second
	// urgentMillis is the work above which a dispatch is reported at once. A request
	// that another daemon sends behind such a prompt, not knowing of it, waits that
	// much longer than expected, which can be the whole objective of a short request.
	urgentMillis = 40.0
	// minReportedRate is the demand in tokens per second below which an organisation is
	// not reported.
	minReportedRate = 20.0
)

// Report describes one daemon's requests at targets and its usage by organisations.
type Report struct {
	Incarnation berylspoke.Incarnation
	// Feeds are the positions of the newest changes that the sender has.
	Feeds []berylspoke.Position
	// Version is the version of the configuration in force.
	Version berylspoke.ConfigVersion
	// Contact is the age of the newest answer of the store, to the sender or another
	// daemon, as of which the sender's feeds are complete; ContactID tells such answers
	// apart. Complete are the positions at which a receiver's feeds are so too.
	Contact   time.Duration
	ContactID berylfeed.ContactID
	Complete  []berylspoke.Position
	// Targets describes the sender's requests at targets; Loads holds the loads that
	// targets reported to it since its last report. In a large fleet only loads are
	// reported, as a daemon would learn of a small part of what the others sent.
	Targets []TargetReport
	Loads   []LoadReport
	// Silences are the targets that did not answer some daemon recently.
	Silences []SilenceReport
	// Leavings are the targets whose answers lately said that they leave.
	Leavings []LeavingReport
	// Waits are the longest waits that the sender knows of, in a large fleet only.
	Waits []WaitReport
	// Organisations is empty in a large fleet, where Usage messages sum up organisations.
	Organisations []OrganisationReport
}

// TargetReport describes one daemon's requests at one target.
type TargetReport struct {
	Target uint32
	// All prefill work in milliseconds ever sent there, so that the next report makes up
	// for a lost one.
	WorkMillis uint64
	// Running and Tokens are the sender's requests there and the KV cache tokens that
	// they use.
	Running int
	Tokens  berylspoke.Tokens
	// The work in milliseconds of the requests there whose answers have not started.
	PendingMillis uint32
}

// LoadReport is the load that a target reported with an answer, and the age of that
// answer.
type LoadReport struct {
	Target           uint32
	Running, Waiting int
	Age              time.Duration
}

// OrganisationReport is the usage of one organisation in tokens per second.
type OrganisationReport struct {
	Organisation   uint32
	Demand, Served uint32
	// Whether a CPU-starved VM rejected callers of the organisation.
	CPULimited bool
}

func (report OrganisationReport) total() total {
	return total{float64(report.Demand), float64(report.Served), report.CPULimited}
}

// PeerMessage implements berylspoke.Message.
func (Report) PeerMessage() {}

var _ berylspoke.Message = Report{}

// peer holds the last report of one daemon.
type peer struct {
	vm         berylspoke.VMID
	report     Report
	receivedAt time.Time
	// workMillis is the work that it reported for each target, by the target's hash.
	workMillis map[uint32]uint64
}

// Report returns this daemon's report to its peers.
func (gate *Gate) Report(now time.Time) Report {
	report := Report{Incarnation: gate.options.Incarnation}
	if gate.largeFleet() {
		report.Loads = gate.loadReports(now, gate.lastReport)
		report.Waits = gate.waitReports(now)
	} else {
		report.Targets = gate.targetReports()
		report.Organisations = gate.newUsage(DaemonUsage, gate.ownUsage(now), 1).Organisations
	}
	report.Silences = gate.silenceReports(now)
	report.Leavings = gate.leavingReports(now)
	if gate.silenceNews {
		gate.lastNews = now
	}
	gate.lastReport, gate.urgent, gate.silenceNews = now, false, false
	return report
}

// Urgent reports whether a report should be sent before it is due. In a large fleet none
// is urgent, as only the loads of the targets show what others sent.
func (gate *Gate) Urgent() bool { return gate.urgent && !gate.largeFleet() }

// loadReports returns the loads that targets reported to this daemon after the given
// time. Loads that peers reported are not forwarded: that would multiply the bytes by the
// number of links, and the peers' own reports cover each target often enough.
func (gate *Gate) loadReports(now, since time.Time) []LoadReport {
	var loads []LoadReport
	gate.loadNews.update(func(target *target) bool {
		if own := target.directLoad; own.at.After(since) {
			loads = append(loads, LoadReport{
				Target: target.hash, Running: own.running, Waiting: own.waiting, Age: now.Sub(own.at),
			})
		}
		return false
	})
	return loads
}

// targetReports returns this daemon's requests at the targets.
func (gate *Gate) targetReports() []TargetReport {
	var reports []TargetReport
	for _, target := range gate.sorted {
		if target.sentMillis > 0 || target.running > 0 {
			reports = append(reports, TargetReport{
				Target: target.hash, WorkMillis: uint64(target.sentMillis), Running: target.running, Tokens: target.kvTokens, PendingMillis: saturated(target.pendingMillis),
			})
		}
	}
	return reports
}

// ReceiveReport applies a peer's report. The work that the peer sent since its previous
// report is added to the queues of the targets. For a peer without a previous report it
// is the work whose answers have not started: after a restart of the whole fleet all
// first reports describe a flood of requests, and daemons that ignored it as old work
// sent theirs on top of it. It returns the runs of targets that leave as the peer says and
// that were not known to.
func (gate *Gate) ReceiveReport(now time.Time, from berylspoke.VMID, report Report) []berylspoke.TargetRun {
	sender := gate.peer(from, report.Incarnation)
	for _, item := range report.Targets {
		target := gate.byHash[item.Target]
		sentMillis := float64(item.PendingMillis)
		if before, seen := sender.workMillis[item.Target]; seen {
			sentMillis = float64(item.WorkMillis) - float64(before)
		}
		sender.workMillis[item.Target] = item.WorkMillis
		if target != nil && sentMillis > 0 {
			target.drain(now)
			target.backlogMillis += sentMillis
			target.inflowMillis += sentMillis
			gate.active.add(target)
		}
	}
	for _, item := range report.Loads {
		if target := gate.byHash[item.Target]; target != nil {
			gate.adoptLoad(now, target, load{now.Add(-item.Age), item.Running, item.Waiting})
		}
	}
	gate.receiveSilences(now, report.Silences)
	gate.receiveWaits(now, report.Waits)
	sender.report, sender.receivedAt = report, now
	gate.sumOthers(now)
	return gate.receiveLeavings(now, report.Leavings)
}

// peer returns the state of one incarnation of a daemon, and creates it if needed.
func (gate *Gate) peer(from berylspoke.VMID, incarnation berylspoke.Incarnation) *peer {
	index, found := slices.BinarySearchFunc(gate.peers, from, func(peer *peer, vm berylspoke.VMID) int {
		return strings.Compare(string(peer.vm), string(vm))
	})
	if found && gate.peers[index].report.Incarnation == incarnation {
		return gate.peers[index]
	}
	created := &peer{vm: from, workMillis: make(map[uint32]uint64)}
	if found {
		gate.peers[index] = created
	} else {
		gate.peers = slices.Insert(gate.peers, index, created)
	}
	return created
}

// largeFleet reports whether the fleet is so large that a daemon receives reports of only
// some of the others.
func (gate *Gate) largeFleet() bool { return gate.live-1 > MaxFullMeshPeers }

// MaxFullMeshPeers is the number of peers up to which a daemon sends its reports to all
// of them; in larger fleets it sends them to its links.
const MaxFullMeshPeers = 12

// sumOthers sums up the requests of the other daemons at each target. In a large fleet they
// follow from the target's load when the target is evaluated.
func (gate *Gate) sumOthers(now time.Time) {
	gate.peers = slices.DeleteFunc(gate.peers, func(peer *peer) bool { return now.Sub(peer.receivedAt) > reportMaxAge })
	if gate.largeFleet() {
		return
	}
	for _, target := range gate.sorted {
		target.others = occupancy{}
	}
	for _, peer := range gate.peers {
		for _, item := range peer.report.Targets {
			if target := gate.byHash[item.Target]; target != nil {
				target.others.running += item.Running
				target.others.kvTokens += item.Tokens
				target.others.pendingMillis += float64(item.PendingMillis)
			}
		}
	}
}

// refreshOthers estimates the requests of the other daemons at a target of a large fleet.
func (gate *Gate) refreshOthers(now time.Time, target *target) {
	if gate.largeFleet() {
		target.others = target.othersFromLoad(now, gate.meanLoadOf(target))
	}
}

// total is the usage of one organisation summed over daemons, and whether it is limited
// by the CPU of a VM.
type total struct {
	demand, served float64
	cpuLimited     bool
}

func (sum total) plus(more total) total {
	return total{sum.demand + more.demand, sum.served + more.served, sum.cpuLimited || more.cpuLimited}
}

// totals returns the usage of all organisations in the fleet.
func (gate *Gate) totals(now time.Time) map[uint32]total {
	gate.shares.others = gate.others(now)
	totals := maps.Clone(gate.shares.others)
	addTotals(totals, gate.ownUsage(now))
	return totals
}

// others returns the usage of organisations at the other daemons.
func (gate *Gate) others(now time.Time) map[uint32]total {
	if gate.largeFleet() {
		return gate.largeFleetOthers(now)
	}
	others := make(map[uint32]total)
	for _, peer := range gate.peers {
		for _, item := range peer.report.Organisations {
			others[item.Organisation] = others[item.Organisation].plus(item.total())
		}
	}
	return others
}

// served returns the rate at which all daemons serve an organisation, in tokens per
// second.
func (gate *Gate) served(now time.Time, organisation uint32) float64 {
	return gate.shares.usage(organisation).served.now(now) + gate.shares.others[organisation].served
}
