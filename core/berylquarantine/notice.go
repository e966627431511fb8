package berylquarantine

// This file defines the messages by which daemons share evidence.

import (
	"maps"
	"slices"
	"time"

	"berylspoke"
)

const (
	// maxNoticesPerMessage bounds a message so that it fits one datagram.
	maxNoticesPerMessage = 12
	// maxNoticesPerRound bounds what is sent to the peers at a time.
	maxNoticesPerRound = 8 * maxNoticesPerMessage
)

// Crash is one run of a target that crashed, and how long ago.
type Crash struct {
	Run TargetRun
	Age time.Duration
}

// Notice is a daemon's evidence on one digest. ServedAge is how long ago a request with
// the digest was last served, zero if none was since the first crash.
type Notice struct {
	Digest    Digest
	Crashes   []Crash
	ServedAge time.Duration
}

// Notices is a message with evidence.
type Notices struct{ List []Notice }

// PeerMessage implements berylspoke.Message.
func (Notices) PeerMessage() {}

var _ berylspoke.Message = Notices{}

// Unsent returns the evidence that is due to be sent to the peers.
func (quarantine *Quarantine) Unsent(now time.Time) []berylspoke.Message {
	var digests []Digest
	for digest, entry := range quarantine.entries {
		if entry.unsent > 0 {
			digests = append(digests, digest)
		}
	}
	slices.Sort(digests)
	var messages []berylspoke.Message
	for chunk := range slices.Chunk(digests[:min(len(digests), maxNoticesPerRound)], maxNoticesPerMessage) {
		var list []Notice
		for _, digest := range chunk {
			entry := quarantine.entries[digest]
			entry.unsent--
			list = append(list, entry.notice(now, digest))
		}
		messages = append(messages, Notices{list})
	}
	return messages
}

// SendAgain makes all evidence due to be sent once more, for a peer that has started.
func (quarantine *Quarantine) SendAgain() {
	for _, entry := range quarantine.entries {
		entry.unsent = max(entry.unsent, 1)
	}
}

// Receive adds the evidence of a peer.
func (quarantine *Quarantine) Receive(now time.Time, notices Notices) {
	for _, notice := range notices.List {
		if notice.ServedAge > 0 {
			quarantine.addServed(now, notice.Digest, now.Add(-notice.ServedAge))
		}
		for _, crash := range notice.Crashes {
			quarantine.addCrash(now, notice.Digest, crash.Run, now.Add(-crash.Age))
		}
	}
}

func (entry *entry) notice(now time.Time, digest Digest) Notice {
	notice := Notice{Digest: digest}
	if !entry.servedAt.IsZero() {
		notice.ServedAge = max(now.Sub(entry.servedAt), time.Millisecond)
	}
	for _, run := range slices.Sorted(maps.Keys(entry.crashes)) {
		notice.Crashes = append(notice.Crashes, Crash{run, now.Sub(entry.crashes[run])})
	}
	return notice
}
