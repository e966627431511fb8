package beryledge

// This file defines how callers' connections are accepted while the processor
// is short, and how it is seen that their caller has left.

import (
	"bytes"
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"berylspoke/core/berylgate"
)

const (
	// headBytes is what is read of a request on a connection that was not yet handed
	// to the server: all of most requests.
	headBytes = 16 << 10
	// roundEvery is the time between two rounds of a listener whose VM is short of
	// processor time. The request on a new connection comes a round trip of some
	// milliseconds after it.
	roundEvery = 10 * time.Millisecond
	// roundMost bounds the connections that one round accepts: the queue of the
	// socket keeps the others.
	roundMost = 128
	// emptyRounds is how many rounds a new connection may bring nothing; then its
	// caller is slow, and the server waits for it.
	emptyRounds = 3
	// takenMost bounds the connections that were taken in and wait for the server.
	takenMost = 256
)

// intakeListener hands connections to the server, all of them while processor time is
// left. While it is short the listener reads the first bytes of each itself and lets
// the intake decide, by the organisation that asks. All callers of one organisation
// may come to one small VM with ten times what it can serve, whatever the resolve
// answers say; those refused are answered at once that nothing was run and when to
// come back, for a tenth of what a request costs the server: four system calls, no
// parsing, and no goroutine.
type intakeListener struct {
	*net.TCPListener
	daemon *Daemon
	// fresh are the connections that have brought nothing yet.
	fresh  []freshConn
	buffer []byte
	// taken are those taken in by the intake, ready those that need no decision.
	taken chan net.Conn
	ready []net.Conn
	// offered counts those that the intake decides on.
	offered atomic.Int64
}

// freshConn is a connection and how many rounds ago it was accepted.
type freshConn struct {
	descriptor, rounds int
}

func newIntakeListener(listener *net.TCPListener, daemon *Daemon) *intakeListener {
	return &intakeListener{
		TCPListener: listener, daemon: daemon,
		buffer: make([]byte, headBytes), taken: make(chan net.Conn, takenMost),
	}
}

// Accept implements net.Listener.
func (listener *intakeListener) Accept() (net.Conn, error) {
	for {
		if last := len(listener.ready) - 1; last >= 0 {
			conn := listener.ready[last]
			listener.ready = listener.ready[:last]
			return conn, nil
		}
		if !listener.mustDecide(time.Now()) {
			conn, err := listener.AcceptTCP()
			if err != nil || !hungUp(conn) {
				return conn, err
			}
			_ = conn.Close()
			continue
		}
		timer := time.NewTimer(roundEvery)
		select {
		case conn := <-listener.taken:
			timer.Stop()
			return conn, nil
		case <-timer.C:
		case <-listener.daemon.ctx.Done():
		}
		if err := listener.round(time.Now()); err != nil {
			listener.abandon()
			return nil, err
		}
	}
}

// mustDecide says whether connections go by the intake.
func (listener *intakeListener) mustDecide(now time.Time) bool {
	return len(listener.fresh) > 0 || len(listener.taken) > 0 || listener.offered.Load() > 0 ||
		listener.daemon.intake.pressed(now)
}

// round offers the requests that came on new connections, and accepts those that
// wait.
func (listener *intakeListener) round(now time.Time) error {
	listener.daemon.intake.expire(now)
	pressed := listener.daemon.intake.pressed(now)
	fresh := listener.fresh
	listener.fresh = listener.fresh[:0]
	for _, conn := range fresh {
		listener.read(now, conn, pressed)
	}
	accepted, err := listener.acceptAll()
	for _, descriptor := range accepted {
		listener.fresh = append(listener.fresh, freshConn{descriptor: descriptor})
	}
	listener.daemon.tellTurnaways(now)
	return err
}

// abandon refuses whom the server will not have as it stops.
func (listener *intakeListener) abandon() {
	for _, conn := range listener.fresh {
		waiter := connWaiter{listener: listener, descriptor: conn.descriptor, head: make([]byte, headBytes)}
		waiter.refuse()
	}
	listener.fresh = nil
	for len(listener.taken) > 0 {
		_ = (<-listener.taken).Close()
	}
}

// read looks what a new connection has brought and offers it.
func (listener *intakeListener) read(now time.Time, conn freshConn, pressed bool) {
	count, err := unix.Read(conn.descriptor, listener.buffer)
	switch {
	case err == unix.EAGAIN && pressed && conn.rounds < emptyRounds:
		conn.rounds++
		listener.fresh = append(listener.fresh, conn)
	case err == unix.EAGAIN:
		listener.hand(newConn(conn.descriptor, nil, nil))
	case err != nil || count == 0:
		_ = unix.Close(conn.descriptor)
	case !pressed:
		listener.hand(newConn(conn.descriptor, bytes.Clone(listener.buffer[:count]), nil))
	default:
		claim := listener.daemon.glance(listener.buffer[:count])
		listener.offered.Add(1)
		listener.daemon.intake.offer(now, claim, &connWaiter{
			listener: listener, descriptor: conn.descriptor, claim: claim,
			head: bytes.Clone(listener.buffer[:count]),
		})
	}
}

