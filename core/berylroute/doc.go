// Package berylroute decides where requests go.
//
// The model: each target has one keeper among the live VMs of its region, and
// each organisation a few entries among the live VMs, by rendezvous hashing.
// Steering an organisation to few entries keeps its sums and its prompt
// prefixes in few places. An entry asks the keepers of its own region; it turns
// to the other region only for requests that have waited long, within a budget
// of bytes. Retries draw on a budget too, so that an outage does not multiply
// load.
package berylroute
