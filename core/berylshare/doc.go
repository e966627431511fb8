// Package berylshare decides whose request is served next and sums what each
// organisation received.
//
// The model: an organisation's tag is the service it received anywhere in the
// fleet, divided by its weight, plus a shift. The waiting request of the lowest
// tag goes first. Service is charged by an estimate when a request starts, by
// tokens beyond the estimate while it streams, and corrected at its end, so
// that a burst of starts cannot outrun its own cost.
//
// The shift places an organisation relative to the virtual time of the pool of
// targets it queues for. Becoming backlogged lifts it to the virtual time, so
// idleness saves no credit. It also keeps the tag between the virtual time less
// the catch-up bound and the virtual time plus the lead bound, so that neither
// a long partition nor capacity that was used while idle elsewhere can starve
// anyone. Shifts are local to an entry; only service is summed.
//
// A Queue belongs to an entry and a service. A Ledger sums the counters of the
// entries that serve an organisation. Counters are cumulative per process, so a
// lost, doubled or late report is harmless; a ledger that starts empty adopts
// what each entry says was already acknowledged.
package berylshare
