package beryledge

// This file defines how callers' connections are accepted while the processor
// is short, and how it is seen that their caller has left.

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// strainedAccept is the time between two connections that a strained daemon
// accepts. Callers whose requests time out come back over new connections, each
// of which costs as much as a request, so a daemon that accepts them all never
// catches up. Those that are not accepted within a second go to another daemon.
const strainedAccept = 40 * time.Millisecond

// pacedListener accepts slowly while the daemon is strained.
type pacedListener struct {
	net.Listener
	daemon *Daemon
}

// Accept implements net.Listener.
func (listener *pacedListener) Accept() (net.Conn, error) {
	if listener.daemon.strain.high() {
		listener.daemon.sleep(strainedAccept)
	}
	return listener.Listener.Accept()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn keeps a connection in the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerLeft looks at the socket itself whether the caller closed its end. A
// request may have waited in it for longer than its caller did, and the server
// notices only once it reads again.
func callerLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		read, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = read == 0 && err == nil || err == unix.ECONNRESET
	})
	return left || err != nil
}
