package berylquarantine

// This file defines the messages by which daemons share evidence.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"berylspoke"
)

const (
	// maxItemsPerMessage bounds the suspects and clearings of a message so that it fits one
	// datagram, maxMessagesPerRound the messages that are sent to all daemons at a time.
	maxItemsPerMessage  = 30
	maxMessagesPerRound = 6
	// maxForHoldersPerRound bounds the suspects that holders are told of at a time.
	maxForHoldersPerRound = 60
)

// Parcel is a message and the daemons that it is for, nil for all.
type Parcel struct {
	To      []berylspoke.VMID
	Message Notices
}

// CrashNotice is one run of a target that crashed, how long ago, and suspects of it.
type CrashNotice struct {
	Run      TargetRun
	Age      time.Duration
	Suspects []SuspectNotice
}

// SuspectNotice is a suspect of a crash, how long ago the last request with it was sent, and the
// number of successive crashes under it that the reporter had seen by then.
type SuspectNotice struct {
	Suspect
	SentAge  time.Duration
	Reporter VMHash
	Ordinal  uint8
}

// ClearingNotice says how long ago an answer began under a suspect.
type ClearingNotice struct {
	Digest Digest
	Age    time.Duration
}

// Notices is a message with evidence.
type Notices struct {
	Crashes   []CrashNotice
	Clearings []ClearingNotice
}

// PeerMessage implements berylspoke.Message.
func (Notices) PeerMessage() {}

var _ berylspoke.Message = Notices{}

// Urgent reports whether there is evidence since the last call of Unsent that peers may lack.
func (quarantine *Quarantine) Urgent() bool { return quarantine.urgent }

// Unsent returns the evidence that is due to be sent, the crashes first that have most in common
// with others.
func (quarantine *Quarantine) Unsent(now time.Time) []Parcel {
	quarantine.Verdicts(now)
	quarantine.urgent = false
	parcels := slices.Concat(quarantine.forHolders(now), quarantine.forLacking(now))
	all := batch{left: maxMessagesPerRound}
	quarantine.addCrashes(now, &all)
	quarantine.addClearings(now, &all)
	for _, message := range all.messages {
		parcels = append(parcels, Parcel{Message: *message})
	}
	return parcels
}

// addCrashes adds what is due to all daemons of crashes.
func (quarantine *Quarantine) addCrashes(now time.Time, all *batch) {
	for _, crash := range quarantine.sortedCrashes() {
		due := crash.notice(now, func(suspicion *suspicion) bool { return suspicion.forAll > 0 })
		if len(due.Suspects) == 0 {
			continue
		}
		if !all.addCrash(due) {
			quarantine.urgent = true
			return
		}
		for _, suspect := range due.Suspects {
			crash.suspects[suspect.Suspect].forAll--
		}
	}
}

func (quarantine *Quarantine) addClearings(now time.Time, all *batch) {
	for _, digest := range slices.Sorted(maps.Keys(quarantine.cleared)) {
		clearing := quarantine.cleared[digest]
		if clearing.unsent == 0 {
			continue
		}
		if !all.addClearing(ClearingNotice{digest, max(now.Sub(clearing.at), 0)}) {
			return
		}
		clearing.unsent--
		quarantine.cleared[digest] = clearing
	}
}

// forHolders returns what is due to the holders of the suspects that this daemon saw. One of which
// all daemons are told has none.
func (quarantine *Quarantine) forHolders(now time.Time) []Parcel {
	batches := make(map[berylspoke.VMID]*batch)
	left := maxForHoldersPerRound
	for _, crash := range quarantine.sortedCrashes() {
		due := crash.notice(now, func(suspicion *suspicion) bool { return suspicion.forHolders > 0 })
		for _, suspect := range due.Suspects {
			suspicion := crash.suspects[suspect.Suspect]
			if suspicion.spread {
				suspicion.forHolders = 0
				continue
			}
			if left--; left < 0 {
				quarantine.urgent = true
				return quarantine.parcels(batches)
			}
			suspicion.forHolders--
			for _, holder := range quarantine.holders(suspect.Digest) {
				if batches[holder] == nil {
					batches[holder] = &batch{left: maxForHoldersPerRound}
				}
				batches[holder].addCrash(CrashNotice{due.Run, due.Age, []SuspectNotice{suspect}})
			}
		}
	}
	return quarantine.parcels(batches)
}

// forLacking returns what is due to single daemons that may lack it.
func (quarantine *Quarantine) forLacking(now time.Time) []Parcel {
	batches := make(map[berylspoke.VMID]*batch)
	add := func(to berylspoke.VMID, add func(*batch) bool) bool {
		if batches[to] == nil {
			batches[to] = &batch{left: maxMessagesPerRound}
		}
		return add(batches[to])
	}
	for _, crash := range quarantine.sortedCrashes() {
		for to, due := range quarantine.lacking(now, crash) {
			if !add(to, func(batch *batch) bool { return batch.addCrash(due) }) {
				quarantine.urgent = true
				continue
			}
			for _, suspect := range due.Suspects {
				crash.suspects[suspect.Suspect].owed.pay(to)
			}
		}
	}
	for _, digest := range slices.Sorted(maps.Keys(quarantine.cleared)) {
		clearing := quarantine.cleared[digest]
		for _, to := range slices.Sorted(maps.Keys(clearing.owed)) {
			if add(to, func(batch *batch) bool {
				return batch.addClearing(ClearingNotice{digest, max(now.Sub(clearing.at), 0)})
			}) {
				clearing.owed.pay(to)
			}
		}
	}
	return quarantine.parcels(batches)
}

