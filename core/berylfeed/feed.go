package berylfeed

// This file defines the feed and how it moves forward.

import (
	"sort"
	"time"

	"berylspoke"
)

const (
	// Grace is how long an item that vanished around an outage of the store is
	// kept. Writers that live are back about two seconds after the store is.
	Grace = 2200 * time.Millisecond
	// outageEcho is the time after the end of an outage in which vanished items
	// are still put down to it.
	outageEcho = 2500 * time.Millisecond
	// maxRemoved bounds the removed keys that are remembered. They are few (one
	// for each start of a target), and the oldest are of no use to peers.
	maxRemoved = 1024
)

// entry is one key; a removed one is served until grace ends.
type entry struct {
	item berylspoke.Item
	// last is the value before the removal, served during the grace.
	last  []byte
	grace time.Time
}

// Feed is the copy of the items below one prefix.
type Feed struct {
	entries map[string]*entry
	asOf    berylspoke.Revision
	// last is the newest change that was taken. Revisions also count changes
	// below other prefixes, so only this tells whether a peer has news.
	last berylspoke.Revision
	// whole is the revision from which on all removals are known by name: that of
	// the last list, or of the last removal that was forgotten.
	whole   berylspoke.Revision
	removed int
	known   bool
	down    bool
	// contact is when the store last answered this daemon, reached when it last answered
	// any daemon that was heard of.
	contact, reached time.Time
	// recovered is when the store answered again after an outage: after it answered
	// nobody for longer than patience.
	recovered time.Time
	patience  time.Duration
}

// New returns an empty feed.
func New() *Feed { return &Feed{entries: make(map[string]*entry)} }

// SetPatience sets how long the store answers no daemon before that counts as an outage.
func (feed *Feed) SetPatience(patience time.Duration) { feed.patience = patience }

// AsOf returns the revision up to which nothing is missing.
func (feed *Feed) AsOf() berylspoke.Revision { return feed.asOf }

// Last returns the revision of the newest change.
func (feed *Feed) Last() berylspoke.Revision { return feed.last }

// Known says whether the feed has ever held the store's state.
func (feed *Feed) Known() bool { return feed.known }

// Contact returns when the store last answered this daemon.
func (feed *Feed) Contact() time.Time { return feed.contact }

// Up says whether the store answered this daemon's last call.
func (feed *Feed) Up() bool { return !feed.down }

// Failed notes that the store did not answer and says whether that is news.
func (feed *Feed) Failed() bool {
	news := !feed.down
	feed.down = true
	return news
}

// Answered notes that the store answered and says whether it was down before.
func (feed *Feed) Answered(now time.Time) bool {
	news := feed.down
	feed.Reached(now, now)
	feed.down, feed.contact = false, now
	return news
}

// Reached notes that the store answered some daemon at a time.
func (feed *Feed) Reached(now, at time.Time) {
	if feed.outage(at) {
		feed.recovered = now
	}
	if at.After(feed.reached) {
		feed.reached = at
	}
}

// outage says whether the store has answered no daemon for so long that what is missing
// may have lapsed. That it does not answer this daemon says nothing of the others.
func (feed *Feed) outage(now time.Time) bool {
	return feed.down && now.Sub(feed.reached) > feed.patience
}

// Replace takes a full list of the store and returns whether anything changed.
func (feed *Feed) Replace(now time.Time, items []berylspoke.Item, asOf berylspoke.Revision) bool {
	listed := make(map[string]bool, len(items))
	changed := !feed.known
	for _, item := range items {
		listed[item.Key] = true
		changed = feed.apply(now, item, 0) || changed
	}
	changed = feed.remove(now, listed, asOf) || changed
	feed.advance(asOf)
	return changed
}

// remove takes out what is not among the keys of a full list.
func (feed *Feed) remove(now time.Time, listed map[string]bool, asOf berylspoke.Revision) bool {
	changed := false
	for key, entry := range feed.entries {
		if !listed[key] && !entry.item.Deleted && entry.item.Revision <= asOf {
			changed = feed.apply(now, berylspoke.Item{Key: key, Revision: asOf, Deleted: true}, 0) || changed
		}
	}
	feed.whole = max(feed.whole, asOf)
	return changed
}

// Change takes what a watch returned.
func (feed *Feed) Change(now time.Time, items []berylspoke.Item, asOf berylspoke.Revision) bool {
	changed := false
	for _, item := range items {
		changed = feed.apply(now, item, 0) || changed
	}
	feed.advance(asOf)
	return changed
}

func (feed *Feed) advance(asOf berylspoke.Revision) {
	feed.known = true
	feed.asOf = max(feed.asOf, asOf)
}

// apply takes one change if it is newer; the newest revision wins so that lists,
// watches and peers may arrive in any order.
func (feed *Feed) apply(now time.Time, item berylspoke.Item, grace time.Duration) bool {
	old := feed.entries[item.Key]
	if old != nil && (item.Revision < old.item.Revision || item.Revision == old.item.Revision && item.Deleted == old.item.Deleted) {
		return false
	}
	fresh := &entry{item: item}
	if item.Deleted {
		fresh.grace = now.Add(max(grace, feed.graceNow(now)))
		if old != nil {
			fresh.last = old.item.Value
		}
		feed.removed++
	}
	if old != nil && old.item.Deleted {
		feed.removed--
	}
	feed.entries[item.Key] = fresh
	feed.last = max(feed.last, item.Revision)
	feed.forget()
	return true
}

func (feed *Feed) graceNow(now time.Time) time.Duration {
	if feed.outage(now) || !feed.recovered.IsZero() && now.Sub(feed.recovered) < outageEcho {
		return Grace
	}
	return 0
}

// forget drops the oldest removed keys.
func (feed *Feed) forget() {
	for feed.removed > maxRemoved {
		oldest := ""
		for key, entry := range feed.entries {
			if entry.item.Deleted && (oldest == "" || entry.item.Revision < feed.entries[oldest].item.Revision) {
				oldest = key
			}
		}
		feed.whole = max(feed.whole, feed.entries[oldest].item.Revision)
		delete(feed.entries, oldest)
		feed.removed--
	}
}

// Items returns the present items sorted by key, with those in their grace, and
// the time at which the first grace ends, zero for none.
func (feed *Feed) Items(now time.Time) ([]berylspoke.Item, time.Time) {
	var items []berylspoke.Item
	var next time.Time
	for _, entry := range feed.entries {
		if !entry.item.Deleted {
			items = append(items, entry.item)
			continue
		}
		if entry.last == nil || !entry.grace.After(now) {
			continue
		}
		items = append(items, berylspoke.Item{Key: entry.item.Key, Value: entry.last, Revision: entry.item.Revision})
		if next.IsZero() || entry.grace.Before(next) {
			next = entry.grace
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, next
}
