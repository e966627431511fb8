package berylresponse

// This file defines connections that tell at their end whether all that was written was received.

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrNotReceived means that a connection ended before its other end had received all that was written.
var ErrNotReceived = errors.New("connection ended before all was received")

// Conn is a connection that checks at its end whether all that was written was received. A socket reports a
// reset once, to a read or a write, so that the end alone does not show it.
type Conn struct {
	net.Conn
	// mutex is held during a write; failed is set once one has failed.
	mutex  sync.Mutex
	failed bool
	// lost is set if the connection has ended and not all was received.
	lost bool
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
	if err == io.EOF {
		conn.endWrites()
	}
	return count, err
}

// endWrites ends the write that is under way, and records whether all that was written was received.
func (conn *Conn) endWrites() {
	// A write that the kernel has accepted whole does not fail by the deadline.
	err := conn.SetWriteDeadline(time.Unix(1, 0))
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.lost = err != nil || conn.failed || conn.unacknowledged() > 0
}

// CheckReceived returns ErrNotReceived if the connection has ended and not all that was written was received.
func (conn *Conn) CheckReceived() error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.lost {
		return ErrNotReceived
	}
	return nil
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
