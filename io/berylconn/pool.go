package berylconn

// This file defines the pool of connections to targets.

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"berylspoke/io/berylresponse"
)

const (
	// dialTimeout bounds dialling. It allows for the network latency between regions and
	// one lost packet.
	dialTimeout = 1200 * time.Millisecond
	// userTimeout is how long sent data may stay unacknowledged before the connection
	// is closed. A middlebox may permanently lose the state of an open connection, which
	// nothing else detects.
	userTimeout = 2 * time.Second
	// The keep-alive probes detect a broken connection while a response is awaited.
	keepAliveIdle     = 1500 * time.Millisecond
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is the time after which an idle connection is no longer reused,
	// unless the target states an idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the target's own idle timeout a connection is
	// closed, so that the target does not close it while a request is on the way.
	idleMargin      = 700 * time.Millisecond
	readBufferBytes = 4096
)

// ErrBusy means that the target has no idle connection and no further one may be
// opened.
var ErrBusy = errors.New("all connections to the target are in use")

// Pool holds the connections to all targets.
type Pool struct {
	// maxOpen bounds the open connections to all targets together, zero for no bound.
	maxOpen int
	mutex   sync.Mutex
	idle    map[string][]*conn
	open    map[string]int
	// total is the number of open connections to all targets.
	total int
	// dials counts the dials since the start, including failed ones.
	dials uint64
}

// conn is one connection to a target.
type conn struct {
	*berylresponse.Conn
	address string
	reader  *bufio.Reader
	// idleTimeout is how long the connection may stay idle, idleSince when it became
	// idle.
	idleTimeout time.Duration
	idleSince   time.Time
	// openedAt is a time before the connection was open.
	openedAt time.Time
	// asked is set once a question without the id of a request was sent.
	asked bool
	// traffic counts the bytes of the current exchange; it may be nil.
	traffic *Traffic
	// headLeft is how much may be read of the head that is being read, unlimited if none is.
	headLeft int
}

// Traffic counts bytes exchanged with targets, without headers of packets.
type Traffic struct{ Sent, Received atomic.Uint64 }

// Write implements net.Conn.
func (conn *conn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	if conn.traffic != nil {
		conn.traffic.Sent.Add(uint64(count))
	}
	return count, err
}

// Read implements net.Conn.
func (conn *conn) Read(buffer []byte) (int, error) {
	count, err := conn.readBounded(buffer)
	if conn.traffic != nil {
		conn.traffic.Received.Add(uint64(count))
	}
	return count, err
}

// NewPool returns an empty pool with a bound on its open connections, zero for none.
func NewPool(maxOpen int) *Pool {
	return &Pool{maxOpen: maxOpen, idle: make(map[string][]*conn), open: make(map[string]int)}
}

// DialCount returns the number of dials since the start, including failed ones.
func (pool *Pool) DialCount() uint64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.dials
}

// take returns an idle connection, or nil if a new one may be opened, which it counts as
// open already.
func (pool *Pool) take(now time.Time, address string, maxOpen int) (*conn, error) {
	for {
		idle, err := pool.takeOne(address, maxOpen)
		if err != nil || idle == nil {
			return nil, err
		}
		if now.Sub(idle.idleSince) < idle.idleTimeout && idle.clean() {
			return idle, nil
		}
		pool.discard(idle)
	}
}

// takeOne is take without the check that the connection can be reused.
func (pool *Pool) takeOne(address string, maxOpen int) (*conn, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if idle := pool.idle[address]; len(idle) > 0 {
		// The most recently used is taken first, so that connections beyond the
		// current need stay idle until they expire.
		last := idle[len(idle)-1]
		pool.idle[address] = idle[:len(idle)-1]
		return last, nil
	}
	if pool.open[address] >= maxOpen || !pool.makeRoom() {
		return nil, ErrBusy
	}
	pool.open[address]++
	pool.total++
	pool.dials++
	return nil, nil
}

// makeRoom closes an idle connection to another target if too many are open, and reports whether there is room for
// one more. The caller holds the mutex.
func (pool *Pool) makeRoom() bool {
	if pool.maxOpen == 0 || pool.total < pool.maxOpen {
		return true
	}
	for address, idle := range pool.idle {
		if len(idle) == 0 {
			continue
		}
		_ = idle[0].Close()
		pool.idle[address] = idle[1:]
		pool.remove(address)
		return true
	}
	return false
}

