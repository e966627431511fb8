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
	// inGrace are the removed keys that are still visible.
	inGrace map[string]bool
}

func newChanges() changes {
	return changes{untaken: make(map[string]bool), inGrace: make(map[string]bool)}
}

// TakeChanges returns the visible items that changed since the last call, sorted by key,
// and the time at which the next grace period ends, zero for none. An item is deleted once
// its grace period has ended.
func (feed *Feed) TakeChanges(now time.Time) ([]berylspoke.Item, time.Time) {
	keys := make([]string, 0, len(feed.changes.untaken)+len(feed.changes.inGrace))
	for key := range feed.changes.untaken {
		keys = append(keys, key)
	}
	for key := range feed.changes.inGrace {
		if !feed.changes.untaken[key] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var items []berylspoke.Item
	var next time.Time
	for _, key := range keys {
		record, changed := feed.records[key], feed.changes.untaken[key]
		delete(feed.changes.inGrace, key)
		switch {
		case record == nil || record.item.Deleted && !record.visible(now):
			items = append(items, berylspoke.Item{Key: key, Deleted: true})
			continue
		case record.item.Deleted:
			feed.changes.inGrace[key] = true
			if next.IsZero() || record.graceUntil.Before(next) {
				next = record.graceUntil
			}
		}
		if changed {
			items = append(items, record.shown())
		}
	}
	clear(feed.changes.untaken)
	return items, next
}

// visible reports whether the item is present or in its grace period.
func (record *record) visible(now time.Time) bool {
	return !record.item.Deleted || record.lastValue != nil && record.graceUntil.After(now)
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
