package beryledge

// This file defines how callers' connections are accepted while the processor
// is overloaded, and how it is seen that their caller has left.

import (
	"bytes"
	"context"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"berylspoke/core/beryladmission"
)

const (
	// headBytes is what is read of a request whose connection the server does not have
	// yet: all of most requests.
	headBytes = 16 << 10
	// pollEvery is the time between two looks at new connections while the processor is
	// overloaded. The request on a connection comes a round trip of some milliseconds
	// after it.
	pollEvery = 10 * time.Millisecond
	// acceptMost bounds the connections accepted at once: the socket keeps the others.
	acceptMost = 128
	// emptyPolls is how often a new connection may have brought nothing; then its
	// caller is slow, and the server waits for it.
	emptyPolls = 3
	// admittedMost bounds the admitted connections that wait for the server.
	admittedMost = 256
)

// admissionListener hands connections to the server. While the processor is overloaded
// it reads the first bytes of each itself, and the admission queue decides by the
// organisation that they name. A rejection at this stage needs no parsing and no
// goroutine: all callers of an organisation may come to one small VM, whatever resolve
// answers say, with many times what it can serve.
type admissionListener struct {
	*net.TCPListener
	daemon *Daemon
	buffer []byte
	// fresh are the connections that have brought nothing yet.
	fresh []freshConn
	// deciding counts those that are in the admission queue.
	deciding atomic.Int64
	// admitted are those that left it for the server, undecided those that need no
	// decision.
	admitted  chan net.Conn
	undecided []net.Conn
}

// freshConn is a connection and how often it was looked at.
type freshConn struct {
	descriptor, polls int
}

func newAdmissionListener(listener *net.TCPListener, daemon *Daemon) *admissionListener {
	return &admissionListener{
		TCPListener: listener, daemon: daemon,
		buffer: make([]byte, headBytes), admitted: make(chan net.Conn, admittedMost),
	}
}

// Accept implements net.Listener.
func (listener *admissionListener) Accept() (net.Conn, error) {
	for {
		if last := len(listener.undecided) - 1; last >= 0 {
			conn := listener.undecided[last]
			listener.undecided = listener.undecided[:last]
			return conn, nil
		}
		if !listener.decides() {
			conn, err := listener.AcceptTCP()
			if err != nil || !hungUp(conn) {
				return conn, err
			}
			_ = conn.Close()
			continue
		}
		timer := time.NewTimer(pollEvery)
		select {
		case conn := <-listener.admitted:
			timer.Stop()
			return conn, nil
		case <-timer.C:
		case <-listener.daemon.ctx.Done():
		}
		if err := listener.poll(); err != nil {
			listener.abandon()
			return nil, err
		}
	}
}

// decides reports whether connections pass through the admission queue.
func (listener *admissionListener) decides() bool {
	return len(listener.fresh) > 0 || len(listener.admitted) > 0 || listener.deciding.Load() > 0 ||
		listener.daemon.admission.overloaded(time.Now())
}

// poll offers the requests that came on new connections, and accepts more.
func (listener *admissionListener) poll() error {
	listener.daemon.admission.expire()
	overloaded := listener.daemon.admission.overloaded(time.Now())
	fresh := listener.fresh
	listener.fresh = nil
	for _, conn := range fresh {
		listener.read(conn, overloaded)
	}
	accepted, err := listener.acceptAll()
	for _, descriptor := range accepted {
		listener.fresh = append(listener.fresh, freshConn{descriptor: descriptor})
	}
	return err
}

// read reads what a new connection has brought and offers it.
func (listener *admissionListener) read(conn freshConn, overloaded bool) {
	count, err := unix.Read(conn.descriptor, listener.buffer)
	switch {
	case err == unix.EAGAIN && overloaded && conn.polls < emptyPolls:
		conn.polls++
		listener.fresh = append(listener.fresh, conn)
	case err == unix.EAGAIN:
		listener.pass(newConn(conn.descriptor, nil, nil))
	case err != nil || count == 0:
		_ = unix.Close(conn.descriptor)
	case !overloaded || !bytes.Contains(listener.buffer[:count], headEnd):
		// A request without its whole header would hold a slot while it comes.
		listener.pass(newConn(conn.descriptor, bytes.Clone(listener.buffer[:count]), nil))
	default:
		listener.decide(conn.descriptor, listener.buffer[:count])
	}
}

// decide rejects a request or offers it to the admission queue. Only what waits there
// is copied: a flood is rejected at several times the rate at which it is served.
func (listener *admissionListener) decide(descriptor int, head []byte) {
	daemon := listener.daemon
	demand := daemon.demandOf(head)
	if cause := daemon.admission.reject(demand); cause != beryladmission.NotRejected {
		daemon.rejectConn(descriptor, head, demand, cause)
		return
	}
	waiter := &connWaiter{listener: listener, descriptor: descriptor, head: bytes.Clone(head), demand: demand}
	listener.deciding.Add(1)
	daemon.admission.offer(demand, waiter)
}

// pass gives a connection to the server without a decision.
func (listener *admissionListener) pass(conn net.Conn) {
	if conn != nil {
		listener.undecided = append(listener.undecided, conn)
	}
}

