package berylgate

// This file defines how a large fleet sums up the usage of organisations.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"berylspoke"
)

const (
	// usageInterval is the time between two usage reports in a large fleet. Usage
	// passes through three reports to reach all daemons, so the sum is a second old on
	// average, less than the window over which rates are averaged.
	usageInterval = 700 * time.Millisecond
	// usageMaxAge is the age at which received usage no longer counts: two reports were
	// lost, or their sender is gone.
	usageMaxAge = 3*usageInterval + 200*time.Millisecond
	// maxOrganisations is the maximum number of organisations in one report, those with
	// the highest demand. The demand of the others is far below the level.
	maxOrganisations = 128
	// minDemandShare is the fraction of the throughput that an organisation must demand
	// to be listed in the fleet's sum. The others are summed up in one figure, since
	// none of them can be beyond its share.
	minDemandShare = 0.01
	// lackingAge is the age of the fleet's sum at which a daemon asks for one: a report was lost, or the
	// daemon gets none as it has just started or leaves. It then reports each lackingInterval.
	lackingAge      = 3 * usageInterval / 2
	lackingInterval = usageInterval / 3
	// minCoverage is the fraction of the daemons that a sum must cover to replace one that covers
	// them: a collector that has just started has heard of few.
	minCoverage = 0.75
)

// Extent says whose usage a report sums up.
type Extent uint8

// The extents: one daemon, one failure domain, the fleet.
const (
	DaemonUsage Extent = iota
	DomainUsage
	FleetUsage
)

// Usage is the demand and the service of organisations at one daemon, in one failure
// domain or in the fleet.
type Usage struct {
	Extent        Extent
	Domain        berylspoke.FailureDomain
	Organisations []OrganisationReport
	// RestDemand is the demand of all other organisations together, in tokens per second.
	RestDemand uint32
	// Daemons is the number of daemons whose usage is summed up. Lacking is set if the sender has no
	// recent sum of the fleet and asks the receiver for one.
	Daemons int
	Lacking bool
}

// PeerMessage implements berylspoke.Message.
func (Usage) PeerMessage() {}

var _ berylspoke.Message = Usage{}

// collectedUsage is the usage received from peers, by its extent and its sender. All
// daemons are summed up: since all callers of an organisation may connect to one daemon
// or one failure domain, a sample of the peers would miss them or count them many times
// over.
type collectedUsage struct {
	daemons map[berylspoke.VMID]receivedUsage
	domains map[berylspoke.FailureDomain]receivedUsage
	fleet   receivedUsage
	// reportedOwn is this daemon's own usage as last reported, which is part of the
	// fleet's sum.
	reportedOwn receivedUsage
	// collects is set if this daemon is a collector, which sums up the usage of its
	// failure domain.
	collects bool
	due      time.Time
}

// receivedUsage is one usage report and when it was received.
type receivedUsage struct {
	receivedAt    time.Time
	organisations map[uint32]total
	restDemand    float64
	// daemons is the number of daemons that are summed up.
	daemons int
}

func (usage receivedUsage) fresh(now time.Time) bool { return now.Sub(usage.receivedAt) <= usageMaxAge }

// supersedes reports whether the usage replaces what was received before: that is old, or covers
// hardly more of the live daemons.
func (usage receivedUsage) supersedes(now time.Time, before receivedUsage, live int) bool {
	return !before.fresh(now) || covers(usage.daemons, min(before.daemons, live))
}

// covers reports whether a sum over a number of daemons covers most of the given number.
func covers(daemons, of int) bool { return float64(daemons) >= minCoverage*float64(of) }

func newCollected() collectedUsage {
	return collectedUsage{
		daemons: make(map[berylspoke.VMID]receivedUsage), domains: make(map[berylspoke.FailureDomain]receivedUsage),
	}
}

