package berylintake

import (
	"container/list"
	"time"

	"berylspoke"
)

const (
	// ConnectionBytes is what a connection takes in itself: the stack of its goroutine, its buffers and a
	// small request.
	ConnectionBytes = 20 << 10
	// FreeBytes is what a request, and its answer, may take as part of ConnectionBytes.
	FreeBytes = 8 << 10
	// patience is how long a connection may keep the process waiting before it may be evicted for memory.
	patience = time.Second
	// leavingShare is the part of the connections, and of the memory, that may belong to connections that
	// are evicted and not closed yet.
	leavingShare = 8
	// maxEvictions bounds the connections that are evicted for one request.
	maxEvictions = 8
)

// Limits bound what all callers together make a process hold.
type Limits struct {
	// Bytes bounds the memory, zero for no bound.
	Bytes int64
	// Connections bounds the open connections, zero for no bound.
	Connections int
}

// Entry is one connection in a ledger.
type Entry struct {
	// Evict ends the connection. It is called without the locks of the ledger's owner.
	Evict func()
	// since is when the connection began to wait for its caller.
	since time.Time
	// place is the place among the connections that wait for their callers, nil if this one does not.
	place *list.Element
	// organisation holds bytes for the connection's request; it is empty while it is not known.
	organisation berylspoke.OrganisationID
	bytes        int64
	// serving is set while a whole request is served, for an organisation, and leaving once the connection is evicted.
	serving, leaving bool
	servedFor        berylspoke.OrganisationID
}

// Ledger holds what callers make a process hold. It is not safe for concurrent use.
type Ledger struct {
	limits Limits
	// connections counts the open ones, leaving those of them that are evicted and leavingBytes what these held.
	connections, leaving int
	leavingBytes         int64
	held                 map[berylspoke.OrganisationID]int64
	heldTotal            int64
	// served are the requests in service, serving their number.
	served  map[berylspoke.OrganisationID]int
	serving int
	// waiting are the connections that wait for their callers, the longest first.
	waiting *list.List
}

// NewLedger returns a ledger without connections.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, held: make(map[berylspoke.OrganisationID]int64), served: make(map[berylspoke.OrganisationID]int), waiting: list.New()}
}

// Connections returns the number of open connections that are not evicted.
func (ledger *Ledger) Connections() int { return ledger.connections - ledger.leaving }

// Held returns the bytes that requests hold beyond those of their connections.
func (ledger *Ledger) Held() int64 { return ledger.heldTotal }

// Open adds a connection, with the one that is evicted for it, if any. It returns false if there is no room.
func (ledger *Ledger) Open(now time.Time, entry *Entry) (evicted *Entry, opened bool) {
	if ledger.Full() {
		if evicted = ledger.EvictLongest(); evicted == nil {
			return nil, false
		}
	}
	ledger.connections++
	ledger.wait(now, entry)
	return evicted, true
}

// Full reports whether there is no room for a connection.
func (ledger *Ledger) Full() bool {
	return ledger.limits.Connections > 0 && ledger.Connections() >= ledger.limits.Connections
}

// EvictLongest evicts the connection that has waited longest for its caller, and returns nil if there is none or
// too many evicted ones are still open.
func (ledger *Ledger) EvictLongest() *Entry {
	front := ledger.waiting.Front()
	if front == nil || ledger.leaving >= max(ledger.limits.Connections/leavingShare, 1) {
		return nil
	}
	entry := front.Value.(*Entry)
	ledger.evict(entry)
	return entry
}

// Begin notes that a request has begun to arrive.
func (ledger *Ledger) Begin(now time.Time, entry *Entry) { ledger.wait(now, entry) }

// Serve notes that a request is whole. It returns false, and changes nothing, if its organisation has more requests in
// service than it leaves connections for others.
func (ledger *Ledger) Serve(entry *Entry) bool {
	if entry.serving {
		return true
	}
	free := ledger.limits.Connections - ledger.serving
	if ledger.limits.Connections > 0 && ledger.served[entry.organisation] >= free {
		return false
	}
	entry.serving, entry.servedFor = true, entry.organisation
	ledger.serving++
	ledger.served[entry.organisation]++
	ledger.unlist(entry)
	return true
}

// endService notes that a request is no longer in service.
func (ledger *Ledger) endService(entry *Entry) {
	if !entry.serving {
		return
	}
	entry.serving = false
	ledger.serving--
	if ledger.served[entry.servedFor]--; ledger.served[entry.servedFor] == 0 {
		delete(ledger.served, entry.servedFor)
	}
}