// acceptAll accepts the connections that wait, without waiting for more.
func (listener *admissionListener) acceptAll() ([]int, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted []int
	err = raw.Control(func(socket uintptr) {
		for len(accepted) < acceptMost {
			// Nobody asks for the address of a caller that is rejected.
			descriptor, _, failure := unix.RawSyscall6(unix.SYS_ACCEPT4, socket, 0, 0, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0, 0)
			if failure != 0 {
				// Nobody waits any more, or descriptors are short: rejected
				// connections free them.
				return
			}
			accepted = append(accepted, int(descriptor))
		}
	})
	return accepted, err
}

// abandon rejects the requests that the server will not have as it stops.
func (listener *admissionListener) abandon() {
	for _, conn := range listener.fresh {
		listener.daemon.rejectConn(conn.descriptor, make([]byte, headBytes), demand{}, beryladmission.Overload)
	}
	listener.fresh = nil
	for len(listener.admitted) > 0 {
		_ = (<-listener.admitted).Close()
	}
}

// connWaiter is a connection whose request waits in the admission queue, unparsed.
type connWaiter struct {
	listener   *admissionListener
	descriptor int
	// head are the bytes that were read.
	head   []byte
	demand demand
}

func (waiter *connWaiter) decided(admitted bool) {
	defer waiter.listener.deciding.Add(-1)
	if !admitted {
		waiter.listener.daemon.rejectConn(waiter.descriptor, waiter.head, waiter.demand, beryladmission.Overload)
		return
	}
	slot := waiter.listener.daemon.admission.hold(waiter.demand)
	conn := newConn(waiter.descriptor, waiter.head, slot)
	if conn == nil {
		slot.free()
		return
	}
	select {
	case waiter.listener.admitted <- conn:
	default:
		_ = conn.Close()
	}
}

// rejectConn answers that a request did not run, and closes its connection. The bytes
// that were read of it are overwritten.
func (daemon *Daemon) rejectConn(descriptor int, head []byte, demand demand, cause beryladmission.Cause) {
	daemon.meters.shed.Inc()
	daemon.rejected(demand, cause)
	// Closed with unread bytes the connection is reset, and the answer is lost.
	for count := len(head); count == headBytes; {
		count, _ = unix.Read(descriptor, head)
	}
	answer := append(head[:0], rejection...)
	answer = strconv.AppendFloat(answer, demand.retryAfter().Seconds(), 'f', 2, 64)
	// A caller that has left needs no answer.
	_, _ = unix.Write(descriptor, append(answer, "\r\n\r\n"...))
	_ = unix.Close(descriptor)
}

// rejection is the answer to an unparsed request, up to when its caller may come back.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: "

// admittedConn is a connection of which the first bytes were read before the server
// had it, with the slot of its first request.
type admittedConn struct {
	*net.TCPConn
	head []byte
	slot *slot
}

// newConn makes a connection of a descriptor and the bytes that were read from it; nil
// if its caller has left.
func newConn(descriptor int, head []byte, slot *slot) net.Conn {
	file := os.NewFile(uintptr(descriptor), "connection")
	conn, err := net.FileConn(file)
	// The connection has a descriptor of its own.
	_ = file.Close()
	if err != nil {
		return nil
	}
	return &admittedConn{TCPConn: conn.(*net.TCPConn), head: head, slot: slot}
}

// Read implements net.Conn.
func (conn *admittedConn) Read(buffer []byte) (int, error) {
	if len(conn.head) == 0 {
		return conn.TCPConn.Read(buffer)
	}
	count := copy(buffer, conn.head)
	conn.head = conn.head[count:]
	return count, nil
}

// Close implements net.Conn.
func (conn *admittedConn) Close() error {
	conn.slot.free()
	return conn.TCPConn.Close()
}

// admittedAlready reports whether a request was admitted before it was parsed, and
// frees the slot that its connection held for it.
func admittedAlready(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*admittedConn)
	return ok && conn.slot.free()
}

// demandOf reads from the first bytes of a request what decides when it is admitted.
func (daemon *Daemon) demandOf(head []byte) demand {
	index := daemon.index.Load()
	if index == nil {
		return demand{}
	}
	ask := daemon.dialect.Peek(head)
	organisation, _ := index.Organisation(ask.Key)
	return newDemand(organisation, ask.Input, ask.Output, index.Route(routeOf(head)))
}

// routeOf returns the host and the path of an unparsed request, empty where they are
// not among its first bytes.
func routeOf(head []byte) (host, path string) {
	line, rest, _ := bytes.Cut(head, lineEnd)
	_, uri, _ := bytes.Cut(line, space)
	uri, _, _ = bytes.Cut(uri, space)
	uri, _, _ = bytes.Cut(uri, query)
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		if len(line) == 0 {
			break
		}
		if len(line) > len(hostHeader) && bytes.EqualFold(line[:len(hostHeader)], hostHeader) {
			return string(bytes.TrimSpace(line[len(hostHeader):])), string(uri)
		}
	}
	return "", string(uri)
}

var (
	lineEnd    = []byte("\r\n")
	headEnd    = []byte("\r\n\r\n")
	hostHeader = []byte("Host:")
	space      = []byte(" ")
	query      = []byte("?")
)

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
