// Package berylmember tracks which daemons are alive and assigns roles to them.
//
// The platform lists VMs with a lag. Between two lists, daemons detect failures by
// gossip: each sends heartbeats to a few successors on a ring, at distances that grow by
// powers of four, and each is monitored by the daemons that should receive its
// heartbeats. What a monitor detects spreads as rumours over the same links, so a
// daemon's traffic grows with the logarithm of the fleet's size. A live daemon refutes a
// false rumour about itself with a higher counter.
//
// Roles are assigned by rendezvous hashing over the live VMs. Two daemons may disagree
// for a while about who holds a role, and every role tolerates that.
package berylmember
