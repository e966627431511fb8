package berylpeer

// This file defines the encoded form of the evidence on requests that crash targets.

import (
	"berylspoke"
	"berylspoke/core/berylquarantine"
)

type wireSuspect struct {
	_             struct{} `cbor:",toarray"`
	Digest        uint64
	Organisation  uint32
	SentAgeMicros uint64
	Reporter      uint32
	Ordinal       uint8
}

type wireCrash struct {
	_         struct{} `cbor:",toarray"`
	Run       uint64
	AgeMicros uint64
	Suspects  []wireSuspect
}

type wireClearing struct {
	_         struct{} `cbor:",toarray"`
	Digest    uint64
	AgeMicros uint64
}

type wireCrashEvidence struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []wireCrash
	Clearings []wireClearing
}

func crashEvidenceToWire(notices berylquarantine.Notices) *wireCrashEvidence {
	wire := new(wireCrashEvidence)
	for _, notice := range notices.Crashes {
		item := wireCrash{Run: uint64(notice.Run), AgeMicros: uint64(notice.Age.Microseconds())}
		for _, suspect := range notice.Suspects {
			item.Suspects = append(item.Suspects, wireSuspect{
				Digest: uint64(suspect.Digest), Organisation: uint32(suspect.Organisation), SentAgeMicros: uint64(suspect.SentAge.Microseconds()),
				Reporter: uint32(suspect.Reporter), Ordinal: suspect.Ordinal,
			})
		}
		wire.Crashes = append(wire.Crashes, item)
	}
	for _, notice := range notices.Clearings {
		wire.Clearings = append(wire.Clearings, wireClearing{Digest: uint64(notice.Digest), AgeMicros: uint64(notice.Age.Microseconds())})
	}
	return wire
}

func (wire *wireCrashEvidence) message(berylspoke.VMID) berylspoke.Message {
	var notices berylquarantine.Notices
	for _, item := range wire.Crashes {
		notice := berylquarantine.CrashNotice{Run: berylquarantine.TargetRun(item.Run), Age: microseconds(item.AgeMicros)}
		for _, suspect := range item.Suspects {
			notice.Suspects = append(notice.Suspects, berylquarantine.SuspectNotice{
				Suspect: berylquarantine.Suspect{
					Digest: berylquarantine.Digest(suspect.Digest), Organisation: berylquarantine.OrganisationHash(suspect.Organisation),
				},
				SentAge: microseconds(suspect.SentAgeMicros), Reporter: berylquarantine.VMHash(suspect.Reporter), Ordinal: suspect.Ordinal,
			})
		}
		notices.Crashes = append(notices.Crashes, notice)
	}
	for _, item := range wire.Clearings {
		notices.Clearings = append(notices.Clearings, berylquarantine.ClearingNotice{
			Digest: berylquarantine.Digest(item.Digest), Age: microseconds(item.AgeMicros),
		})
	}
	return notices
}
