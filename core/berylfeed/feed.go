package berylfeed

// This file defines the feed and how it advances.

import (
	"bytes"
	"slices"
	"sort"
	"time"

	"berylspoke"
)

const (
	// Grace is how long an item that disappeared around an outage of the store, or that
	// the copy lacks from which it returned, is kept. Writers that are alive write again about two seconds after the store returns.
	Grace = 2200 * time.Millisecond
	// lapseWindow is the time after the end of an outage in which the removal of an
	// item is still attributed to the outage.
	lapseWindow = 2500 * time.Millisecond
	// defaultLifetime is how long a store is taken to keep an item whose writer has ended.
	defaultLifetime = 5 * time.Second
	// maxRemoved bounds the removed keys that are remembered. They are few (one
	// for each start of a target), and the oldest are of no use to peers.
	maxRemoved = 1024
)

// record is the state of one key. A removed item is served until graceUntil.
type record struct {
	item berylspoke.Item
	// lastValue is the value before the removal, served during the grace period.
	lastValue  []byte
	graceUntil time.Time
	// carried is set if the value may be later than what the store holds in this era: the
	// store returned from a copy that lacks it.
	carried bool
	// withheldUntil is until when a present item is not served: it was known to be removed
	// before the store returned from a copy that holds it.
	withheldUntil time.Time
	// removed is the sequence of the last value before a removal, nil if unknown.
	removed *berylspoke.Sequence
	// superseded is set once the key has a newer record.
	superseded bool
}

// Feed is the replica of the items below one prefix.
type Feed struct {
	records map[string]*record
	order   order
	// sequence returns the position of a value among those of its writer.
	sequence func(berylspoke.Item) (berylspoke.Sequence, bool)
	// lifetime is how long the store keeps an item whose writer has ended.
	lifetime time.Duration
	changes  changes
	// bytes is the size of the present items without keys and positions.
	bytes int
	asOf  berylspoke.Position
	// lastChange is the position of the newest change that was applied. The store's
	// revisions also count changes below other prefixes, so only this one tells
	// whether a peer has updates.
	lastChange berylspoke.Position
	// removalsFrom is the position after which every removal is known by its key: that
	// of the last list, or of the last removal that was pruned.
	removalsFrom berylspoke.Position
	removedCount int
	known        bool
	down         bool
	// lastAnswer is when the store last answered this daemon, lastAnswerToAny when it
	// last answered any daemon, as far as is known.
	lastAnswer, lastAnswerToAny time.Time
	// recoveredAt is when the store answered again after an outage, or in a new era.
	recoveredAt time.Time
	// outageThreshold is how long the store answers no daemon before that counts as an
	// outage.
	outageThreshold time.Duration
}

// New returns an empty feed. The function returns the position of an item's value among
// those of its writer, and false if the value does not tell.
func New(sequence func(berylspoke.Item) (berylspoke.Sequence, bool)) *Feed {
	return &Feed{records: make(map[string]*record), changes: newChanges(), sequence: sequence, lifetime: defaultLifetime}
}

// SetOutageThreshold sets how long the store answers no daemon before that counts as an
// outage.
func (feed *Feed) SetOutageThreshold(threshold time.Duration) { feed.outageThreshold = threshold }

// SetLifetime sets how long the store keeps an item whose writer has ended.
func (feed *Feed) SetLifetime(lifetime time.Duration) { feed.lifetime = lifetime }

// AsOf returns the position up to which the feed is complete.
func (feed *Feed) AsOf() berylspoke.Position { return feed.asOf }

// LastChange returns the position of the newest change that was applied.
func (feed *Feed) LastChange() berylspoke.Position { return feed.lastChange }

// ClaimPosition returns the position that another replica must have reached to be complete
// if this one is. It is that of the newest change, or of the last list if that is newer: a
// list does not tell which unknown keys were removed before it.
func (feed *Feed) ClaimPosition() berylspoke.Position {
	return feed.lastChange.Later(feed.removalsFrom)
}

// Bytes returns the size of the present items without keys and positions.
func (feed *Feed) Bytes() int { return feed.bytes }

// Known reports whether the feed has ever held the store's state.
func (feed *Feed) Known() bool { return feed.known }

// Contact returns when the store last answered this daemon.
func (feed *Feed) Contact() time.Time { return feed.lastAnswer }

// Up reports whether the store answered this daemon's last call.
func (feed *Feed) Up() bool { return !feed.down }

// Kept counts the items of a feed that the store does not hold as they are served.
type Kept struct {
	// Carried values are later than those of the copy from which the store returned,
	// Withheld items were removed before it returned, and InGrace items have disappeared.
	Carried, Withheld, InGrace int
}

// Kept returns what the feed keeps against the store at present.
func (feed *Feed) Kept(now time.Time) Kept {
	var kept Kept
	for _, record := range feed.records {
		switch {
		case record.withheld(now):
			kept.Withheld++
		case record.item.Deleted && record.visible(now):
			kept.InGrace++
		case record.carried:
			kept.Carried++
		}
	}
	return kept
}

