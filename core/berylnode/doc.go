// Package berylnode combines the roles of one daemon in a single state machine without
// I/O.
//
// Each input (a message from a peer, a request from a caller, an update from the platform,
// the progress of a request, a tick) is a method that takes the current time as an
// argument. Methods change state and append effects: messages to send, requests to start
// or refuse, orders for engines. Flush does the work that is worth coalescing, and
// TakeEffects returns the effects. The io packages call the methods from one actor, carry
// out the effects and report back, so nothing here blocks, locks or reads a clock.
package berylnode
