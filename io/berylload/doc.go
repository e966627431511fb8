// Package berylload drives a running fleet with load and measures it: the gap
// of normalised service between backlogged organisations, the utilisation of
// the engines, control bytes, bytes between regions and latency.
//
// The model: each organisation has callers at the entries that its profile
// names. A closed loop keeps a number of requests outstanding, an open loop
// sends at a rate whatever becomes of them. Everything random comes from a seed.
package berylload