// Failed records that the store did not answer this daemon and reports whether it was up
// before.
func (feed *Feed) Failed() bool {
	changed := !feed.down
	feed.down = true
	return changed
}

// Answered records that the store answered this daemon and reports whether it was down
// before.
func (feed *Feed) Answered(now time.Time) bool {
	changed := feed.down
	feed.AnsweredAny(now, now)
	feed.down, feed.lastAnswer = false, now
	return changed
}

// AnsweredAny records that the store answered some daemon at the given time.
func (feed *Feed) AnsweredAny(now, at time.Time) {
	if feed.outage(at) {
		feed.recoveredAt = now
	}
	if at.After(feed.lastAnswerToAny) {
		feed.lastAnswerToAny = at
	}
}

// outage reports whether the store has answered no daemon for so long that missing items
// may have lapsed. A failure to answer this daemon alone does not count, since the store
// may still answer the others.
func (feed *Feed) outage(now time.Time) bool {
	return feed.down && now.Sub(feed.lastAnswerToAny) > feed.outageThreshold
}

// Replace applies a full list of the store and reports whether anything changed. A list of
// an earlier era is late and is not applied.
func (feed *Feed) Replace(now time.Time, items []berylspoke.Item, asOf berylspoke.Position) bool {
	if asOf.Era < feed.asOf.Era {
		return false
	}
	listed := make(map[string]bool, len(items))
	changed := feed.begin(now, asOf.Era)
	for _, item := range items {
		listed[item.Key] = true
		changed = feed.apply(now, Change{Item: item}) || changed
	}
	changed = feed.remove(now, listed, asOf) || changed
	feed.advance(asOf)
	return changed
}

// remove removes the items that a full list does not contain.
func (feed *Feed) remove(now time.Time, listed map[string]bool, asOf berylspoke.Position) bool {
	changed := false
	for key, record := range feed.records {
		if !listed[key] && !record.item.Deleted && !record.item.Position.After(asOf) {
			changed = feed.apply(now, Change{Item: berylspoke.Item{Key: key, Position: asOf, Deleted: true}}) || changed
		}
	}
	feed.removalsFrom = feed.removalsFrom.Later(asOf)
	return changed
}

// ApplyChanges applies the changes that a watch returned and reports whether anything
// changed. The changes of another era continue from a state that this feed does not have
// and are not applied.
func (feed *Feed) ApplyChanges(now time.Time, items []berylspoke.Item, asOf berylspoke.Position) bool {
	if asOf.Era != feed.asOf.Era {
		return false
	}
	changed := false
	for _, item := range items {
		changed = feed.apply(now, Change{Item: item}) || changed
	}
	feed.advance(asOf)
	return changed
}

// begin prepares the feed for a list and reports whether that is its first one of the era.
// The copy may lack items whose writers are alive. Peers of an earlier era need the list even
// if it holds no items.
func (feed *Feed) begin(now time.Time, era berylspoke.Era) bool {
	first := !feed.known || era > feed.asOf.Era
	if first && feed.known {
		feed.recoveredAt = now
	}
	feed.lastChange = feed.lastChange.Later(berylspoke.Position{Era: era})
	return first
}

// advance records that the feed is complete up to a position.
func (feed *Feed) advance(asOf berylspoke.Position) {
	feed.known = true
	feed.asOf = feed.asOf.Later(asOf)
}

// apply applies a change if it is newer than the present one. The latest position wins,
// so the results of lists, watches and peers may arrive in any order.
func (feed *Feed) apply(now time.Time, change Change) bool {
	item := change.Item
	old := feed.records[item.Key]
	next := &record{item: item, carried: change.Carried}
	if change.Withheld > 0 {
		next.withheldUntil = now.Add(change.Withheld)
	}
	if old != nil && !feed.supersede(now, old, next) {
		return false
	}
	if item.Deleted {
		next.graceUntil = now.Add(max(change.Grace, feed.currentGrace(now)))
		if old != nil {
			feed.remember(now, old, next)
		}
		feed.removedCount++
	}
	feed.drop(old)
	if !item.Deleted {
		feed.bytes += len(next.item.Value)
	}
	feed.records[item.Key] = next
	feed.order.add(next)
	if old == nil || old.item.Deleted || item.Deleted || old.withheldUntil != next.withheldUntil || !bytes.Equal(old.item.Value, next.item.Value) {
		feed.changes.untaken[item.Key] = true
	}
	feed.lastChange = feed.lastChange.Later(next.item.Position)
	feed.pruneRemoved()
	return true
}

// remember completes the record of a removed item with what is known of its last value.
func (feed *Feed) remember(now time.Time, old, next *record) {
	switch {
	case old.item.Deleted:
		next.lastValue, next.removed = old.lastValue, old.removed
		if old.graceUntil.Before(next.graceUntil) {
			next.graceUntil = old.graceUntil
		}
	case old.withheld(now):
		next.removed = old.removed
	default:
		next.lastValue = old.item.Value
		if sequence, known := feed.sequence(old.item); known {
			next.removed = &sequence
		}
	}
}

