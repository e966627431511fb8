// Package berylload generates load on a running fleet and measures it: the gap of
// normalised service between organisations, which shows fairness while all of them
// are backlogged, the utilisation of the engines, control bytes, bytes between
// regions and latency.
//
// Each organisation has callers at some of the entry daemons. A closed loop keeps a
// number of requests outstanding, an open loop sends at a given rate whatever the
// responses are. All random choices derive from a seed.
package berylload
