// Package berylserve runs one daemon: the node of package berylnode in an actor, with
// the sockets and timers around it.
//
// One actor owns the node and handles one message at a time, so the node needs no
// lock. An HTTP handler sends its request to the actor and waits for the decision on a
// channel. The goroutines that watch the platform, poll the load of targets and send
// ticks use messages too. After each message the actor executes the effects that the
// node returned. Work that can be batched, such as messages to peers, waits for a flush
// a few milliseconds later.
package berylserve