// UsageReports are the usage reports that a daemon sends at a time; those that are nil
// are not due or not sent by this daemon.
type UsageReports struct {
	// ToCollectors is sent to the collectors of the daemon's own failure domain,
	// ToDomains to those of the others, ToMembers to the daemons of its own.
	ToCollectors, ToDomains, ToMembers *Usage
}

// UsageReports returns the reports that are due; collects says whether this daemon sums
// up its failure domain.
func (gate *Gate) UsageReports(now time.Time, collects bool) UsageReports {
	collected := &gate.collected
	collected.collects = collects
	if now.Before(collected.due) {
		return UsageReports{}
	}
	own := gate.ownUsage(now)
	collected.reportedOwn = receivedUsage{receivedAt: now, organisations: own, daemons: 1}
	report := gate.newUsage(DaemonUsage, own, 1)
	domain, daemons := gate.domainUsage(now)
	fleet, all := gate.fleetUsage(now, domain, daemons)
	hears := collected.fleet.fresh(now) && now.Sub(collected.fleet.receivedAt) < lackingAge
	report.Lacking = !hears && !(collects && covers(all, gate.live))
	collected.due = now.Add(usageInterval)
	if report.Lacking {
		collected.due = now.Add(lackingInterval)
	}
	if !collects || !gate.sumsUp(now, all) {
		return UsageReports{ToCollectors: report}
	}
	// It may be a collector no more by the next report.
	collected.fleet = receivedUsage{receivedAt: now, organisations: fleet, daemons: all}
	return UsageReports{
		// The other collector of the domain sums up this daemon too.
		ToCollectors: report,
		ToDomains:    gate.newUsage(DomainUsage, domain, daemons),
		ToMembers:    gate.newUsage(FleetUsage, fleet, all),
	}
}

// sumsUp reports whether a collector's own sum over a number of daemons is to be used. One that has just
// started uses what another collector tells it.
func (gate *Gate) sumsUp(now time.Time, daemons int) bool {
	own := receivedUsage{daemons: daemons}
	return own.supersedes(now, gate.collected.fleet, gate.live)
}

// ownUsage returns the usage of organisations at this daemon and drops those with a
// demand below minReportedRate.
func (gate *Gate) ownUsage(now time.Time) map[uint32]total {
	own := make(map[uint32]total, len(gate.shares.own))
	for organisation, usage := range gate.shares.own {
		demand := usage.demand.now(now)
		if demand < minReportedRate {
			delete(gate.shares.own, organisation)
			continue
		}
		own[organisation] = total{demand, usage.served.now(now), now.Before(usage.cpuLimitedUntil)}
	}
	return own
}

// domainUsage returns the sum over this daemon and those that reported to it, and their number.
func (gate *Gate) domainUsage(now time.Time) (sum map[uint32]total, daemons int) {
	sum, daemons = gate.ownUsage(now), 1
	for vm, received := range gate.collected.daemons {
		if !received.fresh(now) {
			delete(gate.collected.daemons, vm)
			continue
		}
		addTotals(sum, received.organisations)
		daemons++
	}
	return sum, daemons
}

// fleetUsage returns the sum over all failure domains with a recent report, and the number of its
// daemons.
func (gate *Gate) fleetUsage(now time.Time, domain map[uint32]total, daemons int) (sum map[uint32]total, all int) {
	sum, all = maps.Clone(domain), daemons
	for _, received := range gate.collected.domains {
		if received.fresh(now) {
			addTotals(sum, received.organisations)
			all += received.daemons
		}
	}
	return sum, all
}

func addTotals(sum, organisations map[uint32]total) {
	for organisation, more := range organisations {
		sum[organisation] = sum[organisation].plus(more)
	}
}

