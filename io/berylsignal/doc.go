// Package berylsignal keeps SIGHUP from ending a process before it handles signals. The package depends
// on little, so that it is initialised before most others, whose initialisation takes most of the
// start.
package berylsignal

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }

// Restore makes SIGHUP end the process again, for commands that do not handle it.
func Restore() { signal.Reset(syscall.SIGHUP) }
