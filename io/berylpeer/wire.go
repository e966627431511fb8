package berylpeer

// This file defines the wire forms of the messages.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylmember"
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
		Domain: string(rumour.Place.FailureDomain), CallAddress: rumour.Place.CallAddress, Capacity: rumour.Place.Capacity,
	}
}

func (wire wireRumour) rumour() berylmember.Rumour {
	return berylmember.Rumour{
		Process: process(berylspoke.VMID(wire.VM), wire.Incarnation),
		Counter: wire.Counter, Status: min(berylmember.Status(wire.Status), berylmember.Dead), Leaving: wire.Leaving,
		Place: berylmember.Place{
			FailureDomain: berylspoke.FailureDomain(wire.Domain), CallAddress: wire.CallAddress, Capacity: wire.Capacity,
		},
	}
}

func process(vm berylspoke.VMID, incarnation uint64) berylspoke.Process {
	return berylspoke.Process{VM: vm, Incarnation: berylspoke.Incarnation(incarnation)}
}

type wireHeartbeat struct {
	_       struct{} `cbor:",toarray"`
	Self    wireRumour
	Number  uint64
	Serving bool
	Sync    bool
	Digest  uint64
	Rumours []wireRumour
}

func (wire *wireHeartbeat) message(from berylspoke.VMID) berylspoke.Message {
	beat := berylmember.Heartbeat{
		Self: wire.Self.rumour(), Number: berylspoke.EntryNumber(wire.Number),
		Serving: wire.Serving, Sync: wire.Sync, Digest: wire.Digest,
	}
	beat.Self.Process.VM = from
	for _, rumour := range wire.Rumours {
		beat.Rumours = append(beat.Rumours, rumour.rumour())
	}
	return beat
}

type wirePullRequest struct {
	_     struct{} `cbor:",toarray"`
	After uint64
}

func (wire *wirePullRequest) message(berylspoke.VMID) berylspoke.Message {
	return berylconfig.PullRequest{After: berylspoke.EntryNumber(wire.After)}
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
		Number: berylspoke.EntryNumber(wire.Number), Serving: wire.Serving, Snapshot: wire.Snapshot,
	}
	for _, entry := range wire.Entries {
		answer.Entries = append(answer.Entries, berylspoke.Published{
			Number: berylspoke.EntryNumber(entry.Number), Body: entry.Body,
		})
	}
	return answer
}

type wireHold struct {
	_          struct{} `cbor:",toarray"`
	Target     string
	Held, Used int
	PaceMicros int64
}

type wireAsk struct {
	_                 struct{} `cbor:",toarray"`
	Incarnation       uint64
	Service           string
	Sequence, Applied uint32
	Waiting           int
	Time, Started     int64
	// Tags are differences, each to the one before and the first to Time.
	Tags  []int64
	Holds []wireHold
}

func askToWire(ask berylslot.Ask) *wireAsk {
	wire := &wireAsk{
		Incarnation: uint64(ask.From.Incarnation), Service: string(ask.Service),
		Sequence: ask.Sequence, Applied: ask.Applied, Waiting: ask.Waiting,
		Time: int64(ask.Time), Started: int64(ask.Started - ask.Time),
	}
	last := ask.Time
	for _, tag := range ask.Tags {
		wire.Tags = append(wire.Tags, int64(tag-last))
		last = tag
	}
	for _, hold := range ask.Holds {
		wire.Holds = append(wire.Holds, wireHold{
			Target: string(hold.Target), Held: hold.Held, Used: hold.Used, PaceMicros: hold.Pace.Microseconds(),
		})
	}
	return wire
}

func (wire *wireAsk) message(from berylspoke.VMID) berylspoke.Message {
	ask := berylslot.Ask{
		From: process(from, wire.Incarnation), Service: berylspoke.ServiceID(wire.Service),
		Sequence: wire.Sequence, Applied: wire.Applied, Waiting: max(wire.Waiting, 0),
		Time: berylspoke.Tag(wire.Time), Started: berylspoke.Tag(wire.Time + wire.Started),
	}
	last := ask.Time
	for _, difference := range wire.Tags {
		last += berylspoke.Tag(difference)
		ask.Tags = append(ask.Tags, last)
	}
	for _, hold := range wire.Holds {
		ask.Holds = append(ask.Holds, berylslot.Hold{
			Target: berylspoke.TargetID(hold.Target), Held: max(hold.Held, 0), Used: max(hold.Used, 0),
			Pace: time.Duration(hold.PaceMicros) * time.Microsecond,
		})
	}
	return ask
}

type wireGrant struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Slots  int
}

type wireLease struct {
	_                 struct{} `cbor:",toarray"`
	Incarnation       uint64
	Service           string
	Sequence, Answers uint32
	Contended         bool
	Threshold, Time   int64
	Grants            []wireGrant
}

