package berylpeer

// This file defines the encoded forms of the messages and their conversions.

import (
	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylmember"
	"berylspoke/core/berylorigin"
	"berylspoke/core/berylquarantine"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylslot"
	"berylspoke/core/berylticket"
)

type wireRumour struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
	Counter     uint32
	Status      uint8
	Leaving     bool
	Domain      string
	CallAddress string
	Capacity    uint16
}

func rumourToWire(rumour berylmember.Rumour) wireRumour {
	return wireRumour{
		VM: string(rumour.Process.VM), Incarnation: uint64(rumour.Process.Incarnation),
		Counter: rumour.Counter, Status: uint8(rumour.Status), Leaving: rumour.Leaving,
		Domain: string(rumour.Attributes.FailureDomain), CallAddress: rumour.Attributes.CallAddress, Capacity: rumour.Attributes.Capacity,
	}
}

func (wire wireRumour) rumour() berylmember.Rumour {
	return berylmember.Rumour{
		Process: process(berylspoke.VMID(wire.VM), wire.Incarnation),
		Counter: wire.Counter, Status: min(berylmember.Status(wire.Status), berylmember.Dead), Leaving: wire.Leaving,
		Attributes: berylmember.Attributes{
			FailureDomain: berylspoke.FailureDomain(wire.Domain), CallAddress: wire.CallAddress, Capacity: wire.Capacity,
		},
	}
}

func process(vm berylspoke.VMID, incarnation uint64) berylspoke.Process {
	return berylspoke.Process{VM: vm, Incarnation: berylspoke.Incarnation(incarnation)}
}

type wireHeartbeat struct {
	_            struct{} `cbor:",toarray"`
	Self         wireRumour
	ConfigNumber uint64
	Serving      bool
	Sync         bool
	Digest       uint64
	Rumours      []wireRumour
}

func (wire *wireHeartbeat) message(from berylspoke.VMID) berylspoke.Message {
	heartbeat := berylmember.Heartbeat{
		Self: wire.Self.rumour(), ConfigNumber: berylspoke.PatchNumber(wire.ConfigNumber),
		Serving: wire.Serving, Sync: wire.Sync, Digest: wire.Digest,
	}
	heartbeat.Self.Process.VM = from
	for _, rumour := range wire.Rumours {
		heartbeat.Rumours = append(heartbeat.Rumours, rumour.rumour())
	}
	return heartbeat
}

type wirePullRequest struct {
	_     struct{} `cbor:",toarray"`
	After uint64
}

func (wire *wirePullRequest) message(berylspoke.VMID) berylspoke.Message {
	return berylconfig.PullRequest{After: berylspoke.PatchNumber(wire.After)}
}

type wireEntry struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Body   []byte
}

type wirePullAnswer struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Serving  bool
	Entries  []wireEntry
	Snapshot []byte
}

func (wire *wirePullAnswer) message(berylspoke.VMID) berylspoke.Message {
	answer := berylconfig.PullAnswer{
		Number: berylspoke.PatchNumber(wire.Number), Serving: wire.Serving, Snapshot: wire.Snapshot,
	}
	for _, entry := range wire.Entries {
		answer.Entries = append(answer.Entries, berylspoke.Published{
			Number: berylspoke.PatchNumber(entry.Number), Body: entry.Body,
		})
	}
	return answer
}

type wireHolding struct {
	_                   struct{} `cbor:",toarray"`
	Target              string
	Held, Used          int
	TokenIntervalMicros int64
}

type wireDemand struct {
	_                       struct{} `cbor:",toarray"`
	Incarnation             uint64
	Service                 string
	Sequence, Applied       uint32
	Waiting                 int
	VirtualTime, MaxStarted int64
	// MaxStarted is encoded as the difference from VirtualTime, each of Tags as the
	// difference from the tag before it, and the first from VirtualTime.
	Tags     []int64
	Holdings []wireHolding
}

