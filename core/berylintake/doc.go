// Package berylintake decides what callers may make a process hold: how many connections, and how much of
// their heads, bodies and answers in memory.
//
// Each organisation may hold at most as much memory as it leaves free, and have at most as many requests in service
// as it leaves connections, so that none can take all and several share evenly. What falls short evicts a connection that has kept the process waiting, if there is
// one, and is refused otherwise.
package berylintake