// lacking returns the notices of a crash that are due to single daemons.
func (quarantine *Quarantine) lacking(now time.Time, crash *crash) map[berylspoke.VMID]CrashNotice {
	var receivers []berylspoke.VMID
	for _, suspicion := range crash.suspects {
		receivers = slices.AppendSeq(receivers, maps.Keys(suspicion.owed))
	}
	notices := make(map[berylspoke.VMID]CrashNotice)
	for _, to := range receivers {
		if _, done := notices[to]; !done {
			notices[to] = crash.notice(now, func(suspicion *suspicion) bool { return suspicion.owed[to] > 0 })
		}
	}
	return notices
}

func (quarantine *Quarantine) parcels(batches map[berylspoke.VMID]*batch) []Parcel {
	var parcels []Parcel
	for _, holder := range slices.Sorted(maps.Keys(batches)) {
		for _, message := range batches[holder].messages {
			parcels = append(parcels, Parcel{[]berylspoke.VMID{holder}, *message})
		}
	}
	return parcels
}

// sortedCrashes returns the crashes, those first that have most in common with others.
func (quarantine *Quarantine) sortedCrashes() []*crash {
	return slices.SortedFunc(maps.Values(quarantine.crashes), func(one, other *crash) int {
		return cmp.Or(cmp.Compare(other.weight, one.weight), -byTime(one, other))
	})
}

// notice returns the notice of those suspects of a crash that are due.
func (crash *crash) notice(now time.Time, due func(*suspicion) bool) CrashNotice {
	notice := CrashNotice{Run: crash.run, Age: max(now.Sub(crash.at), 0)}
	if !slices.ContainsFunc(slices.Collect(maps.Values(crash.suspects)), due) {
		return notice
	}
	for _, suspect := range slices.SortedFunc(maps.Keys(crash.suspects), bySuspect) {
		if suspicion := crash.suspects[suspect]; due(suspicion) {
			notice.Suspects = append(notice.Suspects, SuspectNotice{
				suspect, max(now.Sub(suspicion.sent), 0), suspicion.reporter, suspicion.ordinal,
			})
		}
	}
	return notice
}

func bySuspect(one, other Suspect) int {
	return cmp.Or(cmp.Compare(one.Digest, other.Digest), cmp.Compare(one.Organisation, other.Organisation))
}

// batch gathers notices into messages.
type batch struct {
	messages []*Notices
	// items is the number of items in the last message, left that of messages that may begin.
	items, left int
}

// room returns the last message if an item fits, a new one otherwise, nil if no more may begin.
func (batch *batch) room(items int) *Notices {
	if last := len(batch.messages) - 1; last >= 0 && batch.items+items <= maxItemsPerMessage {
		batch.items += items
		return batch.messages[last]
	}
	if batch.left == 0 {
		return nil
	}
	batch.left--
	batch.items = items
	batch.messages = append(batch.messages, new(Notices))
	return batch.messages[len(batch.messages)-1]
}

// addCrash adds a notice, in several parts if it is large, and reports whether there was room.
func (batch *batch) addCrash(notice CrashNotice) bool {
	for chunk := range slices.Chunk(notice.Suspects, maxItemsPerMessage-1) {
		message := batch.room(len(chunk) + 1)
		if message == nil {
			return false
		}
		message.Crashes = append(message.Crashes, CrashNotice{notice.Run, notice.Age, chunk})
	}
	return true
}

func (batch *batch) addClearing(notice ClearingNotice) bool {
	message := batch.room(1)
	if message == nil {
		return false
	}
	message.Clearings = append(message.Clearings, notice)
	return true
}

// Receive adds the evidence of a peer.
func (quarantine *Quarantine) Receive(now time.Time, notices Notices) {
	for _, notice := range notices.Clearings {
		at := now.Add(-max(notice.Age, 0))
		known := quarantine.cleared[notice.Digest].at
		quarantine.addCleared(notice.Digest, at, known.IsZero() || at.Sub(known) > datingError && quarantine.repeated[notice.Digest])
	}
	for _, notice := range notices.Crashes {
		at := now.Add(-max(notice.Age, 0))
		for _, suspect := range notice.Suspects {
			quarantine.addSuspect(now, notice.Run, at, suspect.Suspect, suspicion{
				sent: now.Add(-max(suspect.SentAge, 0)), reporter: suspect.Reporter, ordinal: suspect.Ordinal,
			})
		}
	}
}
