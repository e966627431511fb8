package berylpeer

// This file defines the encoded forms of the messages that carry published items, and
// of the reports on targets and organisations.

import (
	"math"
	"time"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
)

type wirePosition struct {
	_             struct{} `cbor:",toarray"`
	Era, Revision uint64
}

func positionToWire(position berylspoke.Position) wirePosition {
	return wirePosition{Era: uint64(position.Era), Revision: uint64(position.Revision)}
}

func (wire wirePosition) position() berylspoke.Position {
	return berylspoke.Position{Era: berylspoke.Era(wire.Era), Revision: berylspoke.Revision(wire.Revision)}
}

func positionsToWire(positions []berylspoke.Position) []wirePosition {
	var wire []wirePosition
	for _, position := range positions {
		wire = append(wire, positionToWire(position))
	}
	return wire
}

func positionsFromWire(wire []wirePosition) []berylspoke.Position {
	var positions []berylspoke.Position
	for _, position := range wire {
		positions = append(positions, position.position())
	}
	return positions
}

type wireFeedPull struct {
	_     struct{} `cbor:",toarray"`
	Feed  uint8
	After wirePosition
}

func (wire *wireFeedPull) message(berylspoke.VMID) berylspoke.Message {
	return berylfeed.Pull{Feed: berylfeed.Name(wire.Feed), After: wire.After.position()}
}

type wireChange struct {
	_           struct{} `cbor:",toarray"`
	Key         string
	Value       []byte
	Position    wirePosition
	Deleted     bool
	GraceMillis uint32
	// WithheldMillis is how much longer the sender does not serve the item.
	WithheldMillis uint32
	Carried        bool
}

type wireFeedDelta struct {
	_       struct{} `cbor:",toarray"`
	Feed    uint8
	Full    bool
	After   wirePosition
	AsOf    wirePosition
	Changes []wireChange
}

func feedDeltaToWire(delta berylfeed.Delta) *wireFeedDelta {
	wire := &wireFeedDelta{Feed: uint8(delta.Feed), Full: delta.Full, After: positionToWire(delta.After), AsOf: positionToWire(delta.AsOf)}
	for _, change := range delta.Changes {
		wire.Changes = append(wire.Changes, wireChange{
			Key: change.Item.Key, Value: change.Item.Value, Position: positionToWire(change.Item.Position),
			Deleted: change.Item.Deleted, GraceMillis: uint32(change.Grace.Milliseconds()), WithheldMillis: millisToWire(change.Withheld), Carried: change.Carried,
		})
	}
	return wire
}

func (wire *wireFeedDelta) message(berylspoke.VMID) berylspoke.Message {
	delta := berylfeed.Delta{
		Feed: berylfeed.Name(wire.Feed), Full: wire.Full, After: wire.After.position(), AsOf: wire.AsOf.position(),
	}
	for _, change := range wire.Changes {
		delta.Changes = append(delta.Changes, berylfeed.Change{
			Item: berylspoke.Item{
				Key: change.Key, Value: change.Value, Position: change.Position.position(), Deleted: change.Deleted,
			},
			Grace: time.Duration(change.GraceMillis) * time.Millisecond, Withheld: time.Duration(change.WithheldMillis) * time.Millisecond, Carried: change.Carried,
		})
	}
	return delta
}

type wireTargetReport struct {
	_             struct{} `cbor:",toarray"`
	Target        uint32
	WorkMillis    uint64
	Running       int
	Tokens        int64
	PendingMillis uint32
}

type wireLoadReport struct {
	_                struct{} `cbor:",toarray"`
	Target           uint32
	Running, Waiting int
	AgeMillis        uint32
}

type wireSilenceReport struct {
	_                            struct{} `cbor:",toarray"`
	Target                       uint32
	SilentMillis, AnsweredMillis uint32
}

type wireLeavingReport struct {
	_                      struct{} `cbor:",toarray"`
	Target, Run, AgeMillis uint32
}

type wireWaitReport struct {
	_                     struct{} `cbor:",toarray"`
	Target                uint32
	WaitMillis, AgeMillis uint32
}

type wireOrganisationReport struct {
	_              struct{} `cbor:",toarray"`
	Organisation   uint32
	Demand, Served uint32
	CPULimited     bool
}

func organisationsToWire(reports []berylgate.OrganisationReport) []wireOrganisationReport {
	wire := make([]wireOrganisationReport, 0, len(reports))
	for _, item := range reports {
		wire = append(wire, wireOrganisationReport{Organisation: item.Organisation, Demand: item.Demand, Served: item.Served, CPULimited: item.CPULimited})
	}
	return wire
}

func organisationsFromWire(wire []wireOrganisationReport) []berylgate.OrganisationReport {
	var reports []berylgate.OrganisationReport
	for _, item := range wire {
		reports = append(reports, berylgate.OrganisationReport{
			Organisation: item.Organisation, Demand: item.Demand, Served: item.Served, CPULimited: item.CPULimited,
		})
	}
	return reports
}

type wireUsage struct {
	_             struct{} `cbor:",toarray"`
	Extent        uint8
	Domain        string
	Organisations []wireOrganisationReport
	OtherDemand   uint32
	Daemons       uint32
	Lacking       bool
}

