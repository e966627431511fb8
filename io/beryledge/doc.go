// Package beryledge runs a daemon that forwards callers' requests to targets
// which a platform publishes.
//
// The model: one actor owns all state that decisions depend on (gate, membership,
// feeds). The goroutine of each request asks the actor for a target and reports the
// outcome of each attempt to it. Everything else it does itself: it reads the whole
// request, sends it, checks the answer and forwards it. Only the Dialect knows the
// header names and item formats of a platform.
package beryledge
