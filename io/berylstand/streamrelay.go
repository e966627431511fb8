package berylstand

// This file defines relays of TCP connections that inject network faults.

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Impairment is the impairment of the connections through a relay.
type Impairment struct {
	// Delay is added before each chunk of data is forwarded.
	Delay time.Duration
	// DropForward and DropBackward drop the data towards the upstream address and from
	// it, without an error at either end.
	DropForward, DropBackward bool
	// Refuse resets new connections.
	Refuse bool
}

// StreamRelay forwards TCP connections to an upstream address and can impair them. It
// can also drop all data of the open connections without an error while new connections
// work.
type StreamRelay struct {
	address    string
	upstream   string
	impairment atomic.Pointer[Impairment]
	mutex      sync.Mutex
	listener   net.Listener
	pairs      map[*connPair]bool
}

// connPair is a client's connection and the matching connection to the upstream address.
type connPair struct {
	relay                *StreamRelay
	downstream, upstream net.Conn
	blackholed           atomic.Bool
}

// NewStreamRelay starts a relay from a listen address to an upstream address.
func NewStreamRelay(listen, upstream string) (*StreamRelay, error) {
	relay := &StreamRelay{address: listen, upstream: upstream, pairs: make(map[*connPair]bool)}
	relay.impairment.Store(new(Impairment))
	if err := relay.Listen(); err != nil {
		return nil, err
	}
	return relay, nil
}

// Listen makes the relay accept connections at its address, after StopListening too.
func (relay *StreamRelay) Listen() error {
	listener, err := net.Listen("tcp", relay.address)
	if err != nil {
		return errors.Wrap(err, "relay cannot listen")
	}
	relay.mutex.Lock()
	relay.listener, relay.address = listener, listener.Addr().String()
	relay.mutex.Unlock()
	go relay.accept(listener)
	return nil
}

// Address returns the listen address.
func (relay *StreamRelay) Address() string {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.address
}

// SetImpairment sets the impairment of all connections, open and new.
func (relay *StreamRelay) SetImpairment(impairment Impairment) { relay.impairment.Store(&impairment) }

func (relay *StreamRelay) accept(listener net.Listener) {
	for {
		downstream, err := listener.Accept()
		if err != nil {
			return
		}
		if relay.impairment.Load().Refuse {
			reset(downstream)
			continue
		}
		upstream, err := net.Dial("tcp", relay.upstream)
		if err != nil {
			reset(downstream)
			continue
		}
		pair := &connPair{relay: relay, downstream: downstream, upstream: upstream}
		relay.mutex.Lock()
		relay.pairs[pair] = true
		relay.mutex.Unlock()
		go pair.run()
	}
}

// run forwards both directions until both have ended.
func (pair *connPair) run() {
	done := make(chan struct{})
	go func() {
		pair.pipe(pair.downstream, pair.upstream, func(impairment *Impairment) bool { return impairment.DropForward })
		close(done)
	}()
	pair.pipe(pair.upstream, pair.downstream, func(impairment *Impairment) bool { return impairment.DropBackward })
	<-done
	_ = pair.downstream.Close()
	_ = pair.upstream.Close()
	pair.relay.mutex.Lock()
	delete(pair.relay.pairs, pair)
	pair.relay.mutex.Unlock()
}

// pipe copies one direction until it ends. Once data is dropped it continues to read but
// forwards nothing, not even the end of the stream.
func (pair *connPair) pipe(from, to net.Conn, drops func(*Impairment) bool) {
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		size, err := from.Read(buffer)
		impairment := pair.relay.impairment.Load()
		// Dropped data is never retransmitted, so nothing after it may be forwarded: a
		// network loses the rest of a TCP connection, never bytes in its middle.
		dropping = dropping || pair.blackholed.Load() || drops(impairment)
		if dropping {
			if err != nil {
				return
			}
			continue
		}
		if impairment.Delay > 0 {
			time.Sleep(impairment.Delay)
		}
		if size > 0 {
			if _, writeErr := to.Write(buffer[:size]); writeErr != nil {
				err = writeErr
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// reset closes a connection so that the peer receives an RST.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Reset resets all open connections and returns their number.
func (relay *StreamRelay) Reset() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for pair := range relay.pairs {
		reset(pair.downstream)
		reset(pair.upstream)
	}
	return len(relay.pairs)
}

// Blackhole drops all further data of the open connections and returns their number.
func (relay *StreamRelay) Blackhole() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for pair := range relay.pairs {
		pair.blackholed.Store(true)
	}
	return len(relay.pairs)
}

// StopListening makes the relay refuse new connections, as the address of a process that has
// ended does.
func (relay *StreamRelay) StopListening() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	_ = relay.listener.Close()
}

// Close stops the relay and resets its connections.
func (relay *StreamRelay) Close() {
	relay.StopListening()
	relay.Reset()
}
