package berylquarantine

// This file defines the quarantine and the evidence that it keeps.

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

const (
	// CrashThreshold is the number of targets that must crash under a suspect, one after the other,
	// before it is blamed. A request that only ran beside one that crashes its targets may share
	// the fate of two of them.
	CrashThreshold = 3
	// Retention is how long a crash counts, and blameRetention how long one that a suspect is
	// blamed for does.
	Retention      = 10 * time.Minute
	blameRetention = 6 * time.Hour
	// datingError is by how much daemons may differ on when something happened.
	datingError = 300 * time.Millisecond
	// minSeparation is by how much a request must have been sent after a crash that another daemon
	// saw to count as later: evidence is dated too late by the latency of each daemon that passes
	// it on.
	minSeparation = 100 * time.Millisecond
	// maxCrashes bounds the crashes that are kept, maxSuspects the suspects of one of them,
	// maxCleared the cleared suspects and maxBegun those that this daemon saw begin.
	maxCrashes  = 256
	maxSuspects = 64
	maxCleared  = 4096
	maxBegun    = 8192
	// announcements is how often a change is sent to peers, as messages may be lost.
	announcements = 3
	// spreadThreshold is the number of successive crashes under a suspect from which all daemons
	// are told of it. Others are known to those that saw them and to holders.
	spreadThreshold = 2
	// holderCount is the number of daemons that are told of every crash under a suspect. In a fleet
	// of up to maxHolders, all are.
	holderCount = 2
	maxHolders  = 16
)

// Digest identifies a suspect: a part of prompts, or a whole request, whatever its id.
type Digest uint64

// OrganisationHash identifies an organisation.
type OrganisationHash uint32

// VMHash identifies a daemon.
type VMHash uint32

// TargetRun identifies one run of a target, from its start to its end.
type TargetRun uint64

// Suspect is what a request of an organisation had when its target crashed.
type Suspect struct {
	Digest       Digest
	Organisation OrganisationHash
}

// Crash is a run of a target that crashed at a time under a request that was sent at another.
type Crash struct {
	Run          TargetRun
	At, Sent     time.Time
	Organisation OrganisationHash
	// Digests are those of the request that are suspect.
	Digests []Digest
}

// crash is one run of a target that crashed.
type crash struct {
	run TargetRun
	// at is the earliest time that a daemon reported.
	at       time.Time
	suspects map[Suspect]*suspicion
	// weight is the largest number of crashes that counted against one of the suspects.
	weight int
}

// suspicion is a suspect of one crash.
type suspicion struct {
	// sent is when the last request was sent that had it.
	sent time.Time
	// reporter is the daemon that saw it, as a hash, and ordinal the number of successive crashes
	// that this one had seen under the suspect by then.
	reporter VMHash
	ordinal  uint8
	// spread is set once all daemons are told; forHolders and forAll count the announcements
	// that are due to holders and to all.
	spread             bool
	forHolders, forAll int
	// owed are the announcements that are due to single daemons, which may lack it.
	owed debts
}

// clearing is when an answer last began under a suspect, as daemons have told each other.
type clearing struct {
	at     time.Time
	unsent int
	owed   debts
}

// Quarantine holds one daemon's evidence.
type Quarantine struct {
	self    berylspoke.VMID
	hash    VMHash
	members []berylspoke.VMID
	crashes map[TargetRun]*crash
	// index has the crashes under each suspect, repeated the suspects of several crashes.
	index    map[Digest][]*crash
	repeated map[Digest]bool
	// held has the holders of each suspect, this daemon included.
	held    map[Digest][]berylspoke.VMID
	cleared map[Digest]clearing
	// begun has the suspects under which answers began at this daemon last, begunBefore those
	// before them.
	begun, begunBefore map[Digest]time.Time
	// trials are the suspects of requests that run alone, with when they were sent.
	trials map[Digest]time.Time
	// verdicts follow from the evidence unless it has changed.
	verdicts *Verdicts
	changed  bool
	// urgent is set while evidence is due that peers may lack.
	urgent bool
}

// New returns an empty quarantine of a daemon.
func New(self berylspoke.VMID) *Quarantine {
	return &Quarantine{
		self: self, hash: VMHash(xxhash.Sum64String(string(self))), members: []berylspoke.VMID{self}, crashes: make(map[TargetRun]*crash),
		index: make(map[Digest][]*crash), repeated: make(map[Digest]bool), held: make(map[Digest][]berylspoke.VMID), cleared: make(map[Digest]clearing),
		begun: make(map[Digest]time.Time), trials: make(map[Digest]time.Time), verdicts: new(Verdicts),
	}
}

