// Package berylmember tracks which daemons are alive and places roles on them.
//
// The model: the platform lists VMs with a lag. Between two lists, daemons
// watch each other: each sends a heartbeat to a few successors on a ring, at
// distances that grow by powers of four, and is monitored by the ones that
// should receive it. What a monitor notices spreads as rumours over the same
// links, so a daemon's traffic grows with the logarithm of the fleet. A rumour
// that wrongs a live daemon is refuted by a higher counter of that daemon.
//
// Roles are placed by rendezvous hashing over the live VMs. Two daemons may
// disagree for a while about who holds a role, and every role tolerates that.
package berylmember
