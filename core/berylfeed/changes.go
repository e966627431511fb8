package berylfeed

// This file defines how the user of a feed follows its changes one by one, and the order
// of changes by position, from which peers are sent what they lack.

import (
	"slices"
	"time"

	"berylspoke"
)

// changes are the keys whose visible items the user of a feed has not taken yet.
type changes struct {
	untaken map[string]bool
	// timed are the keys that become visible or invisible by time.
	timed map[string]bool
}

func newChanges() changes {
	return changes{untaken: make(map[string]bool), timed: make(map[string]bool)}
}

// TakeChanges returns the visible items that changed since the last call, sorted by key,
// and the time at which the next item becomes visible or invisible, zero for none. An item is
// deleted once its grace period has ended, and while it is withheld.
func (feed *Feed) TakeChanges(now time.Time) ([]berylspoke.Item, time.Time) {
	keys := make([]string, 0, len(feed.changes.untaken)+len(feed.changes.timed))
	for key := range feed.changes.untaken {
		keys = append(keys, key)
	}
	for key := range feed.changes.timed {
		if !feed.changes.untaken[key] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var items []berylspoke.Item
	var next time.Time
	for _, key := range keys {
		record, timed := feed.records[key], feed.changes.timed[key]
		delete(feed.changes.timed, key)
		if record == nil {
			items = append(items, berylspoke.Item{Key: key, Deleted: true})
			continue
		}
		changesAt := record.changesAt(now)
		if !changesAt.IsZero() {
			feed.changes.timed[key] = true
			if next.IsZero() || changesAt.Before(next) {
				next = changesAt
			}
		}
		switch {
		case !record.visible(now):
			items = append(items, berylspoke.Item{Key: key, Deleted: true})
		case feed.changes.untaken[key] || timed && changesAt.IsZero():
			items = append(items, record.shown())
		}
	}
	clear(feed.changes.untaken)
	return items, next
}

// withheld reports whether a present item is not served.
func (record *record) withheld(now time.Time) bool {
	return !record.item.Deleted && now.Before(record.withheldUntil)
}

// visible reports whether the item is served: it is present, or in its grace period.
func (record *record) visible(now time.Time) bool {
	if record.item.Deleted {
		return record.lastValue != nil && record.graceUntil.After(now)
	}
	return !record.withheld(now)
}

// changesAt returns when the item becomes visible or invisible by time, zero for never.
func (record *record) changesAt(now time.Time) time.Time {
	switch {
	case record.item.Deleted && record.visible(now):
		return record.graceUntil
	case record.withheld(now):
		return record.withheldUntil
	}
	return time.Time{}
}

// shown returns the item, with its last value during its grace period.
func (record *record) shown() berylspoke.Item {
	if !record.item.Deleted {
		return record.item
	}
	return berylspoke.Item{Key: record.item.Key, Value: record.lastValue, Position: record.item.Position}
}

// order lists records by position. Records that were superseded stay in it until they are
// more than half of it.
type order struct {
	records    []*record
	superseded int
}

// compareAfter orders a record before a position that is not earlier than its own.
func compareAfter(record *record, position berylspoke.Position) int {
	if record.item.Position.After(position) {
		return 1
	}
	return -1
}

func (order *order) add(added *record) {
	at := len(order.records)
	if at > 0 && order.records[at-1].item.Position.After(added.item.Position) {
		at, _ = slices.BinarySearchFunc(order.records, added.item.Position, compareAfter)
	}
	order.records = slices.Insert(order.records, at, added)
}

func (order *order) drop(old *record) {
	if old == nil {
		return
	}
	old.superseded = true
	order.superseded++
	if 2*order.superseded > len(order.records) {
		order.records = slices.DeleteFunc(order.records, func(record *record) bool { return record.superseded })
		order.superseded = 0
	}
}

// after returns the records that changed after a position, including superseded ones.
func (order *order) after(position berylspoke.Position) []*record {
	first, _ := slices.BinarySearchFunc(order.records, position, compareAfter)
	return order.records[first:]
}
