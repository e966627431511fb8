// Package beryllog writes a process's log to standard output without ever
// making the process wait.
//
// The model: lines are handed to one writing goroutine through a bounded
// buffer. A line that finds it full is dropped and counted, and the count is
// written once there is room. A reader that stops reading costs lines, never
// requests.
package beryllog
