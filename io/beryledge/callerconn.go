package beryledge

// This file defines the connections of callers and how they are closed.

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"berylspoke/io/berylingress"
)

const (
	// lingerTimeout and maxDrainedBytes bound what is read of the rest of a rejected request after
	// its answer.
	lingerTimeout   = 500 * time.Millisecond
	maxDrainedBytes = 1 << 20
	// maxLingering bounds the connections of which the rest of a request is being read.
	maxLingering = 256
	// unansweredLogInterval is the minimum time between two log lines on connections without an answer,
	// panicLogInterval that between two on panics.
	unansweredLogInterval = 10 * time.Millisecond
	panicLogInterval      = 500 * time.Millisecond
	// deliveryTimeout bounds the time to write an answer to a caller.
	deliveryTimeout = 30 * time.Second
)

// callerConn is a connection of a caller. Only the goroutine that reads from it closes it for being
// idle, so that no request that it has begun to read is lost.
type callerConn struct {
	*net.TCPConn
	listener *admissionListener
	// hold is what the connection makes the process hold.
	hold *berylingress.Hold
	// slot is held for the first request if that was admitted before the server got the connection.
	slot   *slot
	opened time.Time
	mutex  sync.Mutex
	// head are the first bytes of the first request, if they were read before the server got the
	// connection.
	head []byte
	// readDeadline is the one that the server has set.
	readDeadline time.Time
	// ending is set once the connection is to be closed as soon as it is idle.
	ending bool
	// received counts the bytes that were read since the last answer; handled is set once a request is
	// parsed, and answered once its answer has begun.
	received          int
	handled, answered bool
	// requests counts those that have been answered.
	requests int
	// unread is set if the request was answered before all of it was read.
	unread bool
	// whole is set once all of the current request was read, and delivering once its whole answer is ready.
	whole, delivering bool
	// writeBounded is set while the connection has a deadline for writes.
	writeBounded bool
	// evicted is set once others need the room that the current request takes.
	evicted bool
	closed  bool
}

// past is a deadline that wakes a blocked read.
var past = time.Unix(1, 0)

// Read implements net.Conn.
func (conn *callerConn) Read(buffer []byte) (int, error) {
	if count := conn.readHead(buffer); count > 0 {
		return count, nil
	}
	for {
		count, err := conn.TCPConn.Read(buffer)
		if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			var again bool
			if count, err, again = conn.deadlineExceeded(buffer, time.Now()); again {
				continue
			}
		}
		if conn.countRead(count) && len(buffer) > 1 && !conn.hold.Read(time.Now(), buffer[:count]) {
			conn.rejectHead()
			return 0, os.ErrDeadlineExceeded
		}
		return count, err
	}
}

// readHead returns bytes that were read before the server got the connection.
func (conn *callerConn) readHead(buffer []byte) int {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	count := copy(buffer, conn.head)
	conn.head = conn.head[count:]
	return count
}

// countRead counts bytes that were read, and reports whether they belong to a head that is arriving. While a request
// is served, the server reads a single byte to learn whether its caller leaves.
func (conn *callerConn) countRead(count int) (head bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.received += count
	return count > 0 && !conn.handled
}

// rejectHead answers that a request whose head finds no room did not run.
func (conn *callerConn) rejectHead() {
	conn.answeredUnread()
	_, _ = conn.Write(rejection(nil, demand{}))
}

// deadlineExceeded handles a read that a deadline has ended. An idle connection that is to be closed
// brings what has arrived meanwhile, or ends. If the connection is in use and the deadline is not that
// of the server, the read is repeated.
func (conn *callerConn) deadlineExceeded(buffer []byte, now time.Time) (count int, err error, again bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	expired := conn.evicted || !conn.readDeadline.IsZero() && !now.Before(conn.readDeadline)
	switch {
	case !conn.busy() && (conn.ending || expired):
		if count = conn.readOrShut(buffer); count > 0 {
			return count, nil, false
		}
		return 0, os.ErrDeadlineExceeded, false
	case expired:
		return 0, os.ErrDeadlineExceeded, false
	}
	return 0, nil, conn.TCPConn.SetReadDeadline(conn.readDeadline) == nil
}

// readOrShut reads what has arrived, whatever the deadline. If that is nothing, it shuts the connection;
// what arrives between the two steps has no answer.
func (conn *callerConn) readOrShut(buffer []byte) (count int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if count, _ = unix.Read(int(fd), buffer); count <= 0 {
			_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, fd, unix.SHUT_RDWR, 0)
		}
	})
	return max(count, 0)
}

// Write implements net.Conn.
func (conn *callerConn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	conn.answered = true
	conn.mutex.Unlock()
	return conn.TCPConn.Write(data)
}

// SetReadDeadline implements net.Conn.
func (conn *callerConn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	// The server sets one on a connection that was idle once a few bytes of a request are there, which
	// may have arrived together with the request before.
	if conn.requests > 0 && deadline.After(time.Now()) {
		conn.received = max(conn.received, 1)
	}
	conn.readDeadline = deadline
	if conn.evicted || conn.ending && !conn.busy() {
		deadline = past
	}
	return conn.TCPConn.SetReadDeadline(deadline)
}

// becameIdle notes that the answer to a request is complete.
func (conn *callerConn) becameIdle() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.received, conn.handled, conn.answered, conn.unread = 0, false, false, false
	conn.whole, conn.delivering = false, false
	if conn.writeBounded {
		conn.writeBounded = false
		_ = conn.TCPConn.SetWriteDeadline(time.Time{})
	}
	conn.requests++
	conn.hold.Idle(time.Now())
	if conn.ending {
		_ = conn.TCPConn.SetReadDeadline(past)
	}
}

