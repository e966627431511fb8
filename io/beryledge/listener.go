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

const (
	// waitingConns bounds the connections that wait to be accepted. A caller gives
	// a new connection one second, and a longer queue at the smallest VM holds only
	// those that left.
	waitingConns = 32
	// waitingStrained is the same while the processor is short.
	waitingStrained = 16
	// strainedAccept is the time between two connections that a strained daemon
	// accepts.
	strainedAccept = 40 * time.Millisecond
)

// pacedListener accepts slowly while the daemon is strained. Callers whose
// requests time out come back over new connections, each of which costs as much
// as a request, so a daemon that accepts them all never catches up: it works for
// callers who have left. One that is not accepted costs nothing, and its caller
// goes to another daemon after a second.
type pacedListener struct {
	*net.TCPListener
	daemon *Daemon
	short  bool
}

// Accept implements net.Listener.
func (listener *pacedListener) Accept() (net.Conn, error) {
	for {
		strained := listener.daemon.strain.high()
		if strained != listener.short {
			listener.short = strained
			listener.bound(strained)
		}
		if strained {
			listener.daemon.sleep(strainedAccept)
		}
		conn, err := listener.TCPListener.Accept()
		if err != nil || !hungUp(conn) {
			return conn, err
		}
		listener.daemon.meters.shed.Inc()
		_ = conn.Close()
	}
}

// bound sets how many connections may wait to be accepted.
func (listener *pacedListener) bound(strained bool) {
	waiting := waitingConns
	if strained {
		waiting = waitingStrained
	}
	raw, err := listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), waiting) })
	}
	if err != nil {
		listener.daemon.log.Warn("queue of connections not bounded", cause(err))
	}
}

// hungUp says whether the other end of a connection has closed it, although
// what it sent before may not have been read yet.
func hungUp(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(polled, 0)
		gone = err == nil && ready > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone || err != nil
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
