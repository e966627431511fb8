package berylfeed

// This file defines how daemons tell each other when the store last answered.

import (
	"maps"
	"time"
)

// ContactID tells answers of the store apart: by the daemon that had one and its count.
type ContactID uint64

// Contact is one answer of the store to some daemon, and how long ago it came.
type Contact struct {
	ID  ContactID
	Age time.Duration
}

// contactMemory is how long a contact is remembered.
const contactMemory = time.Minute

// Contacts knows when the store last answered any daemon that was heard of. A contact
// is dated when it is first heard of. Dated anew whenever a peer passes it on, it
// would grow younger by the way there and back each time.
type Contacts struct {
	// origin is the high half of the ids of this daemon's own contacts, count the low.
	origin, count uint32
	own           time.Time
	newest        time.Time
	id            ContactID
	heard         map[ContactID]time.Time
	pruned        time.Time
}

// NewContacts returns the contacts of a daemon with an origin of its own.
func NewContacts(origin uint32) Contacts { return Contacts{origin: origin} }

// Own notes when the store answered this daemon.
func (contacts *Contacts) Own(at time.Time) {
	if !at.After(contacts.own) {
		return
	}
	contacts.own = at
	contacts.count++
	contacts.take(ContactID(contacts.origin)<<32|ContactID(contacts.count), at)
}

// Heard takes a contact that a peer told of.
func (contacts *Contacts) Heard(now time.Time, contact Contact) {
	if _, known := contacts.heard[contact.ID]; known || uint32(contact.ID>>32) == contacts.origin && contacts.count > 0 {
		return
	}
	contacts.take(contact.ID, now.Add(-contact.Age))
	if now.Sub(contacts.pruned) > contactMemory {
		contacts.pruned = now
		maps.DeleteFunc(contacts.heard, func(_ ContactID, at time.Time) bool { return now.Sub(at) > contactMemory })
	}
}

func (contacts *Contacts) take(id ContactID, at time.Time) {
	if contacts.heard == nil {
		contacts.heard = make(map[ContactID]time.Time)
	}
	contacts.heard[id] = at
	if at.After(contacts.newest) {
		contacts.newest, contacts.id = at, id
	}
}

// Newest returns when the store last answered any daemon that was heard of, zero if
// none is known of.
func (contacts *Contacts) Newest() time.Time { return contacts.newest }

// Contact returns the newest contact as it is told to peers, no older than a bound.
func (contacts *Contacts) Contact(now time.Time, oldest time.Duration) Contact {
	return Contact{ID: contacts.id, Age: min(max(now.Sub(contacts.newest), 0), oldest)}
}