// supersede reports whether a record supersedes the present one of its key, and completes
// it with what is known from earlier eras.
func (feed *Feed) supersede(now time.Time, old, next *record) bool {
	order := next.item.Position.Compare(old.item.Position)
	returned := next.item.Position.Era > old.item.Position.Era
	switch {
	case next.item.Deleted:
	case !old.item.Deleted && (next.carried || old.carried || returned):
		if returned && old.withheld(now) && feed.endedRun(old, next) {
			feed.withhold(now, old, next)
		}
		return feed.carry(old, next)
	case old.item.Deleted && returned && !old.visible(now) && feed.endedRun(old, next):
		feed.withhold(now, old, next)
	case old.item.Deleted && old.lastValue != nil:
		feed.carry(&record{item: old.shown()}, next)
	}
	return order > 0 || order == 0 && next.item.Deleted != old.item.Deleted
}

// endedRun reports whether an item was written by a run of its writer that was known to have
// removed it. Writers without runs may write an item again.
func (feed *Feed) endedRun(old, next *record) bool {
	sequence, known := feed.sequence(next.item)
	return known && sequence.Run != 0 && old.removed != nil && sequence.Run <= old.removed.Run
}

// withhold keeps an item from being served for a while. If its writer is alive, it writes the
// item again or the item outlives the lifetime of those whose writers have ended.
func (feed *Feed) withhold(now time.Time, old, next *record) {
	next.removed = old.removed
	next.withheldUntil = now.Add(feed.lifetime)
}

// carry completes a record with the value of the present one if that is the later one of its
// writer. The store of an older copy holds an earlier value until its writer writes again. It
// reports whether anything changed.
func (feed *Feed) carry(old, next *record) bool {
	position := old.item.Position.Later(next.item.Position)
	switch {
	case bytes.Equal(old.item.Value, next.item.Value):
		// A peer that is ahead may know that the store holds an earlier value.
		next.carried = next.carried && (old.carried || next.item.Position.After(old.item.Position))
	case !next.carried && writtenSince(old, next) && feed.runsDiffer(old.item, next.item):
		// A run that is alive wrote in this era.
	case feed.precedes(next.item, old.item), next.carried && !feed.precedes(old.item, next.item):
		next.item.Value, next.carried = old.item.Value, true
	}
	next.item.Position = position
	return position != old.item.Position || !bytes.Equal(old.item.Value, next.item.Value)
}

// writtenSince reports whether a record was written in the era of another, after it.
func writtenSince(old, next *record) bool {
	return next.item.Position.Era == old.item.Position.Era && next.item.Position.After(old.item.Position)
}

// runsDiffer reports whether two values are known to be of different runs of their writer.
func (feed *Feed) runsDiffer(item, other berylspoke.Item) bool {
	one, oneKnown := feed.sequence(item)
	two, twoKnown := feed.sequence(other)
	return oneKnown && twoKnown && one.Run != two.Run
}

// precedes reports whether a value is known to be an earlier one of its writer than another.
func (feed *Feed) precedes(item, other berylspoke.Item) bool {
	one, known := feed.sequence(item)
	if !known {
		return false
	}
	later, known := feed.sequence(other)
	return known && one.Compare(later) < 0
}

// Item returns the item of a key as it is served, and false if none is.
func (feed *Feed) Item(now time.Time, key string) (berylspoke.Item, bool) {
	record := feed.records[key]
	if record == nil || !record.visible(now) {
		return berylspoke.Item{}, false
	}
	return record.shown(), true
}

// drop takes a superseded or pruned record out of the sums and the order.
func (feed *Feed) drop(old *record) {
	if old == nil {
		return
	}
	if old.item.Deleted {
		feed.removedCount--
	} else {
		feed.bytes -= len(old.item.Value)
	}
	feed.order.drop(old)
}

// currentGrace returns the grace period of an item that is removed now.
func (feed *Feed) currentGrace(now time.Time) time.Duration {
	if feed.outage(now) || !feed.recoveredAt.IsZero() && now.Sub(feed.recoveredAt) < lapseWindow {
		return Grace
	}
	return 0
}

// pruneRemoved drops the oldest removed keys beyond maxRemoved.
func (feed *Feed) pruneRemoved() {
	for feed.removedCount > maxRemoved {
		at := slices.IndexFunc(feed.order.records, func(record *record) bool { return !record.superseded && record.item.Deleted })
		oldest := feed.order.records[at]
		feed.removalsFrom = feed.removalsFrom.Later(oldest.item.Position)
		delete(feed.records, oldest.item.Key)
		feed.drop(oldest)
	}
}

// Items returns the visible items, sorted by key, and the time at which the next item becomes
// visible or invisible, zero for none.
func (feed *Feed) Items(now time.Time) ([]berylspoke.Item, time.Time) {
	var items []berylspoke.Item
	var next time.Time
	for _, record := range feed.records {
		if record.visible(now) {
			items = append(items, record.shown())
		}
		if at := record.changesAt(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, next
}