// newUsage returns a report of the organisations with the highest demand.
func (gate *Gate) newUsage(extent Extent, organisations map[uint32]total, daemons int) *Usage {
	usage := &Usage{Extent: extent, Domain: gate.options.FailureDomain, Daemons: daemons}
	minDemand := 0.0
	if extent == FleetUsage {
		minDemand = minDemandShare * float64(gate.capacity)
	}
	for organisation, sum := range organisations {
		if sum.demand < minDemand {
			usage.RestDemand = saturated(float64(usage.RestDemand) + sum.demand)
			continue
		}
		usage.Organisations = append(usage.Organisations, OrganisationReport{
			Organisation: organisation, Demand: saturated(sum.demand), Served: saturated(sum.served), CPULimited: sum.cpuLimited,
		})
	}
	slices.SortFunc(usage.Organisations, func(one, other OrganisationReport) int {
		return cmp.Or(cmp.Compare(other.Demand, one.Demand), cmp.Compare(one.Organisation, other.Organisation))
	})
	count := min(len(usage.Organisations), maxOrganisations)
	for _, small := range usage.Organisations[count:] {
		usage.RestDemand = saturated(float64(usage.RestDemand) + float64(small.Demand))
	}
	usage.Organisations = usage.Organisations[:count]
	return usage
}

// ReceiveUsage stores a peer's report of usage. It returns the sum of the fleet to answer with, nil if
// the peer does not lack it.
func (gate *Gate) ReceiveUsage(now time.Time, from berylspoke.VMID, usage Usage) *Usage {
	collected := &gate.collected
	received := receivedUsage{now, make(map[uint32]total, len(usage.Organisations)), float64(usage.RestDemand), usage.Daemons}
	for _, item := range usage.Organisations {
		received.organisations[item.Organisation] = item.total()
	}
	switch usage.Extent {
	case DaemonUsage:
		collected.daemons[from] = received
		if !usage.Lacking || !collected.collects {
			return nil
		}
		domain, daemons := gate.domainUsage(now)
		fleet, all := gate.fleetUsage(now, domain, daemons)
		if !gate.sumsUp(now, all) {
			return nil
		}
		return gate.newUsage(FleetUsage, fleet, all)
	case DomainUsage:
		if usage.Domain != gate.options.FailureDomain && received.supersedes(now, collected.domains[usage.Domain], gate.liveIn(usage.Domain)) {
			collected.domains[usage.Domain] = received
		}
	case FleetUsage:
		if received.supersedes(now, collected.fleet, gate.live) {
			collected.fleet = received
		}
	}
	return nil
}

// liveIn returns the number of live daemons in a failure domain.
func (gate *Gate) liveIn(domain berylspoke.FailureDomain) int {
	count := 0
	for _, other := range gate.domains {
		if other == domain {
			count++
		}
	}
	return count
}

// largeFleetOthers returns the usage at the other daemons of a large fleet. Without a
// recent sum of the fleet no organisation is limited to a share: only the queues at the
// targets bound what is admitted.
func (gate *Gate) largeFleetOthers(now time.Time) map[uint32]total {
	collected := &gate.collected
	gate.shares.restDemand, gate.shares.covered = 0, 0
	if collected.collects {
		domain, daemons := gate.domainUsage(now)
		if fleet, all := gate.fleetUsage(now, domain, daemons); gate.sumsUp(now, all) {
			gate.shares.covered = all
			return subtract(fleet, gate.ownUsage(now))
		}
	}
	if !collected.fleet.fresh(now) {
		return make(map[uint32]total)
	}
	gate.shares.restDemand, gate.shares.covered = collected.fleet.restDemand, collected.fleet.daemons
	return subtract(collected.fleet.organisations, collected.reportedOwn.organisations)
}

// subtract returns a sum without one part of it.
func subtract(sum, part map[uint32]total) map[uint32]total {
	difference := make(map[uint32]total, len(sum))
	for organisation, whole := range sum {
		subtracted := part[organisation]
		difference[organisation] = total{max(whole.demand-subtracted.demand, 0), max(whole.served-subtracted.served, 0), whole.cpuLimited}
	}
	return difference
}