// counts reports whether a crash counts against a suspect.
func (quarantine *Quarantine) counts(crash *crash, digest Digest) bool {
	cleared := quarantine.clearedAt(digest)
	return cleared.IsZero() || crash.at.After(cleared.Add(datingError))
}

// clearedAt returns the time that clears a suspect of the crashes before it, zero for none.
func (quarantine *Quarantine) clearedAt(digest Digest) time.Time {
	return latest(quarantine.cleared[digest].at, quarantine.begunAt(digest))
}

// Crashed records that a target crashed under a request.
func (quarantine *Quarantine) Crashed(now time.Time, crashed Crash) {
	for _, digest := range crashed.Digests {
		seen := suspicion{sent: crashed.Sent, reporter: quarantine.hash, ordinal: quarantine.ordinal(digest, crashed.Sent)}
		if added := quarantine.addSuspect(now, crashed.Run, crashed.At, Suspect{digest, crashed.Organisation}, seen); added != nil {
			added.forHolders = announcements
			quarantine.urgent = true
		}
	}
}

// ordinal returns the number of successive crashes under a suspect that this daemon has seen,
// with one under a request that was sent at the given time.
func (quarantine *Quarantine) ordinal(digest Digest, sent time.Time) uint8 {
	last := uint8(0)
	for _, crash := range quarantine.index[digest] {
		for suspect, suspicion := range crash.suspects {
			if suspect.Digest != digest || suspicion.reporter != quarantine.hash {
				continue
			}
			ordinal := suspicion.ordinal
			if sent.After(crash.at) {
				ordinal = min(ordinal, math.MaxUint8-1) + 1
			}
			last = max(last, ordinal)
		}
	}
	return max(last, 1)
}

// Begun records that an answer to a request with the digests began at a time, at a target that
// has lived on.
func (quarantine *Quarantine) Begun(at time.Time, digests []Digest) {
	for _, digest := range digests {
		if len(quarantine.begun) >= maxBegun/2 {
			quarantine.begunBefore, quarantine.begun = quarantine.begun, make(map[Digest]time.Time, maxBegun/2)
		}
		if quarantine.allHold() {
			quarantine.tellCleared(at, digest)
		}
		quarantine.begun[digest] = latest(at, quarantine.begunAt(digest))
		quarantine.changed = quarantine.changed || quarantine.repeated[digest]
	}
}

// tellCleared makes peers hear that an answer began under a suspect if a crash counts against it: this
// daemon may restart before another one makes them ask.
func (quarantine *Quarantine) tellCleared(at time.Time, digest Digest) {
	for _, crash := range quarantine.index[digest] {
		if quarantine.counts(crash, digest) && !crash.at.After(at.Add(datingError)) {
			quarantine.addCleared(digest, at, true)
			return
		}
	}
}

// begunAt returns when an answer under a suspect last began at this daemon, zero if it is not
// known.
func (quarantine *Quarantine) begunAt(digest Digest) time.Time {
	return latest(quarantine.begun[digest], quarantine.begunBefore[digest])
}

