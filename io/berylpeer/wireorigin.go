package berylpeer

// This file defines the encoded forms of the messages on the origins of streams.

import (
	"math"
	"time"

	"berylspoke"
	"berylspoke/core/berylorigin"
)

type wireStreamRecord struct {
	_     struct{} `cbor:",toarray"`
	Key   []byte
	Build uint64
}

type wireStreamsBegan struct {
	_    struct{} `cbor:",toarray"`
	List []wireStreamRecord
}

func streamsBeganToWire(began berylorigin.Began) *wireStreamsBegan {
	wire := new(wireStreamsBegan)
	for _, record := range began.Records {
		wire.List = append(wire.List, wireStreamRecord{Key: record.Key[:], Build: uint64(record.Build)})
	}
	return wire
}

func (wire *wireStreamsBegan) message(berylspoke.VMID) berylspoke.Message {
	var began berylorigin.Began
	for _, item := range wire.List {
		if key, valid := streamKey(item.Key); valid {
			began.Records = append(began.Records, berylorigin.Record{Key: key, Build: berylspoke.Build(item.Build)})
		}
	}
	return began
}

type wireOriginQuestion struct {
	_       struct{} `cbor:",toarray"`
	Key     []byte
	Service string
}

func (wire *wireOriginQuestion) message(berylspoke.VMID) berylspoke.Message {
	key, _ := streamKey(wire.Key)
	return berylorigin.Question{Key: key, Service: berylspoke.ServiceID(wire.Service)}
}

type wireOriginAnswer struct {
	_           struct{} `cbor:",toarray"`
	Key         []byte
	Known, Only bool
	Build       uint64
}

func (wire *wireOriginAnswer) message(berylspoke.VMID) berylspoke.Message {
	key, valid := streamKey(wire.Key)
	return berylorigin.Answer{Key: key, Known: wire.Known && valid, Only: wire.Only && valid, Build: berylspoke.Build(wire.Build)}
}

type wireBuildInquiry struct {
	_      struct{} `cbor:",toarray"`
	Number uint32
}

func (wire *wireBuildInquiry) message(berylspoke.VMID) berylspoke.Message {
	return berylorigin.Inquiry{Number: wire.Number}
}

type wireGoneBuild struct {
	_                struct{} `cbor:",toarray"`
	Service, Version string
	Build            uint64
	AgeMicros        uint64
}

type wireBuildAccount struct {
	_                        struct{} `cbor:",toarray"`
	Number                   uint32
	AgeMicros, GaplessMicros uint64
	Unbounded                bool
	Gone                     []wireGoneBuild
}

func buildAccountToWire(account berylorigin.Account) *wireBuildAccount {
	wire := &wireBuildAccount{
		Number: account.Number, AgeMicros: uint64(max(account.Age, 0).Microseconds()),
		GaplessMicros: uint64(max(account.Gapless, 0).Microseconds()), Unbounded: account.Unbounded,
	}
	for _, gone := range account.Gone {
		wire.Gone = append(wire.Gone, wireGoneBuild{
			Service: string(gone.Service), Version: string(gone.Version), Build: uint64(gone.Build), AgeMicros: uint64(max(gone.Age, 0).Microseconds()),
		})
	}
	return wire
}

func (wire *wireBuildAccount) message(berylspoke.VMID) berylspoke.Message {
	account := berylorigin.Account{Number: wire.Number, Age: microseconds(wire.AgeMicros), Gapless: microseconds(wire.GaplessMicros), Unbounded: wire.Unbounded}
	for _, gone := range wire.Gone {
		account.Gone = append(account.Gone, berylorigin.GoneBuild{
			Service: berylspoke.ServiceID(gone.Service), Version: berylspoke.SoftwareVersion(gone.Version), Build: berylspoke.Build(gone.Build), Age: microseconds(gone.AgeMicros),
		})
	}
	return account
}

// maxMicros bounds decoded times, so that they can be added without an overflow.
const maxMicros = uint64(24 * time.Hour / time.Microsecond)

func microseconds(count uint64) time.Duration {
	return time.Duration(min(count, maxMicros)) * time.Microsecond
}

// maxCount bounds decoded numbers of requests, and maxTokens those of tokens, for the same reason.
const (
	maxCount                    = math.MaxUint16
	maxTokens berylspoke.Tokens = 1 << 48
)

func count(value int) int { return min(max(value, 0), maxCount) }

// streamKey returns the key of a stream, and false if its length is wrong.
func streamKey(body []byte) (berylorigin.Key, bool) {
	var key berylorigin.Key
	return key, copy(key[:], body) == len(key) && len(body) == len(key)
}
