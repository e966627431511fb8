// Package berylslot leases the concurrency of targets to entry daemons.
//
// Engines do not prioritise requests, so requests queue in the fleet, and each engine gets
// just as many as it can run at once. For each target one daemon, its lessor, decides how
// many requests may run there and leases that many slots to entry daemons. An entry daemon
// reports its demand to a lessor: the number of waiting requests, the tags of the first
// few, and the slots that it holds. The lessor answers with a lease, the number of slots
// that the entry daemon may hold. Both messages carry absolute state and a sequence
// number, so loss, duplication and reordering only cause delay.
//
// While capacity is free, entry daemons hold idle slots and start requests without a
// round trip. Under contention the lessor recalls idle slots. An entry daemon whose
// request ends then reuses the slot without a round trip if its next tag is within the
// threshold of the last lease, and returns the slot otherwise.
//
// The lessor's state has a Limiter for each target, which finds how many requests the
// target can run. An entry daemon's state for one service is a Holder.
package berylslot
