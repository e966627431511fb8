package berylpeer

// This file defines the encoded form of the evidence on requests that crash targets.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylquarantine"
)

type wireCrash struct {
	_         struct{} `cbor:",toarray"`
	Run       uint64
	AgeMillis uint32
}

type wireCrashNotice struct {
	_               struct{} `cbor:",toarray"`
	Digest          uint64
	Crashes         []wireCrash
	ServedAgeMillis uint32
}

type wireCrashNotices struct {
	_    struct{} `cbor:",toarray"`
	List []wireCrashNotice
}

func crashNoticesToWire(notices berylquarantine.Notices) *wireCrashNotices {
	wire := new(wireCrashNotices)
	for _, notice := range notices.List {
		item := wireCrashNotice{Digest: uint64(notice.Digest), ServedAgeMillis: uint32(notice.ServedAge.Milliseconds())}
		for _, crash := range notice.Crashes {
			item.Crashes = append(item.Crashes, wireCrash{Run: uint64(crash.Run), AgeMillis: uint32(crash.Age.Milliseconds())})
		}
		wire.List = append(wire.List, item)
	}
	return wire
}

func (wire *wireCrashNotices) message(berylspoke.VMID) berylspoke.Message {
	var notices berylquarantine.Notices
	for _, item := range wire.List {
		notice := berylquarantine.Notice{
			Digest: berylquarantine.Digest(item.Digest), ServedAge: time.Duration(item.ServedAgeMillis) * time.Millisecond,
		}
		for _, crash := range item.Crashes {
			notice.Crashes = append(notice.Crashes, berylquarantine.Crash{
				Run: berylquarantine.TargetRun(crash.Run), Age: time.Duration(crash.AgeMillis) * time.Millisecond,
			})
		}
		notices.List = append(notices.List, notice)
	}
	return notices
}
