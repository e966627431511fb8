package berylpeer

// This file defines the encoding of messages: a kind byte followed by a CBOR array.

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
	kindDemand
	kindLease
	kindShareReports
	kindShareTotals
	kindPermitRequest
	kindPermitAnswer
	kindSettleRequest
	kindCloseRequest
	kindSettleAnswer
	kindFeedPull
	kindFeedDelta
	kindDaemonReport
	kindUsage
	// The number of a kind that earlier versions sent is not used again.
	_
	kindStreamsBegan
	kindOriginQuestion
	kindOriginAnswer
	kindCrashEvidence
	kindBuildInquiry
	kindBuildAccount
	// kindsEnd is one more than the last kind.
	kindsEnd
)

// kindNames maps each kind to its metric label.
var kindNames = map[kind]string{
	kindHeartbeat: "heartbeat", kindPullRequest: "pullRequest", kindPullAnswer: "pullAnswer",
	kindDemand: "ask", kindLease: "lease", kindShareReports: "reports", kindShareTotals: "totals",
	kindPermitRequest: "permitRequest", kindPermitAnswer: "permitAnswer",
	kindSettleRequest: "settleRequest", kindCloseRequest: "closeRequest", kindSettleAnswer: "settleAnswer",
	kindFeedPull: "pull", kindFeedDelta: "delta", kindDaemonReport: "report", kindUsage: "usage",
	kindCrashEvidence: "crashes", kindStreamsBegan: "streamsBegan", kindOriginQuestion: "originQuestion", kindOriginAnswer: "originAnswer",
	kindBuildInquiry: "buildInquiry", kindBuildAccount: "buildAccount",
}

// wireMessage is the encoded form of one kind of message.
type wireMessage interface {
	// message converts to the core's message. The sender's VM is taken from its
	// certificate.
	message(from berylspoke.VMID) berylspoke.Message
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Limits of decoded messages: a malformed length must not allocate without bound.
const (
	maxElements = 65_536
	maxNesting  = 8
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newWireMessage returns an empty wire message of each kind.
var newWireMessage = map[kind]func() wireMessage{
	kindHeartbeat:      func() wireMessage { return new(wireHeartbeat) },
	kindPullRequest:    func() wireMessage { return new(wirePullRequest) },
	kindPullAnswer:     func() wireMessage { return new(wirePullAnswer) },
	kindDemand:         func() wireMessage { return new(wireDemand) },
	kindLease:          func() wireMessage { return new(wireLease) },
	kindShareReports:   func() wireMessage { return new(wireShareReports) },
	kindShareTotals:    func() wireMessage { return new(wireShareTotals) },
	kindPermitRequest:  func() wireMessage { return new(wirePermitRequest) },
	kindPermitAnswer:   func() wireMessage { return new(wirePermitAnswer) },
	kindSettleRequest:  func() wireMessage { return new(wireSettleRequest) },
	kindCloseRequest:   func() wireMessage { return new(wireCloseRequest) },
	kindSettleAnswer:   func() wireMessage { return new(wireSettleAnswer) },
	kindFeedPull:       func() wireMessage { return new(wireFeedPull) },
	kindFeedDelta:      func() wireMessage { return new(wireFeedDelta) },
	kindDaemonReport:   func() wireMessage { return new(wireDaemonReport) },
	kindUsage:          func() wireMessage { return new(wireUsage) },
	kindCrashEvidence:  func() wireMessage { return new(wireCrashEvidence) },
	kindStreamsBegan:   func() wireMessage { return new(wireStreamsBegan) },
	kindOriginQuestion: func() wireMessage { return new(wireOriginQuestion) },
	kindOriginAnswer:   func() wireMessage { return new(wireOriginAnswer) },
	kindBuildInquiry:   func() wireMessage { return new(wireBuildInquiry) },
	kindBuildAccount:   func() wireMessage { return new(wireBuildAccount) },
}

// encode returns the kind byte and the CBOR encoding of a message.
func encode(message berylspoke.Message) ([]byte, error) {
	wire, kind := toWire(message)
	if wire == nil {
		return nil, errors.Errorf("message type %s has no wire encoding", reflect.TypeOf(message))
	}
	body, err := encMode.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "message cannot be encoded")
	}
	return append([]byte{byte(kind)}, body...), nil
}

// decode returns the messages of one datagram or stream, and calls count with the kind and the
// size of each. It stops at a malformed message, because the start of the next one is not known.
func decode(from berylspoke.VMID, packet []byte, count func(kind kind, size int)) ([]berylspoke.Message, error) {
	var messages []berylspoke.Message
	for len(packet) > 0 {
		newMessage, known := newWireMessage[kind(packet[0])]
		if !known {
			return messages, errors.Errorf("message kind %d is unknown", packet[0])
		}
		wire := newMessage()
		rest, err := decMode.UnmarshalFirst(packet[1:], wire)
		if err != nil {
			return messages, errors.Wrapf(err, "message of kind %d is malformed", packet[0])
		}
		messages = append(messages, wire.message(from))
		count(kind(packet[0]), len(packet)-len(rest))
		packet = rest
	}
	return messages, nil
}
