// Package berylnode composes the roles of one daemon into a single state
// machine without I/O.
//
// The model: each input (a message of a peer, a request of a caller, news of
// the platform, the progress of a request, a tick) is a method with the present
// time as an argument. Methods change state and append effects: messages to
// send, requests to start, requests to refuse, orders to give. Flush runs the
// work that is worth coalescing and returns the effects. The io packages call
// the methods from one actor, carry the effects out and report back, so nothing
// here blocks, locks or reads a clock.
package berylnode
