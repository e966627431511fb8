package berylpeer

// This file defines the encoded forms of the messages on the origins of streams.

import (
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

// streamKey returns the key of a stream, and false if its length is wrong.
func streamKey(body []byte) (berylorigin.Key, bool) {
	var key berylorigin.Key
	return key, copy(key[:], body) == len(key) && len(body) == len(key)
}
