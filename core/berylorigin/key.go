package berylorigin

// This file defines the keys of streams and the daemons that hold their records.

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"berylspoke"
	"berylspoke/core/berylmember"
)

// Key identifies a stream by its organisation and the attempt that began it. Callers choose the
// ids of attempts, so it is a cryptographic digest: no organisation reaches the streams of
// another.
type Key [16]byte

// KeyOf returns the key of the stream that an attempt of an organisation began.
func KeyOf(organisation berylspoke.OrganisationID, attempt berylspoke.RequestID) Key {
	text := binary.BigEndian.AppendUint32(nil, uint32(len(organisation)))
	text = append(append(text, organisation...), attempt...)
	digest := sha256.Sum256(text)
	return Key(digest[:len(Key{})])
}

// String returns the key in hexadecimal.
func (key Key) String() string { return hex.EncodeToString(key[:]) }

const (
	// toldHolders is the number of daemons that are told of a stream.
	toldHolders = 2
	// askedHolders is the number of daemons that are asked: those that were told remain among
	// them if the one that told them ranks as high, or if a daemon has joined.
	askedHolders = 4
	// smallFleet is the number of daemons up to which all of them hold every record.
	smallFleet = 13
)

// Told returns the daemons to tell of a stream as it begins at a daemon.
func Told(key Key, self berylspoke.VMID, live []berylspoke.VMID) []berylspoke.VMID {
	return ranked(key, self, live, toldHolders)
}

// ToldLater returns the daemons to tell of a stream soon after those that were told at once: all
// others of a small fleet, of which any number may be lost together.
func ToldLater(key Key, self berylspoke.VMID, live []berylspoke.VMID) []berylspoke.VMID {
	if len(live) > smallFleet {
		return nil
	}
	others := ranked(key, self, live, smallFleet)
	return others[min(toldHolders, len(others)):]
}

// Asked returns the daemons to ask for a stream that is taken up at a daemon.
func Asked(key Key, self berylspoke.VMID, live []berylspoke.VMID) []berylspoke.VMID {
	if len(live) <= smallFleet {
		return ranked(key, self, live, smallFleet)
	}
	return ranked(key, self, live, askedHolders)
}

// ranked returns up to count daemons other than self, in the order of their rank for the key.
func ranked(key Key, self berylspoke.VMID, live []berylspoke.VMID, count int) []berylspoke.VMID {
	type candidate struct {
		vm    berylspoke.VMID
		score uint64
	}
	best := make([]candidate, 0, count+1)
	text := string(key[:])
	for _, vm := range live {
		score := berylmember.Score(text, vm)
		if vm == self || len(best) == count && score <= best[count-1].score {
			continue
		}
		at := len(best)
		for at > 0 && best[at-1].score < score {
			at--
		}
		best = slices.Insert(best, at, candidate{vm, score})
		best = best[:min(len(best), count)]
	}
	vms := make([]berylspoke.VMID, len(best))
	for i, candidate := range best {
		vms[i] = candidate.vm
	}
	return vms
}
