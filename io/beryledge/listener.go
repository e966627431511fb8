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

// acceptsPerCore is the connections a second that a strained daemon takes for each
// core of its VM. A request costs about two milliseconds of processor time with
// its connection, so these are a quarter of what the VM can serve; the rest comes
// over the connections that callers keep.
const acceptsPerCore = 125

// pacedListener takes few connections while the daemon is strained and closes the
// others at once, unread. All callers of one organisation may come to one small
// VM with ten times what it can serve, whatever the resolve answers say. A
// connection that waits here costs its caller a second, until it gives up, and
// comes back to the same VM. One that is closed unread shows the caller that
// nothing was taken in: it goes to another daemon, and its request is served.
type pacedListener struct {
	*net.TCPListener
	daemon *Daemon
	pace   acceptPace
}

// Accept implements net.Listener.
func (listener *pacedListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return nil, err
		}
		admitted := listener.pace.admits(time.Now(), listener.daemon.strain.high())
		if admitted && !hungUp(conn) {
			return conn, nil
		}
		listener.daemon.meters.shed.Inc()
		// Without a lingering close the caller is reset, and what it sent is lost
		// unread; it learns so in one round trip.
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// acceptPace bounds the connections that are taken while processor time is short.
type acceptPace struct {
	// every is the least time between two of them, last when one was taken.
	every time.Duration
	last  time.Time
}

// newAcceptPace returns the pace of a VM with so many hundredths of a core.
func newAcceptPace(capacity uint16) acceptPace {
	const hundredths = 100
	return acceptPace{every: time.Second * hundredths / (acceptsPerCore * time.Duration(max(capacity, 1)))}
}

// admits says whether a connection that came now is taken.
func (pace *acceptPace) admits(now time.Time, strained bool) bool {
	if strained && now.Sub(pace.last) < pace.every {
		return false
	}
	pace.last = now
	return true
}

// hungUp says whether the other end of a connection has closed it, although
// what it sent before may not have been read yet.
func hungUp(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
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
