// Package berylserve runs one daemon: the core in an actor, and sockets and timers
// around it.
//
// The model: one actor owns the node and handles one message at a time, so the
// core needs no lock. Handlers of callers' requests send it messages and wait on
// a channel of their own for the fate of their request. Loops that watch the
// platform, read the load of targets and keep time send it messages too. After
// each message the actor carries out the effects; what is worth coalescing waits
// for a flush a few milliseconds later.
package berylserve
