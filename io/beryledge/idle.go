package beryledge

// This file defines how idle connections of callers are closed.

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"berylspoke/io/berylingress"
)

const (
	// idleMargin is how much longer an idle connection stays open than callers may use
	// it, so that no request is sent while it is closed.
	idleMargin = time.Second
	// defaultIdleTimeout applies if the configuration states none.
	defaultIdleTimeout = 15 * time.Second
	// maxConnFraction is the fraction of the descriptors that callers' connections may
	// use before refused callers are asked to close theirs. Callers retry after a
	// refusal over a new connection, so a flood of refusals would otherwise exhaust the
	// descriptors with idle connections.
	maxConnFraction = 0.3
)

// idleConns tracks the callers' connections, together with those to the daemon's other
// HTTP servers.
type idleConns struct {
	open  atomic.Int64
	mutex sync.Mutex
	// limit is the idle timeout in force, with its margin.
	limit time.Duration
	since map[net.Conn]idleTime
}

// idleTime is since when a connection is idle, and the limit at that time: its caller may use it by that
// one, though a shorter one is in force meanwhile.
type idleTime struct {
	since time.Time
	limit time.Duration
	// ended is when the connection was ended, which takes effect once no request is arriving.
	ended time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: make(map[net.Conn]idleTime)} }

// observe implements http.Server.ConnState.
func (idle *idleConns) observe(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		idle.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		idle.open.Add(-1)
	}
	if caller, ok := conn.(*callerConn); ok && state == http.StateIdle {
		caller.becameIdle()
	}
	berylingress.ConnState(conn, state)
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	if state == http.StateIdle {
		idle.since[conn] = idleTime{since: time.Now(), limit: idle.limit}
	} else {
		delete(idle.since, conn)
	}
}

// sweep closes the connections that have been idle for longer than the limit. If the head of a request is
// arriving on one, it has as long as any head.
func (idle *idleConns) sweep(now time.Time, limit time.Duration) {
	idle.mutex.Lock()
	idle.limit = limit
	var ended []*callerConn
	var closed []net.Conn
	for conn, began := range idle.since {
		caller, gentle := conn.(*callerConn)
		switch {
		case now.Sub(began.since) <= max(limit, began.limit):
		case gentle && began.ended.IsZero():
			ended = append(ended, caller)
			began.ended = now
			idle.since[conn] = began
		case !gentle || now.Sub(began.ended) > headerTimeout:
			closed = append(closed, conn)
			delete(idle.since, conn)
		}
	}
	idle.mutex.Unlock()
	for _, conn := range ended {
		conn.end()
	}
	for _, conn := range closed {
		_ = conn.Close()
	}
}

// sweepIdle closes the callers' connections that have been idle for too long.
func (daemon *Daemon) sweepIdle(now time.Time) {
	limit := defaultIdleTimeout
	if index := daemon.index.Load(); index != nil && index.Catalog().Limits.IdleTimeout > 0 {
		limit = index.Catalog().Limits.IdleTimeout
	}
	daemon.idle.sweep(now, limit+idleMargin)
}

// tooManyConns reports whether callers' connections use too many descriptors.
func (daemon *Daemon) tooManyConns() bool {
	return float64(daemon.idle.open.Load()) > maxConnFraction*float64(daemon.settings.MaxDescriptors)
}