// remove counts a connection as closed. The caller holds the mutex.
func (pool *Pool) remove(address string) {
	pool.total--
	if pool.open[address]--; pool.open[address] <= 0 {
		delete(pool.open, address)
	}
}

// put returns a connection to the pool for the next request.
func (pool *Pool) put(now time.Time, conn *conn) {
	conn.idleSince = now
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.idle[conn.address] = append(pool.idle[conn.address], conn)
}

// Probe asks a target over a connection of its own. Refused is set if the target refuses the
// connection, as the address of a process that has ended does. It has no status if the target does
// not answer. The connection is not kept: a late duplicate of the response, which has no id, would
// be taken for the response to the next request.
func (pool *Pool) Probe(ctx context.Context, address string, request *http.Request) (probed Probed) {
	pool.mutex.Lock()
	pool.open[address]++
	pool.total++
	pool.dials++
	pool.mutex.Unlock()
	conn, err := pool.dial(ctx, address)
	if err != nil {
		return Probed{Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	status, body, _, err := conn.ask(request)
	stop()
	pool.discard(conn)
	if err != nil {
		return Probed{}
	}
	return Probed{Status: status, Body: body}
}

// Probed is what a target answered to a probe.
type Probed struct {
	Refused bool
	Status  int
	Body    []byte
}

// ask sends a small request and returns its response, and whether the connection can be used again.
func (conn *conn) ask(request *http.Request) (status int, body []byte, keep bool, err error) {
	conn.asked = true
	if err := request.Write(conn); err != nil {
		return 0, nil, false, err
	}
	response, err := conn.readFinalResponse(request)
	if err != nil {
		return 0, nil, false, err
	}
	body, err = ReadAll(response.Body, maxAskBytes, nil)
	if err != nil {
		return 0, nil, false, err
	}
	return response.StatusCode, body, berylresponse.Framed(response) && !response.Close, nil
}

// readResponse reads the head of a response.
func (conn *conn) readResponse(request *http.Request) (response *http.Response, err error) {
	err = conn.readHead(func() error {
		response, err = berylresponse.Read(conn.reader, request)
		return err
	})
	return response, err
}

// readFinalResponse reads the head of the next response that is not an interim one.
func (conn *conn) readFinalResponse(request *http.Request) (*http.Response, error) {
	for range maxResponses {
		response, err := conn.readResponse(request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, errors.New("too many interim responses")
}

func (pool *Pool) discard(conn *conn) {
	_ = conn.Close()
	pool.release(conn.address)
}

func (pool *Pool) release(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.remove(address)
}

// CloseExpired closes the connections whose idle timeout has expired.
func (pool *Pool) CloseExpired(now time.Time) {
	pool.mutex.Lock()
	var expired []*conn
	for address, idle := range pool.idle {
		fresh := idle[:0:0]
		for _, conn := range idle {
			if now.Sub(conn.idleSince) < conn.idleTimeout {
				fresh = append(fresh, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		pool.idle[address] = fresh
		if len(fresh) == 0 {
			delete(pool.idle, address)
		}
	}
	pool.mutex.Unlock()
	for _, conn := range expired {
		pool.discard(conn)
	}
}

// dial opens a connection to a target; take must have counted it.
func (pool *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// If the option cannot be set, the connection still has keep-alive.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
		},
	}
	dialedAt := time.Now()
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		pool.release(address)
		return nil, err
	}
	conn := &conn{Conn: berylresponse.NewConn(opened), address: address, idleTimeout: defaultIdleTimeout, openedAt: dialedAt, headLeft: unlimited}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	return conn, nil
}

// clean reports whether an idle connection is open with nothing to read. Otherwise a
// close by the target, or a late duplicate response, would show only after the next
// request was sent and may have run.
func (conn *conn) clean() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(fd), buffer[:])
		clean = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return clean && err == nil
}

// setIdleTimeout applies the timeout of the Keep-Alive header of a response.
func (conn *conn) setIdleTimeout(header http.Header) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil {
			continue
		}
		conn.idleTimeout = time.Duration(seconds)*time.Second - idleMargin
	}
}