// Deliver notes that the whole answer to a request is ready.
func (ledger *Ledger) Deliver(now time.Time, entry *Entry) {
	ledger.endService(entry)
	ledger.wait(now, entry)
}

// Idle notes that a request is answered, which releases what it held.
func (ledger *Ledger) Idle(now time.Time, entry *Entry) {
	ledger.endService(entry)
	ledger.set(entry, "", 0)
	ledger.wait(now, entry)
}

// Close removes a connection.
func (ledger *Ledger) Close(entry *Entry) {
	ledger.endService(entry)
	if entry.leaving {
		ledger.leaving--
		ledger.leavingBytes -= entry.bytes
	} else {
		ledger.set(entry, "", 0)
	}
	ledger.unlist(entry)
	ledger.connections--
}

// Charge sets what a request holds on behalf of an organisation, beyond FreeBytes. It returns false if that is too
// much, and changes nothing then. Connections are evicted for it if they belong to the same organisation.
func (ledger *Ledger) Charge(now time.Time, entry *Entry, organisation berylspoke.OrganisationID, bytes int64) (evicted []*Entry, charged bool) {
	if entry.leaving {
		return nil, bytes <= entry.bytes
	}
	for !ledger.fits(entry, organisation, bytes) {
		stalled := ledger.stalled(now, entry, organisation)
		if stalled == nil || len(evicted) == maxEvictions {
			return evicted, false
		}
		ledger.evict(stalled)
		evicted = append(evicted, stalled)
	}
	ledger.set(entry, organisation, bytes)
	return evicted, true
}

// Force is Charge for what is not refused, as another bound holds for it.
func (ledger *Ledger) Force(entry *Entry, bytes int64) { ledger.set(entry, entry.organisation, bytes) }

// fits reports whether an organisation leaves as much free as it holds once a request holds some bytes.
func (ledger *Ledger) fits(entry *Entry, organisation berylspoke.OrganisationID, bytes int64) bool {
	if ledger.limits.Bytes == 0 || bytes == 0 || bytes <= entry.bytes && organisation == entry.organisation {
		return true
	}
	own := ledger.held[organisation] + bytes
	if organisation == entry.organisation {
		own -= entry.bytes
	}
	taken := ledger.heldTotal - entry.bytes + bytes + int64(ledger.connections)*ConnectionBytes
	return own <= ledger.limits.Bytes-taken
}

// stalled returns the connection of an organisation that holds memory and has waited longest for its caller, nil
// if none has waited for long.
func (ledger *Ledger) stalled(now time.Time, but *Entry, organisation berylspoke.OrganisationID) *Entry {
	for place := ledger.waiting.Front(); place != nil; place = place.Next() {
		entry := place.Value.(*Entry)
		switch {
		case now.Sub(entry.since) < patience:
			return nil
		case entry.bytes > 0 && entry != but && entry.organisation == organisation && ledger.leavingBytes+entry.bytes <= ledger.limits.Bytes/leavingShare:
			return entry
		}
	}
	return nil
}

// evict counts a connection as gone. What it holds is free for others until it is closed.
func (ledger *Ledger) evict(entry *Entry) {
	bytes := entry.bytes
	ledger.set(entry, "", 0)
	ledger.unlist(entry)
	entry.leaving, entry.bytes = true, bytes
	ledger.leaving++
	ledger.leavingBytes += bytes
}

// set changes what a request holds.
func (ledger *Ledger) set(entry *Entry, organisation berylspoke.OrganisationID, bytes int64) {
	if entry.leaving {
		return
	}
	ledger.heldTotal += bytes - entry.bytes
	if ledger.held[entry.organisation] -= entry.bytes; ledger.held[entry.organisation] <= 0 {
		delete(ledger.held, entry.organisation)
	}
	if bytes > 0 {
		ledger.held[organisation] += bytes
	}
	entry.organisation, entry.bytes = organisation, bytes
}

// wait puts a connection behind the others that wait for their callers.
func (ledger *Ledger) wait(now time.Time, entry *Entry) {
	entry.since = now
	switch {
	case entry.leaving:
	case entry.place != nil:
		ledger.waiting.MoveToBack(entry.place)
	default:
		entry.place = ledger.waiting.PushBack(entry)
	}
}

func (ledger *Ledger) unlist(entry *Entry) {
	if entry.place != nil {
		ledger.waiting.Remove(entry.place)
		entry.place = nil
	}
}

// Room returns for how many connections there is room, unlimited if there is no bound.
func (ledger *Ledger) Room(unlimited int) int {
	if ledger.limits.Connections == 0 {
		return unlimited
	}
	return ledger.limits.Connections - ledger.Connections()
}