// hand gives a connection to the server without a decision.
func (listener *intakeListener) hand(conn net.Conn) {
	if conn != nil {
		listener.ready = append(listener.ready, conn)
	}
}

// acceptAll accepts all connections that wait, without waiting for more.
func (listener *intakeListener) acceptAll() ([]int, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted []int
	err = raw.Control(func(socket uintptr) {
		for len(accepted) < roundMost {
			descriptor, _, failure := unix.Accept4(int(socket), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if failure != nil {
				// Nobody waits any more, or descriptors are short: those refused
				// free them.
				return
			}
			accepted = append(accepted, descriptor)
		}
	})
	return accepted, err
}

// connWaiter is a connection whose request waits to be taken in, unparsed.
type connWaiter struct {
	listener   *intakeListener
	descriptor int
	claim      claim
	head       []byte
}

// settle hands the connection to the server, or refuses it.
func (waiter *connWaiter) settle(taken bool) {
	defer waiter.listener.offered.Add(-1)
	if !taken {
		waiter.refuse()
		return
	}
	slot := &slot{intake: waiter.listener.daemon.intake}
	conn := newConn(waiter.descriptor, waiter.head, slot)
	if conn == nil {
		slot.free()
		return
	}
	select {
	case waiter.listener.taken <- conn:
	default:
		_ = conn.Close()
	}
}

// refuse answers that the request did not run, and closes the connection.
func (waiter *connWaiter) refuse() {
	daemon := waiter.listener.daemon
	daemon.meters.shed.Inc()
	daemon.meters.turnaways.count(waiter.claim.organisation)
	daemon.intake.count(waiter.claim)
	// A large request has more bytes waiting; closed over them the connection is
	// reset, and the answer is lost.
	for count := len(waiter.head); count == headBytes; {
		count, _ = unix.Read(waiter.descriptor, waiter.head)
	}
	answer := append(waiter.head[:0], refusal...)
	answer = strconv.AppendFloat(answer, waiter.claim.comeBack().Seconds(), 'f', 2, 64)
	// A caller that has left needs no answer.
	_, _ = unix.Write(waiter.descriptor, append(answer, "\r\n\r\n"...))
	_ = unix.Close(waiter.descriptor)
}

// refusal is the answer to an unparsed request, up to when its caller may come back.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: "

// takenConn is a connection of which the first bytes were read before the server
// had it, and the slot that its request holds until its handler begins.
type takenConn struct {
	*net.TCPConn
	head []byte
	slot *slot
}

// newConn makes a connection of a descriptor, nil if its caller has left. It keeps the
// first bytes.
func newConn(descriptor int, head []byte, slot *slot) net.Conn {
	file := os.NewFile(uintptr(descriptor), "connection")
	conn, err := net.FileConn(file)
	// The connection has a descriptor of its own.
	_ = file.Close()
	if err != nil {
		return nil
	}
	return &takenConn{TCPConn: conn.(*net.TCPConn), head: head, slot: slot}
}

// Read implements net.Conn.
func (conn *takenConn) Read(buffer []byte) (int, error) {
	if len(conn.head) == 0 {
		return conn.TCPConn.Read(buffer)
	}
	count := copy(buffer, conn.head)
	conn.head = conn.head[count:]
	return count, nil
}

// Close implements net.Conn.
func (conn *takenConn) Close() error {
	conn.slot.free()
	return conn.TCPConn.Close()
}

// takenIn says whether the request of a context is the first on a connection that
// the intake let in.
func takenIn(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*takenConn)
	return ok && conn.slot.free()
}

// glance returns what the first bytes of a request say of whose it is.
func (daemon *Daemon) glance(head []byte) claim {
	index := daemon.index.Load()
	if index == nil {
		return claim{}
	}
	ask := daemon.dialect.Glance(head)
	claim := claim{
		engine: ask.Input > 0,
		tokens: berylgate.TokensOf(&berylgate.Request{Input: ask.Input, Output: ask.Output}),
	}
	claim.organisation, _ = index.Organisation(ask.Key)
	if route := index.Route(routeOf(head)); route != nil {
		claim.objective = route.Objective
	}
	return claim
}

// routeOf returns the host and the path of an unparsed request, empty where they are
// not among its first bytes.
func routeOf(head []byte) (host, path string) {
	line, rest, _ := bytes.Cut(head, lineEnd)
	if parts := bytes.Fields(line); len(parts) > 1 {
		uri, _, _ := bytes.Cut(parts[1], []byte("?"))
		path = string(uri)
	}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		if name, value, found := bytes.Cut(line, []byte(":")); found && len(name) == len("Host") && strings.EqualFold(string(name), "Host") {
			return string(bytes.TrimSpace(value)), path
		}
		if len(line) == 0 {
			break
		}
	}
	return "", path
}

var lineEnd = []byte("\r\n")

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
