package berylfeed

// This file defines the messages by which daemons synchronise their feeds.

import (
	"bytes"
	"time"

	"berylspoke"
)

// Name identifies one of the feeds of a daemon.
type Name uint8

// The feeds.
const (
	Configuration Name = iota
	Targets
	// Count is the number of feeds.
	Count
)

// String returns the feed as a metric label.
func (name Name) String() string { return [...]string{"configuration", "targets"}[name] }

// Pull asks a peer for its changes after a position.
type Pull struct {
	Feed  Name
	After berylspoke.Position
}

// Change is one item of a delta.
type Change struct {
	Item berylspoke.Item
	// Grace is the remaining grace period of a removed item at the sender.
	Grace time.Duration
	// Withheld is how much longer the sender does not serve a present item.
	Withheld time.Duration
	// Carried is set if the value may be later than what the store holds.
	Carried bool
}

// Delta holds all changes after one position up to another of the same era. A full delta
// holds all items instead; items that it does not contain are removed.
type Delta struct {
	Feed    Name
	Full    bool
	After   berylspoke.Position
	AsOf    berylspoke.Position
	Changes []Change
}

// Bytes returns the size of the items of the delta without keys and positions.
func (delta Delta) Bytes() int {
	size := 0
	for _, change := range delta.Changes {
		size += len(change.Item.Value)
	}
	return size
}

// PeerMessage implements berylspoke.Message.
func (Pull) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (Delta) PeerMessage() {}

var (
	_ berylspoke.Message = Pull{}
	_ berylspoke.Message = Delta{}
)

// Since returns the delta for a peer that is complete up to a position. It returns false
// if this feed knows nothing newer. A peer of an earlier era gets a full delta, as each era
// begins with a list.
func (feed *Feed) Since(now time.Time, name Name, after berylspoke.Position) (Delta, bool) {
	if !feed.known || !feed.asOf.After(after) {
		return Delta{}, false
	}
	// The keys removed before the last list are not known here. A peer that is further
	// behind would keep them forever, so it gets a full delta.
	delta := Delta{Feed: name, Full: feed.removalsFrom.After(after), After: after, AsOf: feed.asOf}
	records := feed.order.records
	if !delta.Full {
		records = feed.order.after(after)
	}
	for _, record := range records {
		if !record.superseded {
			delta.Changes = append(delta.Changes, Change{
				Item: record.item, Grace: max(record.graceUntil.Sub(now), 0), Withheld: max(record.withheldUntil.Sub(now), 0), Carried: record.carried,
			})
		}
	}
	return delta, true
}

// adopt takes those values of a peer that is not ahead that are later ones of their writers,
// and reports whether there are any. The peer knows them from before the store returned.
func (feed *Feed) adopt(now time.Time, delta Delta) bool {
	changed := false
	for _, change := range delta.Changes {
		old := feed.records[change.Item.Key]
		if old == nil || old.item.Deleted || old.withheld(now) || change.Item.Deleted || change.Withheld > 0 {
			continue
		}
		if bytes.Equal(old.item.Value, change.Item.Value) || !feed.precedes(old.item, change.Item) {
			continue
		}
		change.Item.Position, change.Carried = old.item.Position, true
		changed = feed.apply(now, change) || changed
	}
	return changed
}

// Merge applies a peer's delta and reports whether anything changed. A delta that starts
// after this feed's position, or in another era, would leave a gap and is not applied.
func (feed *Feed) Merge(now time.Time, delta Delta) bool {
	if !delta.AsOf.After(feed.asOf) {
		return feed.adopt(now, delta)
	}
	if delta.After.After(feed.asOf) || !delta.Full && delta.AsOf.Era != feed.asOf.Era {
		return false
	}
	changed := feed.begin(now, delta.AsOf.Era)
	for _, change := range delta.Changes {
		changed = feed.apply(now, change) || changed
	}
	if delta.Full {
		present := make(map[string]bool, len(delta.Changes))
		for _, change := range delta.Changes {
			// The peer's removal may be older than the item here; even so, the key is
			// absent at delta.AsOf.
			present[change.Item.Key] = !change.Item.Deleted
		}
		changed = feed.remove(now, present, delta.AsOf) || changed
	}
	feed.advance(delta.AsOf)
	return changed
}