func demandToWire(demand berylslot.Demand) *wireDemand {
	wire := &wireDemand{
		Incarnation: uint64(demand.From.Incarnation), Service: string(demand.Service),
		Sequence: demand.Sequence, Applied: demand.Applied, Waiting: demand.Waiting,
		VirtualTime: int64(demand.VirtualTime), MaxStarted: int64(demand.MaxStarted - demand.VirtualTime),
	}
	last := demand.VirtualTime
	for _, tag := range demand.Tags {
		wire.Tags = append(wire.Tags, int64(tag-last))
		last = tag
	}
	for _, holding := range demand.Holdings {
		wire.Holdings = append(wire.Holdings, wireHolding{
			Target: string(holding.Target), Held: holding.Held, Used: holding.Used, TokenIntervalMicros: holding.TokenInterval.Microseconds(),
		})
	}
	return wire
}

func (wire *wireDemand) message(from berylspoke.VMID) berylspoke.Message {
	demand := berylslot.Demand{
		From: process(from, wire.Incarnation), Service: berylspoke.ServiceID(wire.Service),
		Sequence: wire.Sequence, Applied: wire.Applied, Waiting: count(wire.Waiting),
		VirtualTime: berylspoke.Tag(wire.VirtualTime), MaxStarted: berylspoke.Tag(wire.VirtualTime + wire.MaxStarted),
	}
	last := demand.VirtualTime
	for _, difference := range wire.Tags {
		last += berylspoke.Tag(difference)
		demand.Tags = append(demand.Tags, last)
	}
	for _, holding := range wire.Holdings {
		demand.Holdings = append(demand.Holdings, berylslot.Holding{
			Target: berylspoke.TargetID(holding.Target), Held: count(holding.Held), Used: count(holding.Used),
			TokenInterval: microseconds(uint64(max(holding.TokenIntervalMicros, 0))),
		})
	}
	return demand
}

type wireGrant struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Slots  int
}

type wireLease struct {
	_                      struct{} `cbor:",toarray"`
	Incarnation            uint64
	Service                string
	Sequence, Acknowledged uint32
	Contended              bool
	Threshold, VirtualTime int64
	Grants                 []wireGrant
}

func leaseToWire(lease berylslot.Lease) *wireLease {
	wire := &wireLease{
		Incarnation: uint64(lease.From.Incarnation), Service: string(lease.Service),
		Sequence: lease.Sequence, Acknowledged: lease.Acknowledged, Contended: lease.Contended,
		Threshold: int64(lease.Threshold), VirtualTime: int64(lease.VirtualTime),
	}
	for _, grant := range lease.Grants {
		wire.Grants = append(wire.Grants, wireGrant{Target: string(grant.Target), Slots: grant.Slots})
	}
	return wire
}

func (wire *wireLease) message(from berylspoke.VMID) berylspoke.Message {
	lease := berylslot.Lease{
		From: process(from, wire.Incarnation), Service: berylspoke.ServiceID(wire.Service),
		Sequence: wire.Sequence, Acknowledged: wire.Acknowledged, Contended: wire.Contended,
		Threshold: berylspoke.Tag(wire.Threshold), VirtualTime: berylspoke.Tag(wire.VirtualTime),
	}
	for _, grant := range wire.Grants {
		lease.Grants = append(lease.Grants, berylslot.Grant{Target: berylspoke.TargetID(grant.Target), Slots: count(grant.Slots)})
	}
	return lease
}

type wireShareReport struct {
	_                     struct{} `cbor:",toarray"`
	Service, Organisation string
	Generation, Sequence  uint32
	Weight                int64
	// Acknowledged is encoded as Counter minus its value, Floor as Base minus its value.
	Counter, Acknowledged int64
	Base, Floor           int64
}

type wireShareReports struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Reports     []wireShareReport
}

func shareReportsToWire(reports berylshare.Reports) *wireShareReports {
	wire := &wireShareReports{Incarnation: uint64(reports.From.Incarnation)}
	for _, report := range reports.Reports {
		wire.Reports = append(wire.Reports, wireShareReport{
			Service: string(report.Service), Organisation: string(report.Organisation),
			Generation: report.Generation, Sequence: report.Sequence, Weight: int64(report.Weight),
			Counter: int64(report.Counter), Acknowledged: int64(report.Counter - report.Acknowledged),
			Base: int64(report.Base), Floor: int64(report.Base - report.Floor),
		})
	}
	return wire
}

