package beryledge

// This file defines how callers' connections are accepted while the processor is
// overloaded, and how disconnected callers are detected.

import (
	"bytes"
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"berylspoke/core/beryladmission"
	"berylspoke/io/beryllog"
)

const (
	// headBytes bounds what is read of a request before the server gets its connection.
	// Most requests fit completely.
	headBytes = 16 << 10
	// pollInterval is the time between two polls of new connections while the processor
	// is overloaded. The request arrives a round trip of some milliseconds after its
	// connection.
	pollInterval = 10 * time.Millisecond
	// maxAcceptBatch bounds the connections accepted at once; the others stay in the
	// socket's backlog.
	maxAcceptBatch = 128
	// maxEmptyPolls is how many polls may find no data on a new connection. After that
	// its caller counts as slow, and the server gets the connection and waits for the
	// request.
	maxEmptyPolls = 3
	// maxAdmitted bounds the admitted connections that wait for the server.
	maxAdmitted = 256
)

// admissionListener accepts connections for the server. While the processor is
// overloaded it reads the first bytes of each connection itself, and the admission queue
// decides by the organisation whose key they contain. A rejection at this stage needs
// neither parsing nor a goroutine. It must be cheap, as all callers of an organisation
// may connect to one small VM, whatever the resolve answers are, and send many times what
// it can serve.
type admissionListener struct {
	*net.TCPListener
	daemon *Daemon
	buffer []byte
	// pending are the connections that have sent no data yet.
	pending []pendingConn
	// queued counts the connections that are in the admission queue.
	queued atomic.Int64
	// admitted are the connections that the queue admitted, bypassed those that go to the
	// server without its decision.
	admitted chan *callerConn
	bypassed []*callerConn
	// ending is set once the listener accepts only what waits already, closed once the server
	// accepts no more connections.
	ending, closed atomic.Bool
	// endBy is when the listener is closed at the latest once it is ending.
	endBy time.Time
	// shut is set once the listener accepts nothing more after it began to end.
	shut bool
	lingering
	unansweredLog beryllog.Limit
	mutex         sync.Mutex
	// conns are the open connections of the server.
	conns map[*callerConn]struct{}
}

// pendingConn is a connection with the number of polls that found no data on it.
type pendingConn struct {
	descriptor, polls int
}

func newAdmissionListener(listener *net.TCPListener, daemon *Daemon) *admissionListener {
	return &admissionListener{
		TCPListener: listener, daemon: daemon,
		buffer: make([]byte, headBytes), admitted: make(chan *callerConn, maxAdmitted), conns: make(map[*callerConn]struct{}),
	}
}

// Accept implements net.Listener.
func (listener *admissionListener) Accept() (net.Conn, error) {
	for {
		if last := len(listener.bypassed) - 1; last >= 0 {
			conn := listener.bypassed[last]
			listener.bypassed = listener.bypassed[:last]
			return conn, nil
		}
		if listener.ending.Load() {
			if conn := listener.acceptRest(); conn != nil {
				return conn, nil
			}
			_ = listener.Close()
			listener.rejectPending()
			return nil, net.ErrClosed
		}
		if !listener.usesQueue() {
			conn, err := listener.AcceptTCP()
			switch {
			case err != nil && listener.ending.Load():
			case err != nil:
				return nil, err
			case remoteClosed(conn):
				_ = conn.Close()
			default:
				if tracked := listener.track(&callerConn{TCPConn: conn}); tracked != nil {
					return tracked, nil
				}
			}
			continue
		}
		timer := time.NewTimer(pollInterval)
		select {
		case conn := <-listener.admitted:
			timer.Stop()
			return conn, nil
		case <-timer.C:
		case <-listener.daemon.ctx.Done():
		}
		if err := listener.poll(); err != nil {
			listener.rejectPending()
			return nil, err
		}
	}
}

// usesQueue reports whether connections pass through the admission queue.
func (listener *admissionListener) usesQueue() bool {
	return len(listener.pending) > 0 || len(listener.admitted) > 0 || listener.queued.Load() > 0 ||
		listener.daemon.admission.overloaded(time.Now())
}

// poll reads from the new connections, and accepts more.
func (listener *admissionListener) poll() error {
	listener.daemon.admission.expire()
	overloaded := listener.daemon.admission.overloaded(time.Now())
	pending := listener.pending
	listener.pending = nil
	for _, conn := range pending {
		listener.read(conn, overloaded)
	}
	accepted, err := listener.acceptAll()
	for _, descriptor := range accepted {
		listener.pending = append(listener.pending, pendingConn{descriptor: descriptor})
	}
	return err
}

