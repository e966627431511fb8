// Package beryledge runs a daemon that forwards callers' requests to targets
// which a platform publishes.
//
// The model: one actor owns all that decides (gate, membership, feeds). The
// goroutine of each request asks it where to go, tells it what it saw, and does
// the rest alone: it reads the request whole, sends it, checks the answer and
// passes it on. What a platform calls things is known to the Dialect only.
package beryledge
