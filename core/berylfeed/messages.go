package berylfeed

// This file defines what daemons tell each other of their feeds.

import (
	"time"

	"berylspoke"
)

// Name tells the feeds of one daemon apart.
type Name uint8

// The feeds.
const (
	Configuration Name = iota
	Targets
	// Count is the number of feeds.
	Count
)

// Pull asks a peer for what it knows after a revision.
type Pull struct {
	Feed  Name
	After berylspoke.Revision
}

// Change is one item of a delta; Grace is what is left of a removed item's
// grace at the sender.
type Change struct {
	Item  berylspoke.Item
	Grace time.Duration
}

// Delta holds all changes after one revision up to another. A full one holds all
// items instead, and what it does not name is gone.
type Delta struct {
	Feed    Name
	Full    bool
	After   berylspoke.Revision
	AsOf    berylspoke.Revision
	Changes []Change
}

// PeerMessage implements berylspoke.Message.
func (Pull) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (Delta) PeerMessage() {}

var (
	_ berylspoke.Message = Pull{}
	_ berylspoke.Message = Delta{}
)

// Since returns what a peer that is complete up to a revision lacks.
func (feed *Feed) Since(now time.Time, name Name, after berylspoke.Revision) (Delta, bool) {
	if !feed.known || feed.asOf <= after {
		return Delta{}, false
	}
	// What was removed before the last list is not known here by name, and a peer
	// that is further behind would keep it for good.
	delta := Delta{Feed: name, Full: after < feed.whole, After: after, AsOf: feed.asOf}
	for _, entry := range feed.entries {
		if delta.Full || entry.item.Revision > after {
			delta.Changes = append(delta.Changes, Change{Item: entry.item, Grace: max(entry.grace.Sub(now), 0)})
		}
	}
	return delta, true
}

// Merge takes what a peer knew and returns whether anything changed. A delta
// that begins after this feed's revision would leave a gap and is not taken.
func (feed *Feed) Merge(now time.Time, delta Delta) bool {
	if delta.After > feed.asOf || delta.AsOf <= feed.asOf {
		return false
	}
	changed := !feed.known
	for _, change := range delta.Changes {
		changed = feed.apply(now, change.Item, change.Grace) || changed
	}
	if delta.Full {
		named := make(map[string]bool, len(delta.Changes))
		for _, change := range delta.Changes {
			// A removal may be of an earlier item than the one that is here.
			named[change.Item.Key] = !change.Item.Deleted
		}
		changed = feed.remove(now, named, delta.AsOf) || changed
	}
	feed.advance(delta.AsOf)
	return changed
}