func latest(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// addSuspect adds a suspect to a crash and returns it, nil if it is known, does not count or there is
// no room.
func (quarantine *Quarantine) addSuspect(now time.Time, run TargetRun, at time.Time, suspect Suspect, seen suspicion) *suspicion {
	if now.Sub(at) > blameRetention {
		return nil
	}
	known := quarantine.crashes[run]
	if known == nil {
		quarantine.Expire(now)
		quarantine.makeRoom(now)
		known = &crash{run: run, at: at, suspects: make(map[Suspect]*suspicion)}
		quarantine.crashes[run] = known
	}
	if at.Before(known.at) {
		known.at = at
	}
	if before := known.suspects[suspect]; before != nil {
		before.sent = latest(before.sent, seen.sent)
		return nil
	}
	if len(known.suspects) >= maxSuspects && !quarantine.dropSuspect(known, suspect) {
		return nil
	}
	added := &seen
	known.suspects[suspect] = added
	quarantine.indexSuspect(known, suspect.Digest)
	return added
}

// indexSuspect adds a crash to those under a suspect.
func (quarantine *Quarantine) indexSuspect(under *crash, digest Digest) {
	if quarantine.held[digest] == nil {
		quarantine.held[digest] = quarantine.rankedHolders(digest, quarantine.members)
	}
	if crashes := quarantine.index[digest]; !slices.Contains(crashes, under) {
		quarantine.index[digest] = append(crashes, under)
	}
	if len(quarantine.index[digest]) > 1 {
		quarantine.repeated[digest], quarantine.changed = true, true
	}
}

// removeSuspect removes a suspect from a crash.
func (quarantine *Quarantine) removeSuspect(from *crash, suspect Suspect) {
	delete(from.suspects, suspect)
	if from.has(suspect.Digest) {
		return
	}
	left := slices.DeleteFunc(quarantine.index[suspect.Digest], func(crash *crash) bool { return crash == from })
	quarantine.index[suspect.Digest] = left
	if len(left) == 0 {
		delete(quarantine.index, suspect.Digest)
		delete(quarantine.held, suspect.Digest)
	}
	if len(left) < 2 && quarantine.repeated[suspect.Digest] {
		delete(quarantine.repeated, suspect.Digest)
		quarantine.changed = true
	}
}

// dropSuspect drops a suspect that no other crash has in favour of one that another crash has,
// and reports whether it did.
func (quarantine *Quarantine) dropSuspect(from *crash, other Suspect) bool {
	if len(quarantine.index[other.Digest]) == 0 {
		return false
	}
	for suspect := range from.suspects {
		if !quarantine.repeated[suspect.Digest] {
			quarantine.removeSuspect(from, suspect)
			return true
		}
	}
	return false
}

// drop drops a crash.
func (quarantine *Quarantine) drop(dropped *crash) {
	for suspect := range dropped.suspects {
		quarantine.removeSuspect(dropped, suspect)
	}
	delete(quarantine.crashes, dropped.run)
	quarantine.changed = true
}

func (crash *crash) has(digest Digest) bool {
	for suspect := range crash.suspects {
		if suspect.Digest == digest {
			return true
		}
	}
	return false
}

// makeRoom drops the oldest crash that nothing is blamed for, or else the oldest, if there are
// too many.
func (quarantine *Quarantine) makeRoom(now time.Time) {
	if len(quarantine.crashes) < maxCrashes {
		return
	}
	explained := quarantine.Verdicts(now).explained
	var oldest *crash
	for _, crash := range quarantine.crashes {
		switch {
		case oldest == nil, explained[oldest.run] && !explained[crash.run]:
			oldest = crash
		case explained[oldest.run] == explained[crash.run] && crash.at.Before(oldest.at):
			oldest = crash
		}
	}
	quarantine.drop(oldest)
}

// addCleared records a clearing, to be told to peers if tell is set.
func (quarantine *Quarantine) addCleared(digest Digest, at time.Time, tell bool) {
	known, exists := quarantine.cleared[digest]
	if !at.After(known.at) {
		return
	}
	if !exists && len(quarantine.cleared) >= maxCleared {
		quarantine.dropOldestCleared()
	}
	known.at = at
	if tell {
		known.unsent = announcements
		quarantine.urgent = true
	}
	quarantine.cleared[digest] = known
	quarantine.changed = quarantine.changed || quarantine.repeated[digest]
}

func (quarantine *Quarantine) dropOldestCleared() {
	var oldest Digest
	first := true
	for digest, clearing := range quarantine.cleared {
		if first || clearing.at.Before(quarantine.cleared[oldest].at) {
			oldest, first = digest, false
		}
	}
	delete(quarantine.cleared, oldest)
}

// Expire drops the evidence that no longer counts.
func (quarantine *Quarantine) Expire(now time.Time) {
	explained := quarantine.Verdicts(now).explained
	for run, crash := range quarantine.crashes {
		retention := Retention
		if explained[run] {
			retention = blameRetention
		}
		if now.Sub(crash.at) > retention {
			quarantine.drop(crash)
		}
	}
	maps.DeleteFunc(quarantine.cleared, func(_ Digest, clearing clearing) bool { return now.Sub(clearing.at) > Retention })
	maps.DeleteFunc(quarantine.trials, func(_ Digest, sent time.Time) bool { return now.Sub(sent) > maxTrial })
}
