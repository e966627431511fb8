// Package berylstop decides which requests a daemon still accepts during a planned stop.
//
// A request that the end of the stop cuts may have run, and its caller cannot tell. So a request
// that must not run twice is accepted only if its deadline, by which it has an answer whatever
// its target does, is before the end. One that is safe to repeat is also accepted if the longest
// time that requests of its route were lately seen to take ends before then: if it takes longer,
// its caller can send it again. All others are rejected as not run, and another daemon accepts them.
package berylstop
