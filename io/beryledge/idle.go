package beryledge

// This file defines how connections of callers that are idle are given up.

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleMargin is how much longer than callers may use an idle connection it
	// stays open, so that a request does not cross its close.
	idleMargin = time.Second
	// idleUnstated is the limit where the configuration states none.
	idleUnstated = 15 * time.Second
	// crowdedShare is the part of the descriptors that callers' connections may
	// use before refused callers are asked to close theirs. Callers come back
	// after a refusal over a new connection, and a flood of refusals would
	// otherwise use up the descriptors with idle connections.
	crowdedShare = 0.3
)

// idleConns tracks the callers' connections.
type idleConns struct {
	open  atomic.Int64
	mutex sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: make(map[net.Conn]time.Time)} }

// observe is the server's hook for the states of connections.
func (idle *idleConns) observe(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		idle.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		idle.open.Add(-1)
	}
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	if state == http.StateIdle {
		idle.since[conn] = time.Now()
	} else {
		delete(idle.since, conn)
	}
}

// sweep closes the connections that were idle for longer than the limit.
func (idle *idleConns) sweep(now time.Time, limit time.Duration) {
	idle.mutex.Lock()
	var old []net.Conn
	for conn, since := range idle.since {
		if now.Sub(since) > limit {
			old = append(old, conn)
			delete(idle.since, conn)
		}
	}
	idle.mutex.Unlock()
	for _, conn := range old {
		_ = conn.Close()
	}
}

// sweepIdle gives up the callers' connections that no caller uses any more.
func (daemon *Daemon) sweepIdle(now time.Time) {
	limit := idleUnstated
	if index := daemon.index.Load(); index != nil && index.Catalog().Limits.IdleTimeout > 0 {
		limit = index.Catalog().Limits.IdleTimeout
	}
	daemon.idle.sweep(now, limit+idleMargin)
}

// crowded says whether callers' connections use up too many descriptors.
func (daemon *Daemon) crowded() bool {
	return float64(daemon.idle.open.Load()) > crowdedShare*float64(daemon.settings.Descriptors)
}