func leaseToWire(lease berylslot.Lease) *wireLease {
	wire := &wireLease{
		Incarnation: uint64(lease.From.Incarnation), Service: string(lease.Service),
		Sequence: lease.Sequence, Answers: lease.Answers, Contended: lease.Contended,
		Threshold: int64(lease.Threshold), Time: int64(lease.Time),
	}
	for _, grant := range lease.Grants {
		wire.Grants = append(wire.Grants, wireGrant{Target: string(grant.Target), Slots: grant.Slots})
	}
	return wire
}

func (wire *wireLease) message(from berylspoke.VMID) berylspoke.Message {
	lease := berylslot.Lease{
		From: process(from, wire.Incarnation), Service: berylspoke.ServiceID(wire.Service),
		Sequence: wire.Sequence, Answers: wire.Answers, Contended: wire.Contended,
		Threshold: berylspoke.Tag(wire.Threshold), Time: berylspoke.Tag(wire.Time),
	}
	for _, grant := range wire.Grants {
		lease.Grants = append(lease.Grants, berylslot.Grant{Target: berylspoke.TargetID(grant.Target), Slots: max(grant.Slots, 0)})
	}
	return lease
}

type wireReport struct {
	_                     struct{} `cbor:",toarray"`
	Service, Organisation string
	Life, Sequence        uint32
	Weight                int64
	// Acknowledged and Floor are differences to Counter and Base.
	Counter, Acknowledged int64
	Base, Floor           int64
}

type wireReports struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Reports     []wireReport
}

func reportsToWire(reports berylshare.Reports) *wireReports {
	wire := &wireReports{Incarnation: uint64(reports.From.Incarnation)}
	for _, report := range reports.Reports {
		wire.Reports = append(wire.Reports, wireReport{
			Service: string(report.Service), Organisation: string(report.Organisation),
			Life: report.Life, Sequence: report.Sequence, Weight: int64(report.Weight),
			Counter: int64(report.Counter), Acknowledged: int64(report.Counter - report.Acknowledged),
			Base: int64(report.Base), Floor: int64(report.Base - report.Floor),
		})
	}
	return wire
}

func (wire *wireReports) message(from berylspoke.VMID) berylspoke.Message {
	reports := berylshare.Reports{From: process(from, wire.Incarnation)}
	for _, report := range wire.Reports {
		reports.Reports = append(reports.Reports, berylshare.Report{
			Service: berylspoke.ServiceID(report.Service), Organisation: berylspoke.OrganisationID(report.Organisation),
			Life: report.Life, Sequence: report.Sequence, Weight: berylspoke.Weight(report.Weight),
			Counter: berylspoke.Tokens(report.Counter), Acknowledged: berylspoke.Tokens(report.Counter - report.Acknowledged),
			Base: berylspoke.Tag(report.Base), Floor: berylspoke.Tag(report.Base - report.Floor),
		})
	}
	return reports
}

type wireTotal struct {
	_                     struct{} `cbor:",toarray"`
	Service, Organisation string
	Counter, Tag          int64
}

type wireTotals struct {
	_      struct{} `cbor:",toarray"`
	Totals []wireTotal
}

func totalsToWire(totals berylshare.Totals) *wireTotals {
	wire := new(wireTotals)
	for _, total := range totals.Totals {
		wire.Totals = append(wire.Totals, wireTotal{
			Service: string(total.Service), Organisation: string(total.Organisation),
			Counter: int64(total.Counter), Tag: int64(total.Tag),
		})
	}
	return wire
}

func (wire *wireTotals) message(berylspoke.VMID) berylspoke.Message {
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
	Standing  uint8
	ByWitness bool
}

func (wire *wireSettleAnswer) message(berylspoke.VMID) berylspoke.Message {
	return berylticket.SettleAnswer{
		ID: wire.ID.id(), Token: wire.Token,
		Standing: min(berylticket.Standing(wire.Standing), berylticket.StandsMayHaveRun), ByWitness: wire.ByWitness,
	}
}

// toWire returns the wire form and the kind of a message, or nil.
func toWire(message berylspoke.Message) (wireMessage, kind) {
	switch message := message.(type) {
	case berylmember.Heartbeat:
		wire := &wireHeartbeat{
			Self: rumourToWire(message.Self), Number: uint64(message.Number),
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
		return &wirePull{Feed: uint8(message.Feed), After: uint64(message.After)}, kindPull
	case berylfeed.Delta:
		return deltaToWire(message), kindDelta
	case berylgate.Report:
		return dispatchesToWire(message), kindReport
	case berylgate.Usage:
		return usageToWire(message), kindUsage
	case berylslot.Ask:
		return askToWire(message), kindAsk
	case berylslot.Lease:
		return leaseToWire(message), kindLease
	case berylshare.Reports:
		return reportsToWire(message), kindReports
	case berylshare.Totals:
		return totalsToWire(message), kindTotals
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
			Standing: uint8(message.Standing), ByWitness: message.ByWitness,
		}, kindSettleAnswer
	}
	return nil, 0
}
