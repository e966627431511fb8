// Package berylroute decides where requests go.
//
// By rendezvous hashing, each target has one lessor among the live VMs of its region, and
// each organisation a few entry daemons among the live VMs. Steering an organisation to
// few entry daemons keeps its sums and its prompt prefixes in few places. An entry daemon
// requests slots from the lessors of its own region; it turns to the other region only
// for requests that have waited for long, within a budget of bytes. Retries draw on a
// budget too, so that an outage does not multiply the load.
package berylroute
