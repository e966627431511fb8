package berylfeed

// This file defines as of when the feeds of a daemon are complete.

import (
	"time"

	"berylspoke"
)

// maxClaims bounds the claims that wait for changes. Older ones are superseded by newer
// ones once the changes have arrived.
const maxClaims = 64

// claim states that feeds at these positions are complete as of an answer of the store.
type claim struct {
	contact   ContactID
	at        time.Time
	positions [Count]berylspoke.Position
	confirmed [Count]bool
}

// Currency tracks as of when the feeds of a daemon are complete. A contact alone says
// only that the store answers some daemon: this daemon may still lack changes that the
// answer brought.
type Currency struct {
	completeAsOf [Count]time.Time
	// newest is the newest contact as of which all feeds are complete.
	newest   ContactID
	newestAt time.Time
	// claims are those that are not confirmed for all feeds.
	claims []claim
}

// CompleteAsOf returns the time as of which a feed is complete, zero if unknown.
func (currency *Currency) CompleteAsOf(name Name) time.Time { return currency.completeAsOf[name] }

// Newest returns the newest contact as of which all feeds are complete and its time, zero
// if there is none.
func (currency *Currency) Newest() (ContactID, time.Time) { return currency.newest, currency.newestAt }

// Confirm records that a feed is complete as of an answer of the store to this daemon.
func (currency *Currency) Confirm(name Name, at time.Time) {
	if at.After(currency.completeAsOf[name]) {
		currency.completeAsOf[name] = at
	}
}

// Claim records that feeds which are complete up to the given positions are complete as of
// a contact, unless none is known. The claim holds for each feed of this daemon once it has
// reached the position.
func (currency *Currency) Claim(id ContactID, at time.Time, positions []berylspoke.Position, feeds [Count]*Feed) {
	if id == 0 || len(positions) < int(Count) || !at.After(currency.newestAt) {
		return
	}
	fresh := claim{contact: id, at: at}
	copy(fresh.positions[:], positions)
	if !currency.confirm(&fresh, feeds) {
		if len(currency.claims) == maxClaims {
			currency.claims = currency.claims[1:]
		}
		currency.claims = append(currency.claims, fresh)
	}
}

// Advance confirms the claims that the feeds have reached.
func (currency *Currency) Advance(feeds [Count]*Feed) {
	var waiting []claim
	for _, claim := range currency.claims {
		if !currency.confirm(&claim, feeds) && claim.at.After(currency.newestAt) {
			waiting = append(waiting, claim)
		}
	}
	currency.claims = waiting
}

// confirm applies a claim to the feeds that have reached its positions and reports
// whether all have.
func (currency *Currency) confirm(claim *claim, feeds [Count]*Feed) bool {
	all := true
	for name, feed := range feeds {
		if !claim.confirmed[name] && !claim.positions[name].After(feed.AsOf()) {
			claim.confirmed[name] = true
			currency.Confirm(Name(name), claim.at)
		}
		all = all && claim.confirmed[name]
	}
	if all && claim.at.After(currency.newestAt) {
		currency.newest, currency.newestAt = claim.contact, claim.at
	}
	return all
}
