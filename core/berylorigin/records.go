package berylorigin

// This file defines the records of the builds of streams.

import (
	"time"

	"berylspoke"
)

const (
	// Memory is how long after its beginning a stream may be taken up.
	Memory = time.Minute
	// maxRecords bounds the records of one half of the memory.
	maxRecords = 1 << 14
)

// Record says which build began a stream. It is zero if that is not certain, which no later
// record changes.
type Record struct {
	Key   Key
	Build berylspoke.Build
}

// Records holds records for at least Memory, or the newest maxRecords.
type Records struct {
	young, old map[Key]berylspoke.Build
	rotated    time.Time
	// claims counts the claims on streams since rotated.
	claims map[Key]int
}

// NewRecords returns no records.
func NewRecords() *Records {
	return &Records{young: make(map[Key]berylspoke.Build), claims: make(map[Key]int)}
}

// Add adds a record. If the key is known with another build, the build is not certain.
func (records *Records) Add(now time.Time, record Record) {
	records.expire(now)
	if known, found := records.find(record.Key); found && !known.Fits(record.Build) {
		record.Build = 0
	}
	records.young[record.Key] = record.Build
}

// Find returns the build that began a stream, and false if it is not known.
func (records *Records) Find(now time.Time, key Key) (berylspoke.Build, bool) {
	records.expire(now)
	return records.find(key)
}

func (records *Records) find(key Key) (berylspoke.Build, bool) {
	if build, found := records.young[key]; found {
		return build, true
	}
	build, found := records.old[key]
	return build, found
}

// maxClaims bounds how often a stream is continued ahead of others at one daemon: callers could
// otherwise name one stream for any number of requests.
const maxClaims = 3

// Claim reports whether the continuation of a recorded stream may go ahead of others, and counts
// it.
func (records *Records) Claim(now time.Time, key Key) bool {
	records.expire(now)
	if records.claims[key] >= maxClaims {
		return false
	}
	records.claims[key]++
	return true
}

// Len returns the number of records.
func (records *Records) Len() int { return len(records.young) + len(records.old) }

// expire drops the older half of the records if the younger is full or as old as Memory.
func (records *Records) expire(now time.Time) {
	age := now.Sub(records.rotated)
	if age < Memory && len(records.young) < maxRecords {
		return
	}
	records.old, records.young = records.young, make(map[Key]berylspoke.Build)
	if age >= 2*Memory {
		records.old = nil
	}
	records.rotated = now
	clear(records.claims)
}
