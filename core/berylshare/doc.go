// Package berylshare decides whose request is served next and sums what each
// organisation received.
//
// The model: an organisation's tag is the service it received anywhere in the
// fleet, divided by its weight, raised to the virtual time whenever it becomes
// backlogged, so that idleness saves no credit. The waiting request of the
// lowest tag goes first. Service is charged by an estimate when a request
// starts, by tokens beyond the estimate while it streams, and corrected at its
// end, so that a burst of starts cannot outrun its own cost.
//
// The virtual time is that of the pool of targets an entry draws on: the
// highest tag started there. A tag is kept between the virtual time less the
// catch-up bound and the virtual time plus the lead bound, so that neither a long
// partition nor capacity that was used while idle elsewhere can starve anyone.
//
// A Queue belongs to an entry and a service. A Ledger sums the counters of the
// entries that serve an organisation into its tag. Counters are cumulative per process, so a
// lost, doubled or late report is harmless; a ledger that starts empty adopts
// what each entry says was already acknowledged.
package berylshare
