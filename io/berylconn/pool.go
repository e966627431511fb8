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
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection: the way between regions
	// and one lost packet.
	dialTimeout = 1200 * time.Millisecond
	// unacknowledged is the time after which data that the other end does not
	// acknowledge ends a connection. Something on the way may lose track of an
	// open connection for good; only this shows it.
	unacknowledged = 2 * time.Second
	// keepAliveIdle and keepAliveEvery make a silent connection show while an
	// answer is awaited.
	keepAliveIdle  = 1500 * time.Millisecond
	keepAliveEvery = time.Second
	keepAliveLost  = 2
	// idleMost is the time after which an idle connection is not used again,
	// where the target states none.
	idleMost = 4 * time.Second
	// idleMargin is how much earlier than a target's own limit a connection is
	// given up, so that a request does not cross the target's close.
	idleMargin = 700 * time.Millisecond
	readBytes  = 4096
)

// ErrBusy means that no connection may be opened to the target.
var ErrBusy = errors.New("all connections to the target are in use")

// Pool keeps the connections to all targets.
type Pool struct {
	mutex sync.Mutex
	idle  map[string][]*conn
	open  map[string]int
	// Opened counts the connections ever opened.
	opened uint64
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleFor is how long the connection may stay idle, since is when it became.
	idleFor time.Duration
	since   time.Time
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), open: make(map[string]int)}
}

// Opened returns how many connections were opened.
func (pool *Pool) Opened() uint64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.opened
}

// take returns an idle connection or reserves the right to open one.
func (pool *Pool) take(now time.Time, address string, most int) (*conn, error) {
	for {
		kept, err := pool.takeOne(address, most)
		if err != nil || kept == nil {
			return nil, err
		}
		if now.Sub(kept.since) < kept.idleFor && kept.clean() {
			return kept, nil
		}
		pool.discard(kept)
	}
}

func (pool *Pool) takeOne(address string, most int) (*conn, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if kept := pool.idle[address]; len(kept) > 0 {
		// The newest is taken first, so that connections beyond the present need
		// grow old and are closed.
		last := kept[len(kept)-1]
		pool.idle[address] = kept[:len(kept)-1]
		return last, nil
	}
	if pool.open[address] >= most {
		return nil, ErrBusy
	}
	pool.open[address]++
	pool.opened++
	return nil, nil
}

// put keeps a connection for the next request.
func (pool *Pool) put(now time.Time, kept *conn) {
	kept.since = now
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.idle[kept.address] = append(pool.idle[kept.address], kept)
}

func (pool *Pool) discard(kept *conn) {
	_ = kept.Close()
	pool.release(kept.address)
}

func (pool *Pool) release(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.open[address]--; pool.open[address] <= 0 {
		delete(pool.open, address)
	}
}

// Sweep closes the connections that were idle for too long.
func (pool *Pool) Sweep(now time.Time) {
	pool.mutex.Lock()
	var old []*conn
	for address, kept := range pool.idle {
		fresh := kept[:0:0]
		for _, one := range kept {
			if now.Sub(one.since) < one.idleFor {
				fresh = append(fresh, one)
			} else {
				old = append(old, one)
			}
		}
		pool.idle[address] = fresh
		if len(fresh) == 0 {
			delete(pool.idle, address)
		}
	}
	pool.mutex.Unlock()
	for _, one := range old {
		pool.discard(one)
	}
}

// dial opens a connection to a target.
func (pool *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveLost,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// A platform without the option still has the keep-alive.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
		},
	}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		pool.release(address)
		return nil, err
	}
	return &conn{Conn: opened, address: address, reader: bufio.NewReaderSize(opened, readBytes), idleFor: idleMost}, nil
}

// clean says whether an idle connection is open with nothing to read. A target
// that closed it, or sent a second answer late, would otherwise be noticed only
// after the next request was sent, when it may have run.
func (conn *conn) clean() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	plain, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := plain.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		clean = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return clean && err == nil
}

// learn takes the idle time that a target states in its answer.
func (conn *conn) learn(header http.Header) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil {
			continue
		}
		conn.idleFor = time.Duration(seconds)*time.Second - idleMargin
	}
}