// answering reports whether the answer to the current request has begun.
func (conn *callerConn) answering() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.answered
}

// end closes the connection as soon as it is idle.
func (conn *callerConn) end() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.ending = true
	if !conn.busy() && len(conn.head) == 0 {
		_ = conn.TCPConn.SetReadDeadline(past)
	}
}

// evict ends the connection, whose caller keeps it waiting: an idle one is closed, a request that is arriving is
// rejected, and an answer that is not read is cut. A request that is whole meanwhile is answered first.
func (conn *callerConn) evict() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.ending = true
	switch {
	case conn.delivering:
		_ = conn.TCPConn.SetWriteDeadline(past)
	case conn.whole:
	default:
		conn.evicted = conn.busy()
		_ = conn.TCPConn.SetReadDeadline(past)
	}
}

// serve notes that all of the current request was read. It returns false if it may not be served now. Once it is
// served, the connection is no longer evicted for it.
func (conn *callerConn) serve(now time.Time) bool {
	if !conn.hold.Serve(now) {
		return false
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.whole = !conn.evicted
	return conn.whole
}

// deliver notes that the whole answer to the current request is ready, and bounds the time to write it.
func (conn *callerConn) deliver(now time.Time) {
	if conn == nil {
		return
	}
	conn.boundWrites(now.Add(deliveryTimeout))
	conn.mutex.Lock()
	conn.delivering = true
	conn.mutex.Unlock()
	conn.hold.Deliver(now)
}

// boundWrites bounds the time to write the current answer.
func (conn *callerConn) boundWrites(until time.Time) {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.writeBounded = true
	_ = conn.TCPConn.SetWriteDeadline(until)
}

// isEvicted reports whether others need the room that the current request takes.
func (conn *callerConn) isEvicted() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.evicted
}

// handle notes that the current request is parsed, and reports whether the connection is closed after its
// answer.
func (conn *callerConn) handle() (ends bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.handled = true
	return conn.ending
}

// busy reports whether a request is arriving or being answered. The mutex is held.
func (conn *callerConn) busy() bool { return conn.received > 0 || conn.handled }

// handling reports whether the current request is parsed and has no complete answer.
func (conn *callerConn) handling() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.handled
}

// used reports whether a request has begun to arrive.
func (conn *callerConn) used() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.requests > 0 || conn.busy()
}

// answeredUnread notes that the current request is answered before all of it was read.
func (conn *callerConn) answeredUnread() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.unread = true
}

// Close implements net.Conn. Closing a socket with unread bytes resets the connection, and the answer
// may be lost; the rest of a request that was answered early is therefore read first.
func (conn *callerConn) Close() error {
	conn.slot.release()
	conn.mutex.Lock()
	first, unread, unanswered := !conn.closed, conn.unread, conn.busy() && !conn.answered
	conn.closed = true
	conn.mutex.Unlock()
	if !first {
		return conn.TCPConn.Close()
	}
	conn.listener.remove(conn)
	conn.hold.Close()
	if unanswered {
		conn.countUnanswered(time.Now())
	}
	if unread && conn.listener.linger(conn.TCPConn) {
		return nil
	}
	return conn.TCPConn.Close()
}

// countUnanswered counts and logs a connection that is closed though a request has begun to arrive on it
// and got no answer.
func (conn *callerConn) countUnanswered(now time.Time) {
	daemon := conn.listener.daemon
	if remoteClosed(conn.TCPConn) {
		daemon.meters.unansweredLeft.Inc()
		return
	}
	daemon.meters.unanswered.Inc()
	if !conn.listener.unansweredLog.Due(now, unansweredLogInterval) {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	fields := []zap.Field{
		zap.Stringer("caller", conn.RemoteAddr()), zap.Int("received", conn.received), zap.Bool("handled", conn.handled),
		zap.Int("answered", conn.requests), zap.Duration("open", now.Sub(conn.opened)),
	}
	if stop := daemon.stop.Load(); stop != nil {
		fields = append(fields, zap.Duration("sinceStop", now.Sub(stop.Began)))
	}
	daemon.log.Warn("connection closed without an answer", fields...)
}

// lingering counts the connections of which the rest of a request is being read.
type lingering struct{ count atomic.Int64 }

// linger reads the rest of a request whose answer has been written, and closes its connection. It returns
// false if there are too many such connections.
func (lingering *lingering) linger(conn *net.TCPConn) bool {
	if lingering.count.Add(1) > maxLingering {
		lingering.count.Add(-1)
		return false
	}
	go func() {
		defer lingering.count.Add(-1)
		_ = conn.CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, conn, maxDrainedBytes)
		_ = conn.Close()
	}()
	return true
}

var (
	lengthHeader   = []byte("Content-Length:")
	encodingHeader = []byte("Transfer-Encoding:")
	lastChunk      = []byte("\r\n0\r\n\r\n")
)

// missingBytes returns how many bytes of a request are missing in its first bytes, a bound if that is
// not known.
func missingBytes(head []byte) int {
	header, body, found := bytes.Cut(head, headEnd)
	if !found {
		return maxDrainedBytes
	}
	for len(header) > 0 {
		var line []byte
		line, header, _ = bytes.Cut(header, lineEnd)
		if hasPrefixFold(line, lengthHeader) {
			length, err := strconv.Atoi(string(bytes.TrimSpace(line[len(lengthHeader):])))
			if err != nil {
				return maxDrainedBytes
			}
			return length - len(body)
		}
		if hasPrefixFold(line, encodingHeader) && !bytes.HasSuffix(head, lastChunk) {
			return maxDrainedBytes
		}
	}
	return 0
}

func hasPrefixFold(line, prefix []byte) bool {
	return len(line) >= len(prefix) && bytes.EqualFold(line[:len(prefix)], prefix)
}
