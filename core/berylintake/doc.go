// Package berylintake decides what callers may make a process hold: how many connections, and how much of
// their heads, bodies and answers in memory.
//
// Each organisation may hold at most as much as it leaves free, so that none can take all of the memory and
// several share it evenly. What falls short evicts a connection that has kept the process waiting, if there is
// one, and is refused otherwise.
package berylintake