func (wire *wireShareReports) message(from berylspoke.VMID) berylspoke.Message {
	reports := berylshare.Reports{From: process(from, wire.Incarnation)}
	for _, report := range wire.Reports {
		reports.Reports = append(reports.Reports, berylshare.Report{
			Service: berylspoke.ServiceID(report.Service), Organisation: berylspoke.OrganisationID(report.Organisation),
			Generation: report.Generation, Sequence: report.Sequence, Weight: berylspoke.Weight(report.Weight),
			Counter: berylspoke.Tokens(report.Counter), Acknowledged: berylspoke.Tokens(report.Counter - report.Acknowledged),
			Base: berylspoke.Tag(report.Base), Floor: berylspoke.Tag(report.Base - report.Floor),
		})
	}
	return reports
}

type wireShareTotal struct {
	_                     struct{} `cbor:",toarray"`
	Service, Organisation string
	Counter, Tag          int64
}

type wireShareTotals struct {
	_      struct{} `cbor:",toarray"`
	Totals []wireShareTotal
}

func shareTotalsToWire(totals berylshare.Totals) *wireShareTotals {
	wire := new(wireShareTotals)
	for _, total := range totals.Totals {
		wire.Totals = append(wire.Totals, wireShareTotal{
			Service: string(total.Service), Organisation: string(total.Organisation),
			Counter: int64(total.Counter), Tag: int64(total.Tag),
		})
	}
	return wire
}

func (wire *wireShareTotals) message(berylspoke.VMID) berylspoke.Message {
	totals := berylshare.Totals{}
	for _, total := range wire.Totals {
		totals.Totals = append(totals.Totals, berylshare.Total{
			Service: berylspoke.ServiceID(total.Service), Organisation: berylspoke.OrganisationID(total.Organisation),
			Counter: berylspoke.Tokens(total.Counter), Tag: berylspoke.Tag(total.Tag),
		})
	}
	return totals
}

type wireCallID struct {
	_                  struct{} `cbor:",toarray"`
	OwnerVM            string
	OwnerIncarnation   uint64
	WitnessVM          string
	WitnessIncarnation uint64
	Serial             uint64
	Number             uint32
}

func callToWire(id berylticket.CallID) wireCallID {
	return wireCallID{
		OwnerVM: string(id.Ticket.Owner.VM), OwnerIncarnation: uint64(id.Ticket.Owner.Incarnation),
		WitnessVM: string(id.Ticket.Witness.VM), WitnessIncarnation: uint64(id.Ticket.Witness.Incarnation),
		Serial: id.Ticket.Serial, Number: id.Number,
	}
}

func (wire wireCallID) id() berylticket.CallID {
	return berylticket.CallID{
		Ticket: berylticket.Ticket{
			Owner:   process(berylspoke.VMID(wire.OwnerVM), wire.OwnerIncarnation),
			Witness: process(berylspoke.VMID(wire.WitnessVM), wire.WitnessIncarnation),
			Serial:  wire.Serial,
		},
		Number: wire.Number,
	}
}

type wirePermitRequest struct {
	_  struct{} `cbor:",toarray"`
	ID wireCallID
}

func (wire *wirePermitRequest) message(berylspoke.VMID) berylspoke.Message {
	return berylticket.PermitRequest{ID: wire.ID.id()}
}

type wirePermitAnswer struct {
	_       struct{} `cbor:",toarray"`
	ID      wireCallID
	Granted bool
}

func (wire *wirePermitAnswer) message(berylspoke.VMID) berylspoke.Message {
	return berylticket.PermitAnswer{ID: wire.ID.id(), Granted: wire.Granted}
}

type wireSettleRequest struct {
	_     struct{} `cbor:",toarray"`
	ID    wireCallID
	Token uint64
}

func (wire *wireSettleRequest) message(berylspoke.VMID) berylspoke.Message {
	return berylticket.SettleRequest{ID: wire.ID.id(), Token: wire.Token}
}

type wireCloseRequest struct {
	_     struct{} `cbor:",toarray"`
	ID    wireCallID
	Token uint64
}

