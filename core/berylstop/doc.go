// Package berylstop decides which requests a daemon still accepts during a planned stop.
//
// A request is accepted if its deadline, by which it has an answer whatever its target does, is
// before the end of the stop. One with a later deadline might be cut. As long as callers may not know of
// the stop, it is accepted all the same if nearly all requests of its route lately ended within the time
// that is left, and if its caller could tell that it was cut: to reject all would cost many callers a try.
// A call that must not run twice is never accepted so, as its caller could not tell whether it took effect.
// After that nothing but the deadline counts: how long earlier requests took does not bound the next one.
// What is rejected has not run, and another daemon accepts it.
package berylstop
