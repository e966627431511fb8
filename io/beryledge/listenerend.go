package beryledge

// This file defines how the listener ends: what has arrived by then is answered.

import (
	"time"

	"golang.org/x/sys/unix"

	"berylspoke/core/beryladmission"
)

const (
	// newConnTimeout is how long a listener that ends waits for the first request of a connection.
	newConnTimeout = 500 * time.Millisecond
	// endPollInterval is the time between two checks of whether all connections are closed.
	endPollInterval = 5 * time.Millisecond
)

// acceptLast accepts the connections in the backlog, and stops listening once it is empty. Nothing may
// come between the two, as connections that are not accepted are reset then.
func (listener *admissionListener) acceptLast() (accepted []int, err error) {
	if listener.shut {
		return nil, nil
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	err = raw.Control(func(socket uintptr) {
		var errno unix.Errno
		if accepted, errno = acceptBacklog(socket, maxAcceptBatch); errno == unix.EAGAIN {
			_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, socket, unix.SHUT_RD, 0)
			listener.shut = true
		}
	})
	return accepted, err
}

// acceptRest returns the next connection that waits already when the listener ends, nil if there is none.
func (listener *admissionListener) acceptRest() *callerConn {
	for time.Now().Before(listener.endBy) {
		for _, conn := range listener.pending {
			listener.bypass(listener.newConn(conn.descriptor, nil, nil))
		}
		listener.pending = nil
		accepted, err := listener.acceptLast()
		for _, descriptor := range accepted {
			listener.bypass(listener.newConn(descriptor, nil, nil))
		}
		if last := len(listener.bypassed) - 1; last >= 0 {
			conn := listener.bypassed[last]
			listener.bypassed = listener.bypassed[:last]
			return conn
		}
		select {
		case conn := <-listener.admitted:
			return conn
		default:
		}
		if err != nil || listener.queued.Load() == 0 && listener.shut {
			return nil
		}
		time.Sleep(endPollInterval)
		listener.daemon.admission.expire()
	}
	return nil
}

// end accepts the connections that wait already, until a time at the latest, and no more.
func (listener *admissionListener) end(until time.Time) {
	listener.endBy = until
	listener.ending.Store(true)
	_ = listener.SetDeadline(past)
}

// awaitClosed closes each connection once it is idle. It returns when all are closed, or at a time.
func (listener *admissionListener) awaitClosed(until time.Time) {
	for now := time.Now(); now.Before(until) && listener.endIdle(now) > 0; now = time.Now() {
		time.Sleep(endPollInterval)
	}
}

// awaitAnswers waits until the requests that are parsed are answered, until a time at the latest.
func (listener *admissionListener) awaitAnswers(until time.Time) {
	for time.Now().Before(until) && listener.handling() {
		time.Sleep(endPollInterval)
	}
}

// handling reports whether a request that is parsed has no complete answer.
func (listener *admissionListener) handling() bool {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for conn := range listener.conns {
		if conn.handling() {
			return true
		}
	}
	return false
}

// endIdle ends the idle connections and returns how many sockets are open.
func (listener *admissionListener) endIdle(now time.Time) int {
	open := int(listener.lingering.count.Load())
	if !listener.closed.Load() {
		open++
	}
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for conn := range listener.conns {
		if conn.used() || now.Sub(conn.opened) > newConnTimeout {
			conn.end()
		}
	}
	return open + len(listener.conns)
}

// rejectPending rejects the requests that a stopping server no longer accepts.
func (listener *admissionListener) rejectPending() {
	listener.closed.Store(true)
	for _, conn := range listener.pending {
		listener.daemon.rejectConn(conn.descriptor, make([]byte, headBytes), demand{}, beryladmission.Overload)
	}
	listener.pending = nil
	listener.rejectAdmitted()
}

// rejectAdmitted rejects the admitted requests that the server has not accepted.
func (listener *admissionListener) rejectAdmitted() {
	for {
		select {
		case conn := <-listener.admitted:
			conn.reject(demand{})
		default:
			return
		}
	}
}

// openConns returns the number of open connections.
func (listener *admissionListener) openConns() int {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	return len(listener.conns)
}
