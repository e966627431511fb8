package berylstand

// This file defines relays of TCP connections that harm what passes.

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Harm is what a relay does to the connections that pass it.
type Harm struct {
	// Delay is added to each piece that passes.
	Delay time.Duration
	// SwallowForth and SwallowBack drop what passes towards the relayed address
	// and from it, without an error at either end.
	SwallowForth, SwallowBack bool
	// Refuse resets new connections.
	Refuse bool
}

// StreamRelay carries TCP connections to one address and can harm them, or forget
// them: what passes is then swallowed without an error, while new ones work.
type StreamRelay struct {
	listener net.Listener
	back     string
	harm     atomic.Pointer[Harm]
	mutex    sync.Mutex
	open     map[*relayed]bool
}

type relayed struct {
	relay       *StreamRelay
	front, back net.Conn
	forgotten   atomic.Bool
}

// NewStreamRelay listens on front and relays to back.
func NewStreamRelay(front, back string) (*StreamRelay, error) {
	listener, err := net.Listen("tcp", front)
	if err != nil {
		return nil, errors.Wrap(err, "relay cannot listen")
	}
	relay := &StreamRelay{listener: listener, back: back, open: make(map[*relayed]bool)}
	relay.harm.Store(new(Harm))
	go relay.accept()
	return relay, nil
}

// Address returns where the relay listens.
func (relay *StreamRelay) Address() string { return relay.listener.Addr().String() }

// SetHarm sets what is done to all connections from now on.
func (relay *StreamRelay) SetHarm(harm Harm) { relay.harm.Store(&harm) }

func (relay *StreamRelay) accept() {
	for {
		front, err := relay.listener.Accept()
		if err != nil {
			return
		}
		if relay.harm.Load().Refuse {
			reset(front)
			continue
		}
		back, err := net.Dial("tcp", relay.back)
		if err != nil {
			reset(front)
			continue
		}
		pair := &relayed{relay: relay, front: front, back: back}
		relay.mutex.Lock()
		relay.open[pair] = true
		relay.mutex.Unlock()
		go pair.run()
	}
}

// run carries both directions until both have ended.
func (pair *relayed) run() {
	done := make(chan struct{})
	go func() {
		pair.pipe(pair.front, pair.back, func(harm *Harm) bool { return harm.SwallowForth })
		close(done)
	}()
	pair.pipe(pair.back, pair.front, func(harm *Harm) bool { return harm.SwallowBack })
	<-done
	_ = pair.front.Close()
	_ = pair.back.Close()
	pair.relay.mutex.Lock()
	delete(pair.relay.open, pair)
	pair.relay.mutex.Unlock()
}

// pipe copies until an end; a forgotten connection goes on reading and passes
// nothing on, not even its end.
func (pair *relayed) pipe(from, to net.Conn, swallows func(*Harm) bool) {
	buffer := make([]byte, 32<<10)
	swallowed := false
	for {
		size, err := from.Read(buffer)
		harm := pair.relay.harm.Load()
		// What was swallowed once is missing for good, so nothing later may pass:
		// a network loses the rest of a connection, never bytes in its middle.
		swallowed = swallowed || pair.forgotten.Load() || swallows(harm)
		if swallowed {
			if err != nil {
				return
			}
			continue
		}
		if harm.Delay > 0 {
			time.Sleep(harm.Delay)
		}
		if size > 0 {
			if _, failed := to.Write(buffer[:size]); failed != nil {
				err = failed
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

// reset closes a connection so that the other end sees a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Reset resets all open connections and returns their number.
func (relay *StreamRelay) Reset() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for pair := range relay.open {
		reset(pair.front)
		reset(pair.back)
	}
	return len(relay.open)
}

// Forget makes all open connections silent for good and returns their number.
func (relay *StreamRelay) Forget() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for pair := range relay.open {
		pair.forgotten.Store(true)
	}
	return len(relay.open)
}

// Close stops the relay and its connections.
func (relay *StreamRelay) Close() {
	_ = relay.listener.Close()
	relay.Reset()
}
