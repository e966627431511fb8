// Package beryledge runs a daemon that forwards callers' requests to the targets
// that a platform publishes.
//
// The model: one actor owns all state that decisions depend on (gate, membership,
// feeds). The goroutine of each request asks the actor for a target and reports the
// outcome of each attempt to it. The goroutine itself reads the whole request, sends
// it, checks the answer and forwards it. Only the Dialect knows the header names and
// item formats of a platform.
package beryledge