// read reads what has arrived on a new connection and offers the request to the queue,
// or passes the connection to the server if the queue need not decide.
func (listener *admissionListener) read(conn pendingConn, overloaded bool) {
	count, err := unix.Read(conn.descriptor, listener.buffer)
	switch {
	case err == unix.EAGAIN && overloaded && conn.polls < maxEmptyPolls:
		conn.polls++
		listener.pending = append(listener.pending, conn)
	case err == unix.EAGAIN:
		listener.bypass(listener.newConn(conn.descriptor, nil, nil))
	case err != nil || count == 0:
		_ = unix.Close(conn.descriptor)
	case !overloaded || !bytes.Contains(listener.buffer[:count], headEnd):
		// A request without its whole header would hold a slot until the rest arrives.
		listener.bypass(listener.newConn(conn.descriptor, bytes.Clone(listener.buffer[:count]), nil))
	default:
		listener.offer(conn.descriptor, listener.buffer[:count])
	}
}

// offer rejects a request or offers it to the admission queue. Only requests that wait
// there are copied, because in a flood several times as many requests are rejected as
// served.
func (listener *admissionListener) offer(descriptor int, head []byte) {
	daemon := listener.daemon
	demand := daemon.demandOf(head)
	if cause := daemon.admission.reject(demand); cause != beryladmission.NotRejected {
		daemon.rejectConn(descriptor, head, demand, cause)
		return
	}
	waiter := &connWaiter{listener: listener, descriptor: descriptor, head: bytes.Clone(head), demand: demand}
	listener.queued.Add(1)
	daemon.admission.offer(demand, waiter)
}

// bypass passes a connection to the server without a decision of the queue.
func (listener *admissionListener) bypass(conn *callerConn) {
	if conn != nil {
		listener.bypassed = append(listener.bypassed, conn)
	}
}

// acceptAll accepts the connections in the backlog, without waiting for more.
func (listener *admissionListener) acceptAll() (accepted []int, err error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	waiting := len(listener.pending) + len(listener.admitted) + int(listener.queued.Load())
	batch := min(maxAcceptBatch, listener.daemon.ingress.Room(time.Now(), waiting, maxAcceptBatch))
	err = raw.Control(func(socket uintptr) { accepted, _ = acceptBacklog(socket, batch) })
	return accepted, err
}

// acceptBacklog accepts the connections in the backlog of a socket, up to a number. The error is
// EAGAIN if there are no more. If the process has no free descriptors, closing rejected connections frees
// some.
func acceptBacklog(socket uintptr, batch int) (accepted []int, errno unix.Errno) {
	for len(accepted) < batch {
		// The remote address is not needed to reject a request.
		var descriptor uintptr
		descriptor, _, errno = unix.RawSyscall6(unix.SYS_ACCEPT4, socket, 0, 0, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0, 0)
		if errno != 0 {
			break
		}
		accepted = append(accepted, int(descriptor))
	}
	return accepted, errno
}

// track adds an accepted connection. It closes it, and returns nil, if there is no room.
func (listener *admissionListener) track(conn *callerConn) *callerConn {
	conn.listener, conn.opened = listener, time.Now()
	if conn.hold = listener.daemon.ingress.Await(conn.evict); conn.hold == nil {
		_ = conn.TCPConn.Close()
		return nil
	}
	if len(conn.head) > 0 && !conn.hold.Read(conn.opened, conn.head) {
		conn.reject(demand{})
		return nil
	}
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.conns[conn] = struct{}{}
	return conn
}

func (listener *admissionListener) remove(conn *callerConn) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	delete(listener.conns, conn)
}

// rejectQueued waits until the requests in the admission queue are decided, which does not take
// longer than a bound, and rejects them.
func (listener *admissionListener) rejectQueued(until time.Time) {
	for listener.queued.Load() > 0 && time.Now().Before(until) {
		time.Sleep(pollInterval)
		listener.daemon.admission.expire()
	}
}

// connWaiter is a connection whose unparsed request waits in the admission queue.
type connWaiter struct {
	listener   *admissionListener
	descriptor int
	// head are the bytes that have been read.
	head   []byte
	demand demand
}

