// Package berylslot leases the concurrency of targets to entries.
//
// The model: engines know no priorities, so requests wait in the fleet and an
// engine is kept just full. For each target one daemon, its keeper, decides how
// many requests may run there and leases that number in slots to entries. An
// entry states its whole view to a keeper in an Ask: how many requests wait, the
// tags of the first few, and what it holds. The keeper states what the entry
// may hold in a Lease. Both are absolute and numbered, so that loss, repetition
// and reordering only delay.
//
// While capacity is free, entries hold idle slots and start requests without a
// round trip. Under contention idle slots are recalled, and an entry whose
// request ends reuses the slot without asking as long as its next tag is within
// the threshold that the keeper last told it; otherwise it returns the slot.
//
// A Keeper is the leasing side, a Holder the side of one entry, and a Limiter
// finds how many requests a target takes.
package berylslot
