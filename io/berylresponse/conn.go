package berylresponse

// This file defines connections whose end shows whether all that was written was received.

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Conn is a connection that ends with io.ErrUnexpectedEOF in place of io.EOF if the other end has not received
// all that was written. A socket reports a reset once, to a read or a write: the end alone does not show it.
type Conn struct {
	net.Conn
	// mutex is held during a write; failed is set once one has failed.
	mutex  sync.Mutex
	failed bool
}

// NewConn returns a Conn that takes over an open connection.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements net.Conn.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	count, err := conn.Conn.Write(data)
	conn.failed = conn.failed || err != nil
	return count, err
}

// Read implements net.Conn. Nothing can be written once it has returned the end.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if err == io.EOF && !conn.received() {
		err = errors.Wrap(io.ErrUnexpectedEOF, "connection ended before all was received")
	}
	return count, err
}

// received ends the write that is under way, and reports whether all that was written was received.
func (conn *Conn) received() bool {
	// A write that the kernel has accepted whole does not fail by the deadline.
	if conn.SetWriteDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return !conn.failed && conn.unacknowledged() == 0
}

// unacknowledged returns the number of bytes written that the other end has not acknowledged, zero if that
// is not known. The end of a connection acknowledges all that was received before it.
func (conn *Conn) unacknowledged() (bytes int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = queued
		}
	})
	return bytes
}

// SyscallConn implements syscall.Conn.
func (conn *Conn) SyscallConn() (syscall.RawConn, error) {
	plain, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no socket")
	}
	return plain.SyscallConn()
}
