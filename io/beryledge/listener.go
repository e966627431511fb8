package beryledge

// This file defines how callers' connections are accepted while the processor
// is short, and how it is seen that their caller has left.

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"berylspoke"
)

const (
	// acceptsPerCore is the connections a second that a strained daemon takes for
	// each core of its VM. A request costs about two milliseconds of processor time
	// with its connection, so these are a quarter of what the VM can serve; the rest
	// comes over the connections that callers keep.
	acceptsPerCore = 125
	// turnedWait is when a caller that was turned away may come back, at least;
	// a random time up to as much again is added. The shares and the load that
	// decide then are means over about this time.
	turnedWait = time.Second
	// turnedBytes is what is read at most of a request that is turned away: the
	// largest that arrive with the first packets of a connection.
	turnedBytes = 16 << 10
	// roundEvery is the time between two rounds of a strained listener. The request
	// on a new connection comes a round trip of some milliseconds after it, so what
	// one round accepts is answered by the next.
	roundEvery = 20 * time.Millisecond
	// roundMost bounds the connections that one round accepts: the queue of the
	// socket keeps the others.
	roundMost = 128
)

// pacedListener takes few connections while the daemon is strained and turns the
// others away at once. All callers of one organisation may come to one small VM
// with ten times what it can serve, whatever the resolve answers say and whether
// it fails them or not. A connection that waits here costs its caller a second,
// until it gives up and comes back. One that is only closed brings its caller back
// at once, several times for each request, which takes most of the processor time.
// So the answer says that nothing was run and when to come back;
// it takes four system calls, no parsing, and no goroutine of its own.
type pacedListener struct {
	*net.TCPListener
	daemon *Daemon
	pace   acceptPace
	// waiting are the descriptors that the last round accepted to turn away.
	waiting []int
	buffer  []byte
}

// Accept implements net.Listener.
func (listener *pacedListener) Accept() (net.Conn, error) {
	for {
		if !listener.daemon.strain.high() && len(listener.waiting) == 0 {
			conn, err := listener.AcceptTCP()
			if err != nil || !hungUp(conn) {
				return conn, err
			}
			_ = conn.Close()
			continue
		}
		listener.daemon.sleep(roundEvery)
		conn, err := listener.round(time.Now())
		if conn != nil || err != nil {
			return conn, err
		}
	}
}

// round answers those whom the last round accepted to turn away, accepts who
// came since, and returns the connection that is taken, if any. The others are
// turned away also if the strain has passed since the round began: turning away
// is cheap, so a flooded daemon seems at ease between two rounds, and one that then
// took all who wait was flooded for good: a third of its callers reached their
// time limits.
func (listener *pacedListener) round(now time.Time) (net.Conn, error) {
	for _, descriptor := range listener.waiting {
		listener.refuse(descriptor)
	}
	listener.daemon.tellTurnaways(now)
	accepted, err := listener.acceptAll()
	listener.waiting = accepted
	if err != nil || len(accepted) == 0 || !listener.pace.admits(now, listener.daemon.strain.high()) {
		return nil, err
	}
	listener.waiting = accepted[1:]
	return newConn(accepted[0])
}

// acceptAll accepts all connections that wait, without waiting for more.
func (listener *pacedListener) acceptAll() ([]int, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted []int
	err = raw.Control(func(socket uintptr) {
		for len(accepted) < roundMost {
			descriptor, _, failure := unix.Accept4(int(socket), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if failure != nil {
				// Nobody waits any more, or descriptors are short: those turned
				// away free them.
				return
			}
			accepted = append(accepted, descriptor)
		}
	})
	return accepted, err
}

// newConn makes a connection of a descriptor.
func newConn(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "connection")
	conn, err := net.FileConn(file)
	// The connection has a descriptor of its own.
	_ = file.Close()
	if err != nil {
		return nil, nil // the caller has left meanwhile
	}
	return conn, nil
}

// refuse answers a request that was not looked at, and closes its connection. One
// that has not come yet is reset as it comes, which says the same to its caller.
func (listener *pacedListener) refuse(descriptor int) {
	listener.daemon.meters.shed.Inc()
	organisation := berylspoke.OrganisationID("")
	if read, err := unix.Read(descriptor, listener.buffer); err == nil && read > 0 {
		organisation = listener.daemon.glance(listener.buffer[:read])
		wait := turnedWait.Seconds() * (1 + rand.Float64())
		answer := append(listener.buffer[:0], turnedAnswer...)
		answer = strconv.AppendFloat(answer, wait, 'f', 2, 64)
		// A caller that has left needs no answer.
		_, _ = unix.Write(descriptor, append(answer, "\r\n\r\n"...))
	}
	listener.daemon.meters.turnaways.count(organisation)
	_ = unix.Close(descriptor)
}

// glance returns whose request begins with some bytes, empty if they do not tell.
func (daemon *Daemon) glance(head []byte) berylspoke.OrganisationID {
	index := daemon.index.Load()
	if index == nil {
		return ""
	}
	organisation, _ := index.Organisation(daemon.dialect.Glance(head).Key)
	return organisation
}

// turnedAnswer is the answer to those turned away, up to when they may come back.
const turnedAnswer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: "

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
