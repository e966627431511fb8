package berylpeer

// This file defines the encoding of messages: a kind and a CBOR array each.

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"berylspoke"
)

type kind uint8

const (
	kindHeartbeat kind = iota + 1
	kindPullRequest
	kindPullAnswer
	kindAsk
	kindLease
	kindReports
	kindTotals
	kindPermitRequest
	kindPermitAnswer
	kindSettleRequest
	kindCloseRequest
	kindSettleAnswer
	kindPull
	kindDelta
	kindReport
	kindUsage
	// kindsEnd is one beyond the last kind.
	kindsEnd
)

// kindNames are the kinds as metric labels.
var kindNames = map[kind]string{
	kindHeartbeat: "heartbeat", kindPullRequest: "pullRequest", kindPullAnswer: "pullAnswer",
	kindAsk: "ask", kindLease: "lease", kindReports: "reports", kindTotals: "totals",
	kindPermitRequest: "permitRequest", kindPermitAnswer: "permitAnswer",
	kindSettleRequest: "settleRequest", kindCloseRequest: "closeRequest", kindSettleAnswer: "settleAnswer",
	kindPull: "pull", kindDelta: "delta", kindReport: "report", kindUsage: "usage",
}

// wireMessage is the wire form of one kind of message.
type wireMessage interface {
	// message converts back; the sender's VM is known from its certificate.
	message(from berylspoke.VMID) berylspoke.Message
}

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

// Limits of decoded messages: a garbled length must not allocate without bound.
const (
	maxElements = 65_536
	maxNesting  = 8
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// wireKinds makes an empty wire form of each kind.
var wireKinds = map[kind]func() wireMessage{
	kindHeartbeat:     func() wireMessage { return new(wireHeartbeat) },
	kindPullRequest:   func() wireMessage { return new(wirePullRequest) },
	kindPullAnswer:    func() wireMessage { return new(wirePullAnswer) },
	kindAsk:           func() wireMessage { return new(wireAsk) },
	kindLease:         func() wireMessage { return new(wireLease) },
	kindReports:       func() wireMessage { return new(wireReports) },
	kindTotals:        func() wireMessage { return new(wireTotals) },
	kindPermitRequest: func() wireMessage { return new(wirePermitRequest) },
	kindPermitAnswer:  func() wireMessage { return new(wirePermitAnswer) },
	kindSettleRequest: func() wireMessage { return new(wireSettleRequest) },
	kindCloseRequest:  func() wireMessage { return new(wireCloseRequest) },
	kindSettleAnswer:  func() wireMessage { return new(wireSettleAnswer) },
	kindPull:          func() wireMessage { return new(wirePull) },
	kindDelta:         func() wireMessage { return new(wireDelta) },
	kindReport:        func() wireMessage { return new(wireDispatches) },
	kindUsage:         func() wireMessage { return new(wireUsage) },
}

// encode returns the wire form of a message.
func encode(message berylspoke.Message) ([]byte, error) {
	wire, kind := toWire(message)
	if wire == nil {
		return nil, errors.Errorf("message %s has no wire form", reflect.TypeOf(message))
	}
	body, err := encoding.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "message cannot be encoded")
	}
	return append([]byte{byte(kind)}, body...), nil
}

// decode returns the messages of one datagram or stream. A garbled message ends
// the packet: what follows it cannot be told apart.
func decode(from berylspoke.VMID, packet []byte) ([]berylspoke.Message, error) {
	var messages []berylspoke.Message
	for len(packet) > 0 {
		make, known := wireKinds[kind(packet[0])]
		if !known {
			return messages, errors.Errorf("kind %d is unknown", packet[0])
		}
		wire := make()
		rest, err := decoding.UnmarshalFirst(packet[1:], wire)
		if err != nil {
			return messages, errors.Wrapf(err, "kind %d is garbled", packet[0])
		}
		messages = append(messages, wire.message(from))
		packet = rest
	}
	return messages, nil
}
