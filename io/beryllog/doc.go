// Package beryllog writes a process's log without ever blocking the process.
//
// Lines pass through a bounded buffer to one writer goroutine. A line that does not fit
// is dropped and counted, and the count is logged once there is room. If the reader of
// the log stalls, lines are lost but requests are not delayed.
package beryllog
