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
}

func (usage receivedUsage) fresh(now time.Time) bool { return now.Sub(usage.receivedAt) <= usageMaxAge }

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
	collected.due = now.Add(usageInterval)
	own := gate.ownUsage(now)
	collected.reportedOwn = receivedUsage{receivedAt: now, organisations: own}
	if !collects {
		return UsageReports{ToCollectors: gate.newUsage(DaemonUsage, own)}
	}
	domain := gate.domainUsage(now)
	return UsageReports{
		// The other collector of the domain sums up this daemon too.
		ToCollectors: gate.newUsage(DaemonUsage, own),
		ToDomains:    gate.newUsage(DomainUsage, domain),
		ToMembers:    gate.newUsage(FleetUsage, gate.fleetUsage(now, domain)),
	}
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

// domainUsage returns the sum over this daemon and those that reported to it.
func (gate *Gate) domainUsage(now time.Time) map[uint32]total {
	sum := gate.ownUsage(now)
	for vm, received := range gate.collected.daemons {
		if !received.fresh(now) {
			delete(gate.collected.daemons, vm)
			continue
		}
		addTotals(sum, received.organisations)
	}
	return sum
}

// fleetUsage returns the sum over all failure domains with a recent report.
func (gate *Gate) fleetUsage(now time.Time, domain map[uint32]total) map[uint32]total {
	sum := maps.Clone(domain)
	for _, received := range gate.collected.domains {
		if received.fresh(now) {
			addTotals(sum, received.organisations)
		}
	}
	return sum
}

func addTotals(sum, organisations map[uint32]total) {
	for organisation, more := range organisations {
		sum[organisation] = sum[organisation].plus(more)
	}
}

// newUsage returns a report of the organisations with the highest demand.
func (gate *Gate) newUsage(extent Extent, organisations map[uint32]total) *Usage {
	usage := &Usage{Extent: extent, Domain: gate.options.FailureDomain}
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

// ReceiveUsage stores a peer's report of usage.
func (gate *Gate) ReceiveUsage(now time.Time, from berylspoke.VMID, usage Usage) {
	received := receivedUsage{now, make(map[uint32]total, len(usage.Organisations)), float64(usage.RestDemand)}
	for _, item := range usage.Organisations {
		received.organisations[item.Organisation] = item.total()
	}
	switch usage.Extent {
	case DaemonUsage:
		gate.collected.daemons[from] = received
	case DomainUsage:
		if usage.Domain != gate.options.FailureDomain {
			gate.collected.domains[usage.Domain] = received
		}
	case FleetUsage:
		gate.collected.fleet = received
	}
}

// largeFleetOthers returns the usage at the other daemons of a large fleet. Without a
// recent sum of the fleet no organisation is limited to a share: only the queues at the
// targets bound what is admitted.
func (gate *Gate) largeFleetOthers(now time.Time) map[uint32]total {
	collected := &gate.collected
	gate.shares.restDemand = 0
	if collected.collects {
		own := gate.ownUsage(now)
		return subtract(gate.fleetUsage(now, gate.domainUsage(now)), own)
	}
	if !collected.fleet.fresh(now) {
		return make(map[uint32]total)
	}
	gate.shares.restDemand = collected.fleet.restDemand
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