func (waiter *connWaiter) decided(admitted bool) {
	defer waiter.listener.queued.Add(-1)
	if !admitted || waiter.listener.closed.Load() {
		waiter.listener.daemon.rejectConn(waiter.descriptor, waiter.head, waiter.demand, beryladmission.Overload)
		return
	}
	slot := waiter.listener.daemon.admission.newSlot(waiter.demand)
	conn := waiter.listener.newConn(waiter.descriptor, waiter.head, slot)
	if conn == nil {
		slot.release()
		return
	}
	select {
	case waiter.listener.admitted <- conn:
		if waiter.listener.closed.Load() {
			waiter.listener.rejectAdmitted()
		}
	default:
		conn.reject(waiter.demand)
	}
}

// reject answers that a request, which the server has not got, did not run, and closes its connection.
func (conn *callerConn) reject(demand demand) {
	if missingBytes(conn.head) > 0 {
		conn.answeredUnread()
	}
	_, _ = conn.Write(rejection(nil, demand))
	_ = conn.Close()
}

// rejectConn answers that a request did not run, and closes its connection. It
// overwrites head, the bytes that were read of the request.
func (daemon *Daemon) rejectConn(descriptor int, head []byte, demand demand, cause beryladmission.Cause) {
	daemon.meters.shed.Inc()
	daemon.countRejected(demand, cause)
	missing := missingBytes(head)
	for missing > 0 {
		count, _ := unix.Read(descriptor, head[:cap(head)])
		if count <= 0 {
			break
		}
		missing -= count
	}
	// The error is ignored: a caller that has disconnected needs no answer.
	_, _ = unix.Write(descriptor, rejection(head[:0], demand))
	if missing <= 0 {
		_ = unix.Close(descriptor)
		return
	}
	// Closing a socket with unread bytes resets the connection, and the answer is lost.
	if conn := tcpConn(descriptor); conn != nil && !daemon.callerListener.linger(conn) {
		_ = conn.Close()
	}
}

// rejection appends the answer to an unparsed request.
func rejection(answer []byte, demand demand) []byte {
	answer = append(answer, rejectionPrefix...)
	answer = strconv.AppendFloat(answer, demand.retryAfter().Seconds(), 'f', 2, 64)
	return append(answer, "\r\n\r\n"...)
}

// rejectionPrefix is the answer to an unparsed request up to the value of Retry-After.
const rejectionPrefix = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: "

// newConn returns a connection for a descriptor and the bytes that were read from it, nil if its
// caller has disconnected or there is no room for it.
func (listener *admissionListener) newConn(descriptor int, head []byte, slot *slot) *callerConn {
	conn := tcpConn(descriptor)
	if conn == nil {
		return nil
	}
	return listener.track(&callerConn{TCPConn: conn, head: head, received: len(head), slot: slot})
}

// tcpConn returns the connection of a descriptor, nil if its caller has disconnected.
func tcpConn(descriptor int) *net.TCPConn {
	file := os.NewFile(uintptr(descriptor), "connection")
	conn, err := net.FileConn(file)
	// The connection has its own duplicate of the descriptor.
	_ = file.Close()
	if err != nil {
		return nil
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil
	}
	return tcp
}

// releaseAdmitted reports whether a request was admitted before it was parsed, and
// releases the slot that its connection held for it.
func releaseAdmitted(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && conn.slot.release()
}

// demandOf reads the demand from the first bytes of a request.
func (daemon *Daemon) demandOf(head []byte) demand {
	index := daemon.index.Load()
	if index == nil {
		return demand{}
	}
	info := daemon.dialect.Peek(head)
	organisation, _ := index.Organisation(info.Key)
	return newDemand(organisation, info.Input, info.Output, index.Route(routeOf(head)))
}

// routeOf returns the host and the path of an unparsed request, empty if they are not
// among its first bytes.
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

// remoteClosed reports whether the other end has closed a connection, even if data that
// it sent before is unread.
func remoteClosed(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(polled, 0)
		closed = err == nil && ready > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn implements http.Server.ConnContext: it stores a connection in the context of
// its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerDisconnected checks on the socket whether the caller has closed its end. A
// request may have waited in the socket's buffer for longer than its caller did, and the
// server notices that only when it reads again.
func callerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		read, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = read == 0 && err == nil || err == unix.ECONNRESET
	})
	return closed || err != nil
}