func usageToWire(usage berylgate.Usage) *wireUsage {
	return &wireUsage{
		Extent: uint8(usage.Extent), Domain: string(usage.Domain),
		Organisations: organisationsToWire(usage.Organisations), OtherDemand: usage.RestDemand,
		Daemons: uint32(usage.Daemons), Lacking: usage.Lacking,
	}
}

func (wire *wireUsage) message(berylspoke.VMID) berylspoke.Message {
	return berylgate.Usage{
		Extent: berylgate.Extent(wire.Extent), Domain: berylspoke.FailureDomain(wire.Domain),
		Organisations: organisationsFromWire(wire.Organisations), RestDemand: wire.OtherDemand,
		Daemons: int(min(wire.Daemons, maxElements)), Lacking: wire.Lacking,
	}
}

type wireDaemonReport struct {
	_                struct{} `cbor:",toarray"`
	Incarnation      uint64
	FeedPositions    []wirePosition
	ContactAgeMillis uint32
	ContactID        uint64
	Targets          []wireTargetReport
	Loads            []wireLoadReport
	Organisations    []wireOrganisationReport
	Complete         []wirePosition
	Silences         []wireSilenceReport
	Waits            []wireWaitReport
	Leavings         []wireLeavingReport
	ConfigVersion    uint64
}

func daemonReportToWire(report berylgate.Report) *wireDaemonReport {
	wire := &wireDaemonReport{ConfigVersion: uint64(report.Version), Incarnation: uint64(report.Incarnation), ContactAgeMillis: uint32(report.Contact.Milliseconds()), ContactID: uint64(report.ContactID)}
	wire.FeedPositions, wire.Complete = positionsToWire(report.Feeds), positionsToWire(report.Complete)
	for _, item := range report.Targets {
		wire.Targets = append(wire.Targets, wireTargetReport{
			Target: item.Target, WorkMillis: item.WorkMillis, Running: item.Running, Tokens: int64(item.Tokens), PendingMillis: item.PendingMillis,
		})
	}
	for _, item := range report.Loads {
		wire.Loads = append(wire.Loads, wireLoadReport{
			Target: item.Target, Running: item.Running, Waiting: item.Waiting, AgeMillis: uint32(item.Age.Milliseconds()),
		})
	}
	for _, item := range report.Silences {
		wire.Silences = append(wire.Silences, wireSilenceReport{
			Target: item.Target, SilentMillis: millisToWire(item.Silent), AnsweredMillis: millisToWire(item.Answered),
		})
	}
	for _, item := range report.Waits {
		wire.Waits = append(wire.Waits, wireWaitReport{Target: item.Target, WaitMillis: millisToWire(item.Wait), AgeMillis: millisToWire(item.Age)})
	}
	for _, item := range report.Leavings {
		wire.Leavings = append(wire.Leavings, wireLeavingReport{Target: item.Target, Run: item.Run, AgeMillis: millisToWire(item.Age)})
	}
	wire.Organisations = organisationsToWire(report.Organisations)
	return wire
}

// millisToWire returns a duration in milliseconds, at most the largest that fits.
func millisToWire(duration time.Duration) uint32 {
	return uint32(min(max(duration.Milliseconds(), 0), math.MaxUint32))
}

func (wire *wireDaemonReport) message(berylspoke.VMID) berylspoke.Message {
	report := berylgate.Report{Version: berylspoke.ConfigVersion(wire.ConfigVersion), Incarnation: berylspoke.Incarnation(wire.Incarnation), Contact: time.Duration(wire.ContactAgeMillis) * time.Millisecond, ContactID: berylfeed.ContactID(wire.ContactID)}
	report.Feeds, report.Complete = positionsFromWire(wire.FeedPositions), positionsFromWire(wire.Complete)
	for _, item := range wire.Targets {
		report.Targets = append(report.Targets, berylgate.TargetReport{
			Target: item.Target, WorkMillis: item.WorkMillis, Running: count(item.Running), Tokens: min(max(berylspoke.Tokens(item.Tokens), 0), maxTokens), PendingMillis: item.PendingMillis,
		})
	}
	for _, item := range wire.Loads {
		report.Loads = append(report.Loads, berylgate.LoadReport{
			Target: item.Target, Running: count(item.Running), Waiting: count(item.Waiting),
			Age: time.Duration(item.AgeMillis) * time.Millisecond,
		})
	}
	for _, item := range wire.Silences {
		report.Silences = append(report.Silences, berylgate.SilenceReport{
			Target: item.Target, Silent: time.Duration(item.SilentMillis) * time.Millisecond, Answered: time.Duration(item.AnsweredMillis) * time.Millisecond,
		})
	}
	for _, item := range wire.Waits {
		report.Waits = append(report.Waits, berylgate.WaitReport{
			Target: item.Target, Wait: time.Duration(item.WaitMillis) * time.Millisecond, Age: time.Duration(item.AgeMillis) * time.Millisecond,
		})
	}
	for _, item := range wire.Leavings {
		report.Leavings = append(report.Leavings, berylgate.LeavingReport{
			Target: item.Target, Run: item.Run, Age: time.Duration(item.AgeMillis) * time.Millisecond,
		})
	}
	report.Organisations = organisationsFromWire(wire.Organisations)
	return report
}
