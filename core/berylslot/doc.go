// Package berylslot leases the concurrency of targets to entry daemons.
//
// Engines know no priorities, so requests queue in the fleet and each engine is kept just
// full. For each target one daemon, its lessor, decides how many requests may run there
// and leases that many slots to entry daemons. An entry daemon reports its demand to a
// lessor: the number of waiting requests, the tags of the first few, and the slots that
// it holds. The lessor answers with a lease, the number of slots that the entry daemon
// may hold. Both messages carry absolute state and a sequence number, so loss,
// duplication and reordering only cause delay.
//
// While capacity is free, entry daemons hold idle slots and start requests without a
// round trip. Under contention the lessor recalls idle slots. An entry daemon whose
// request ends then reuses the slot without a round trip if its next tag is within the
// threshold of the last lease, and returns the slot otherwise.
//
// Each side has its own state: the lessor's, with a Limiter per target that finds how
// many requests the target can run, and the Holder of an entry daemon.
package berylslot
