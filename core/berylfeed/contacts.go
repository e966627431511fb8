package berylfeed

// This file defines how daemons share when the store last answered.

import (
	"maps"
	"time"
)

// ContactID identifies an answer of the store by the daemon that received it and that
// daemon's count.
type ContactID uint64

// Contact is one answer of the store to some daemon; Age is the time since then.
type Contact struct {
	ID  ContactID
	Age time.Duration
}

// contactRetention is how long a contact is remembered.
const contactRetention = time.Minute

// Contacts records when the store last answered any daemon of the fleet, as far as this
// daemon knows. A contact is dated only when it is first received: if it were dated
// again whenever a peer passes it on, it would become younger by the network latency of
// each hop.
type Contacts struct {
	// origin is the high half of the ids of this daemon's own contacts, count the low.
	origin, count uint32
	lastOwn       time.Time
	newest        time.Time
	received      map[ContactID]time.Time
	prunedAt      time.Time
}

// NewContacts returns the contacts of a daemon. The origin must differ between daemons.
func NewContacts(origin uint32) Contacts { return Contacts{origin: origin} }

// RecordOwn records when the store answered this daemon and returns the id of the answer.
func (contacts *Contacts) RecordOwn(at time.Time) ContactID {
	if at.After(contacts.lastOwn) {
		contacts.lastOwn = at
		contacts.count++
		contacts.add(contacts.ownID(), at)
	}
	return contacts.ownID()
}

// ownID returns the id of this daemon's newest contact.
func (contacts *Contacts) ownID() ContactID {
	return ContactID(contacts.origin)<<32 | ContactID(contacts.count)
}

// Receive records a contact that a peer reported and returns its time, zero for an own
// contact that is no longer remembered.
func (contacts *Contacts) Receive(now time.Time, contact Contact) time.Time {
	if at, known := contacts.received[contact.ID]; known || uint32(contact.ID>>32) == contacts.origin && contacts.count > 0 {
		return at
	}
	at := now.Add(-contact.Age)
	contacts.add(contact.ID, at)
	if now.Sub(contacts.prunedAt) > contactRetention {
		contacts.prunedAt = now
		maps.DeleteFunc(contacts.received, func(_ ContactID, at time.Time) bool { return now.Sub(at) > contactRetention })
	}
	return at
}

// add records a contact and the time of its answer.
func (contacts *Contacts) add(id ContactID, at time.Time) {
	if contacts.received == nil {
		contacts.received = make(map[ContactID]time.Time)
	}
	contacts.received[id] = at
	if at.After(contacts.newest) {
		contacts.newest = at
	}
}

// Newest returns when the store last answered any daemon, zero if no answer is known.
func (contacts *Contacts) Newest() time.Time { return contacts.newest }
