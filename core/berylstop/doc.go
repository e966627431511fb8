// Package berylstop decides which requests a daemon still accepts during a planned stop.
//
// A request is accepted if its deadline, by which it has an answer whatever its target does, is
// before the end of the stop. One with a later deadline might be cut, and what that means for its
// caller decides. A call that must not run twice is rejected: its caller could not tell whether
// it took effect. All others are accepted as long as callers may not know of the stop, if nearly all
// requests of their route lately ended within the time that is left: to reject them would cost many
// callers a try. After that only those are accepted that are safe to repeat, if even the longest
// ended within that time. What is rejected has not run, and another daemon accepts it.
package berylstop
