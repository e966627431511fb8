package berylpeer

// This file defines the wire forms of what daemons tell each other of the
// published items and of their dispatches.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
)

type wirePull struct {
	_     struct{} `cbor:",toarray"`
	Feed  uint8
	After uint64
}

func (wire *wirePull) message(berylspoke.VMID) berylspoke.Message {
	return berylfeed.Pull{Feed: berylfeed.Name(wire.Feed), After: berylspoke.Revision(wire.After)}
}

type wireChange struct {
	_           struct{} `cbor:",toarray"`
	Key         string
	Value       []byte
	Revision    uint64
	Deleted     bool
	GraceMillis uint32
}

type wireDelta struct {
	_       struct{} `cbor:",toarray"`
	Feed    uint8
	Full    bool
	After   uint64
	AsOf    uint64
	Changes []wireChange
}

func deltaToWire(delta berylfeed.Delta) *wireDelta {
	wire := &wireDelta{Feed: uint8(delta.Feed), Full: delta.Full, After: uint64(delta.After), AsOf: uint64(delta.AsOf)}
	for _, change := range delta.Changes {
		wire.Changes = append(wire.Changes, wireChange{
			Key: change.Item.Key, Value: change.Item.Value, Revision: uint64(change.Item.Revision),
			Deleted: change.Item.Deleted, GraceMillis: uint32(change.Grace.Milliseconds()),
		})
	}
	return wire
}

func (wire *wireDelta) message(berylspoke.VMID) berylspoke.Message {
	delta := berylfeed.Delta{
		Feed: berylfeed.Name(wire.Feed), Full: wire.Full, After: berylspoke.Revision(wire.After), AsOf: berylspoke.Revision(wire.AsOf),
	}
	for _, change := range wire.Changes {
		delta.Changes = append(delta.Changes, berylfeed.Change{
			Item: berylspoke.Item{
				Key: change.Key, Value: change.Value, Revision: berylspoke.Revision(change.Revision), Deleted: change.Deleted,
			},
			Grace: time.Duration(change.GraceMillis) * time.Millisecond,
		})
	}
	return delta
}

type wireTargetReport struct {
	_       struct{} `cbor:",toarray"`
	Target  uint32
	Work    uint64
	Running int
	Tokens  int64
	Pending uint32
}

type wireLoadReport struct {
	_                struct{} `cbor:",toarray"`
	Target           uint32
	Running, Waiting int
	AgeMillis        uint32
}

type wireOrganisationReport struct {
	_            struct{} `cbor:",toarray"`
	Organisation uint32
	Asked, Given uint32
	Short        bool
}

func organisationsToWire(reports []berylgate.OrganisationReport) []wireOrganisationReport {
	wire := make([]wireOrganisationReport, 0, len(reports))
	for _, item := range reports {
		wire = append(wire, wireOrganisationReport{Organisation: item.Organisation, Asked: item.Asked, Given: item.Given, Short: item.Short})
	}
	return wire
}

func organisationsFromWire(wire []wireOrganisationReport) []berylgate.OrganisationReport {
	var reports []berylgate.OrganisationReport
	for _, item := range wire {
		reports = append(reports, berylgate.OrganisationReport{
			Organisation: item.Organisation, Asked: item.Asked, Given: item.Given, Short: item.Short,
		})
	}
	return reports
}

type wireUsage struct {
	_             struct{} `cbor:",toarray"`
	Extent        uint8
	Domain        string
	Organisations []wireOrganisationReport
	Rest          uint32
}

func usageToWire(usage berylgate.Usage) *wireUsage {
	return &wireUsage{
		Extent: uint8(usage.Extent), Domain: string(usage.Domain),
		Organisations: organisationsToWire(usage.Organisations), Rest: usage.Rest,
	}
}

func (wire *wireUsage) message(berylspoke.VMID) berylspoke.Message {
	return berylgate.Usage{
		Extent: berylgate.Extent(wire.Extent), Domain: berylspoke.FailureDomain(wire.Domain),
		Organisations: organisationsFromWire(wire.Organisations), Rest: wire.Rest,
	}
}

type wireDispatches struct {
	_             struct{} `cbor:",toarray"`
	Incarnation   uint64
	Feeds         []uint64
	ContactMillis uint32
	ContactID     uint64
	Targets       []wireTargetReport
	Loads         []wireLoadReport
	Organisations []wireOrganisationReport
}

func dispatchesToWire(report berylgate.Report) *wireDispatches {
	wire := &wireDispatches{Incarnation: uint64(report.Incarnation), ContactMillis: uint32(report.Contact.Milliseconds()), ContactID: uint64(report.ContactID)}
	for _, revision := range report.Feeds {
		wire.Feeds = append(wire.Feeds, uint64(revision))
	}
	for _, item := range report.Targets {
		wire.Targets = append(wire.Targets, wireTargetReport{
			Target: item.Target, Work: item.Work, Running: item.Running, Tokens: int64(item.Tokens), Pending: item.Pending,
		})
	}
	for _, item := range report.Loads {
		wire.Loads = append(wire.Loads, wireLoadReport{
			Target: item.Target, Running: item.Running, Waiting: item.Waiting, AgeMillis: uint32(item.Age.Milliseconds()),
		})
	}
	wire.Organisations = organisationsToWire(report.Organisations)
	return wire
}

func (wire *wireDispatches) message(berylspoke.VMID) berylspoke.Message {
	report := berylgate.Report{Incarnation: berylspoke.Incarnation(wire.Incarnation), Contact: time.Duration(wire.ContactMillis) * time.Millisecond, ContactID: berylfeed.ContactID(wire.ContactID)}
	for _, revision := range wire.Feeds {
		report.Feeds = append(report.Feeds, berylspoke.Revision(revision))
	}
	for _, item := range wire.Targets {
		report.Targets = append(report.Targets, berylgate.TargetReport{
			Target: item.Target, Work: item.Work, Running: item.Running, Tokens: berylspoke.Tokens(item.Tokens), Pending: item.Pending,
		})
	}
	for _, item := range wire.Loads {
		report.Loads = append(report.Loads, berylgate.LoadReport{
			Target: item.Target, Running: item.Running, Waiting: item.Waiting,
			Age: time.Duration(item.AgeMillis) * time.Millisecond,
		})
	}
	report.Organisations = organisationsFromWire(wire.Organisations)
	return report
}
