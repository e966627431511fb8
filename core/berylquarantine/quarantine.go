package berylquarantine

// This file defines the quarantine and the evidence that it keeps.

import (
	"maps"
	"time"
)

const (
	// CrashThreshold is the number of targets that must crash under a digest before it is
	// refused. A request that only ran beside the one that crashes its targets may share
	// the fate of two of them.
	CrashThreshold = 3
	// Retention is how long evidence counts. A digest that is refused may then be tried
	// again, as the targets may have been repaired.
	Retention = 10 * time.Minute
	// servedGrace is how long after it was served a digest is above suspicion. Several
	// targets may crash at once for another reason, under requests that all ask for the
	// same thing and are served all the time.
	servedGrace = 20 * time.Second
	// datingError is by how much daemons may differ on when something happened.
	datingError = time.Second
	// maxEntries bounds the digests with evidence, maxServed those known to be served.
	maxEntries = 4096
	maxServed  = 8192
	// announcements is how often a change is sent to peers, as messages may be lost.
	announcements = 3
)

// Digest identifies what a request asks for, whatever its id.
type Digest uint64

// TargetRun identifies one run of a target, from its start to its end.
type TargetRun uint64

// entry is the evidence on one digest.
type entry struct {
	// crashes are the runs of targets that crashed under the digest since it was last
	// served.
	crashes  map[TargetRun]time.Time
	servedAt time.Time
	// changedAt is when evidence was last added; unsent counts the announcements of it
	// that are due.
	changedAt time.Time
	unsent    int
}

// Quarantine holds one daemon's evidence.
type Quarantine struct {
	entries map[Digest]*entry
	// served has the digests that this daemon served last, servedBefore those before
	// them.
	served, servedBefore map[Digest]time.Time
}

// New returns an empty quarantine.
func New() *Quarantine {
	return &Quarantine{entries: make(map[Digest]*entry), served: make(map[Digest]time.Time)}
}

// Crashed records that a target crashed at a time at which it had a request with the digest.
func (quarantine *Quarantine) Crashed(now time.Time, digest Digest, run TargetRun, at time.Time) {
	quarantine.addCrash(now, digest, run, at)
}

// Served records that a request with the digest was served.
func (quarantine *Quarantine) Served(now time.Time, digest Digest) {
	if len(quarantine.served) >= maxServed/2 {
		quarantine.servedBefore, quarantine.served = quarantine.served, make(map[Digest]time.Time, maxServed/2)
	}
	quarantine.served[digest] = now
	if quarantine.entries[digest] != nil {
		quarantine.addServed(now, digest, now)
	}
}

// servedJustBefore reports whether this daemon served the digest shortly before a time.
func (quarantine *Quarantine) servedJustBefore(digest Digest, at time.Time) bool {
	served, known := quarantine.served[digest]
	if !known {
		served, known = quarantine.servedBefore[digest]
	}
	return known && at.Sub(served) < servedGrace
}

// Refused reports whether requests with the digest must not be sent, and for how much
// longer.
func (quarantine *Quarantine) Refused(now time.Time, digest Digest) (time.Duration, bool) {
	found := quarantine.entries[digest]
	if found == nil || len(found.crashes) < CrashThreshold {
		return 0, false
	}
	remaining := Retention - now.Sub(found.newestCrash())
	return remaining, remaining > 0
}

// Count returns the number of digests that are refused.
func (quarantine *Quarantine) Count(now time.Time) int {
	count := 0
	for digest := range quarantine.entries {
		if _, refused := quarantine.Refused(now, digest); refused {
			count++
		}
	}
	return count
}

// Expire drops the evidence that no longer counts.
func (quarantine *Quarantine) Expire(now time.Time) {
	for digest, entry := range quarantine.entries {
		if now.Sub(entry.changedAt) > Retention {
			delete(quarantine.entries, digest)
		}
	}
}

// addCrash adds a crash unless it is known or no longer counts.
func (quarantine *Quarantine) addCrash(now time.Time, digest Digest, run TargetRun, at time.Time) {
	found := quarantine.entries[digest]
	if now.Sub(at) > Retention || found != nil && !at.After(found.servedAt.Add(datingError)) {
		return
	}
	if found == nil {
		found = quarantine.newEntry(now, digest)
	}
	found.dropCrashes(now.Add(-Retention))
	if quarantine.servedJustBefore(digest, at) {
		found.servedAt, found.changedAt, found.unsent = at, now, announcements
		found.dropCrashes(at.Add(datingError))
		return
	}
	if _, known := found.crashes[run]; known || len(found.crashes) >= CrashThreshold {
		return
	}
	found.crashes[run] = at
	found.changedAt, found.unsent = now, announcements
}

// addServed drops the crashes before a request was served.
func (quarantine *Quarantine) addServed(now time.Time, digest Digest, at time.Time) {
	found := quarantine.entries[digest]
	if found == nil {
		found = quarantine.newEntry(now, digest)
	}
	if !at.After(found.servedAt) {
		return
	}
	found.servedAt = at
	if found.dropCrashes(at.Add(datingError)) {
		found.changedAt, found.unsent = now, announcements
	}
}

// dropCrashes drops the crashes up to a time and reports whether there were any.
func (entry *entry) dropCrashes(until time.Time) bool {
	before := len(entry.crashes)
	maps.DeleteFunc(entry.crashes, func(_ TargetRun, at time.Time) bool { return !at.After(until) })
	return len(entry.crashes) < before
}

// newEntry adds an entry, in place of the oldest one if there are too many.
func (quarantine *Quarantine) newEntry(now time.Time, digest Digest) *entry {
	if len(quarantine.entries) >= maxEntries {
		quarantine.dropOldest()
	}
	fresh := &entry{crashes: make(map[TargetRun]time.Time), changedAt: now}
	quarantine.entries[digest] = fresh
	return fresh
}

func (quarantine *Quarantine) dropOldest() {
	var oldest Digest
	first := true
	for digest, entry := range quarantine.entries {
		if first || entry.changedAt.Before(quarantine.entries[oldest].changedAt) {
			oldest, first = digest, false
		}
	}
	delete(quarantine.entries, oldest)
}

func (entry *entry) newestCrash() time.Time {
	var newest time.Time
	for _, at := range entry.crashes {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}
