// Package berylconn sends requests to targets over connections that it keeps.
//
// The model: one connection carries one request at a time and is used again
// only after a whole answer of the right request, with nothing left to read.
// Unlike net/http's own transport the pool never sends a request twice: a
// failure is returned together with whether a byte of the request may have
// reached the target, and the decision to go on is the caller's. Requests and
// answers are written and parsed by net/http.
package berylconn