func (wire *wireCloseRequest) message(berylspoke.VMID) berylspoke.Message {
	return berylticket.CloseRequest{ID: wire.ID.id(), Token: wire.Token}
}

type wireSettleAnswer struct {
	_         struct{} `cbor:",toarray"`
	ID        wireCallID
	Token     uint64
	Status    uint8
	ByWitness bool
}

func (wire *wireSettleAnswer) message(berylspoke.VMID) berylspoke.Message {
	return berylticket.SettleAnswer{
		ID: wire.ID.id(), Token: wire.Token,
		Status: min(berylticket.Status(wire.Status), berylticket.StatusMayHaveRun), ByWitness: wire.ByWitness,
	}
}

// toWire returns the encoded form of a message and its kind, or nil for an unknown type.
func toWire(message berylspoke.Message) (wireMessage, kind) {
	switch message := message.(type) {
	case berylmember.Heartbeat:
		wire := &wireHeartbeat{
			Self: rumourToWire(message.Self), ConfigNumber: uint64(message.ConfigNumber),
			Serving: message.Serving, Sync: message.Sync, Digest: message.Digest,
		}
		for _, rumour := range message.Rumours {
			wire.Rumours = append(wire.Rumours, rumourToWire(rumour))
		}
		return wire, kindHeartbeat
	case berylconfig.PullRequest:
		return &wirePullRequest{After: uint64(message.After)}, kindPullRequest
	case berylconfig.PullAnswer:
		wire := &wirePullAnswer{Number: uint64(message.Number), Serving: message.Serving, Snapshot: message.Snapshot}
		for _, entry := range message.Entries {
			wire.Entries = append(wire.Entries, wireEntry{Number: uint64(entry.Number), Body: entry.Body})
		}
		return wire, kindPullAnswer
	case berylfeed.Pull:
		return &wireFeedPull{Feed: uint8(message.Feed), After: positionToWire(message.After)}, kindFeedPull
	case berylfeed.Delta:
		return feedDeltaToWire(message), kindFeedDelta
	case berylgate.Report:
		return daemonReportToWire(message), kindDaemonReport
	case berylgate.Usage:
		return usageToWire(message), kindUsage
	case berylorigin.Inquiry:
		return &wireBuildInquiry{Number: message.Number}, kindBuildInquiry
	case berylorigin.Account:
		return buildAccountToWire(message), kindBuildAccount
	case berylorigin.Began:
		return streamsBeganToWire(message), kindStreamsBegan
	case berylorigin.Question:
		return &wireOriginQuestion{Key: message.Key[:], Service: string(message.Service)}, kindOriginQuestion
	case berylorigin.Answer:
		return &wireOriginAnswer{Key: message.Key[:], Known: message.Known, Only: message.Only, Build: uint64(message.Build)}, kindOriginAnswer
	case berylquarantine.Notices:
		return crashEvidenceToWire(message), kindCrashEvidence
	case berylslot.Demand:
		return demandToWire(message), kindDemand
	case berylslot.Lease:
		return leaseToWire(message), kindLease
	case berylshare.Reports:
		return shareReportsToWire(message), kindShareReports
	case berylshare.Totals:
		return shareTotalsToWire(message), kindShareTotals
	case berylticket.PermitRequest:
		return &wirePermitRequest{ID: callToWire(message.ID)}, kindPermitRequest
	case berylticket.PermitAnswer:
		return &wirePermitAnswer{ID: callToWire(message.ID), Granted: message.Granted}, kindPermitAnswer
	case berylticket.SettleRequest:
		return &wireSettleRequest{ID: callToWire(message.ID), Token: message.Token}, kindSettleRequest
	case berylticket.CloseRequest:
		return &wireCloseRequest{ID: callToWire(message.ID), Token: message.Token}, kindCloseRequest
	case berylticket.SettleAnswer:
		return &wireSettleAnswer{
			ID: callToWire(message.ID), Token: message.Token,
			Status: uint8(message.Status), ByWitness: message.ByWitness,
		}, kindSettleAnswer
	}
	return nil, 0
}
