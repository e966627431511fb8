// Package berylshare implements fleet-wide weighted fair queueing between organisations.
//
// An organisation's tag is the service it received anywhere in the fleet, divided by its
// weight. The tag is raised to the virtual time whenever the organisation becomes
// backlogged, so idle periods earn no credit. The waiting request with the lowest tag is
// served first. A request is charged an estimate when it starts, any tokens beyond the
// estimate while it streams, and the difference to its actual cost when it finishes, so an
// organisation cannot start a burst of requests before their cost is charged.
//
// The virtual time belongs to the pool of targets that an entry daemon uses: it is the
// highest tag started there. A tag stays between the virtual time minus the catch-up bound
// and the virtual time plus the lead bound, so that neither a long partition nor the use
// of capacity that was idle elsewhere can starve an organisation.
//
// A Queue belongs to one entry daemon and one service. A Ledger sums the counters of the
// entry daemons that serve an organisation into its tag. Counters are cumulative per
// process, so lost, duplicated or late reports do no harm. A ledger that starts empty
// continues from the totals that an earlier ledger acknowledged to the entry daemons.
package berylshare
