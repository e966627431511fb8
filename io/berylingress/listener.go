package berylingress

// This file defines a listener and a handler whose connections are bounded.

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// openAttempts is how often there is a look for room for a new connection, openInterval the time between:
	// connections that are evicted take a moment to close.
	openAttempts = 10
	openInterval = time.Millisecond
	// RetryAfter is the delay after which there may be room.
	RetryAfter = time.Second
)

// Listen bounds the connections of a listener. Their servers must use ConnContext and ConnState.
func (ingress *Ingress) Listen(inner net.Listener) net.Listener { return &listener{inner, ingress} }

type listener struct {
	net.Listener
	ingress *Ingress
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: accepted}
		if conn.Hold = listener.ingress.Await(conn.evict); conn.Hold != nil {
			return conn, nil
		}
		_ = accepted.Close()
	}
}

// Await is Open, which it tries again for a moment.
func (ingress *Ingress) Await(evict func()) *Hold {
	for range openAttempts {
		if hold := ingress.Open(time.Now(), evict); hold != nil {
			return hold
		}
		time.Sleep(openInterval)
	}
	return nil
}

// Conn is a connection that is bounded.
type Conn struct {
	net.Conn
	*Hold
	closing sync.Once
}

// evict closes the connection. It does not wait: a TLS connection tells its caller first.
func (conn *Conn) evict() { go func() { _ = conn.Conn.Close() }() }

// Read implements net.Conn. It fails if there is no room for a head.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 && !conn.Hold.Read(time.Now(), buffer[:count]) {
		return 0, os.ErrDeadlineExceeded
	}
	return count, err
}

// Close implements net.Conn.
func (conn *Conn) Close() error {
	conn.closing.Do(conn.Hold.Close)
	return conn.Conn.Close()
}

type connKey struct{}

// ConnContext implements http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnState implements http.Server.ConnState. The next answer has its own deadline.
func ConnState(conn net.Conn, state http.ConnState) {
	if bounded, ok := conn.(*Conn); ok && state == http.StateIdle {
		bounded.Idle(time.Now())
		_ = bounded.SetWriteDeadline(time.Time{})
	}
}

// Of returns what the connection of a request holds, nil if that is not bounded.
func Of(ctx context.Context) *Hold {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		return conn.Hold
	}
	return nil
}

// Handler refuses requests for whose heads there is no room.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !Of(request.Context()).Handle(time.Now(), request.Header, "") {
			writer.Header().Set("Connection", "close")
			writer.Header().Set("Retry-After", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
	})
}
