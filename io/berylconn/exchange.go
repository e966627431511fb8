package berylconn

// This file defines one request and its answer on one connection.

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Failure is an error together with whether the request may have been received.
type Failure struct {
	// Unsent says that no byte can have reached the target.
	Unsent bool
	Cause  error
}

// Error implements error.
func (failure *Failure) Error() string { return failure.Cause.Error() }

// Unwrap returns the cause.
func (failure *Failure) Unwrap() error { return failure.Cause }

// Exchange is an answer that is being read.
type Exchange struct {
	Response *http.Response
	// Opened is the time that a new connection took, zero for a kept one.
	Opened  time.Duration
	pool    *Pool
	conn    *conn
	written chan error
	stop    func() bool
	// foreign is set when answers of other requests were skipped.
	foreign bool
}

const (
	// maxForeign bounds the answers of other requests that are skipped while
	// waiting for the right one.
	maxForeign = 3
	// skipBytes bounds the body of a foreign answer that is read to skip it.
	skipBytes = 1 << 20
	// writeAside is the body size from which the request is written beside the
	// reading of the answer. A target may answer before it has read a long body,
	// and both ends would wait for each other.
	writeAside = 2048
)

// Order is one request to one target.
type Order struct {
	Address string
	// Most is how many connections to the target may be open.
	Most    int
	Request *http.Request
	// Wanted says, once there is a connection, whether the request is still to be
	// sent.
	Wanted func() bool
	// Mine says whether an answer belongs to the request; others are skipped,
	// since a target may send an answer twice and the second arrives where the
	// next is due.
	Mine func(*http.Response) bool
}

// ErrUnwanted means that a request was not wanted any more when it could be sent.
var ErrUnwanted = errors.New("request is not wanted any more")

// Send sends a request and returns when the header of its answer has come. The
// context ends the exchange at any time by closing the connection.
func (pool *Pool) Send(ctx context.Context, order Order) (*Exchange, error) {
	now := time.Now()
	kept, err := pool.take(now, order.Address, order.Most)
	if err != nil {
		return nil, &Failure{Unsent: true, Cause: err}
	}
	exchange := &Exchange{pool: pool, conn: kept, written: make(chan error, 1)}
	if kept == nil {
		if exchange.conn, err = pool.dial(ctx, order.Address); err != nil {
			return nil, &Failure{Unsent: true, Cause: errors.Wrap(err, "target cannot be reached")}
		}
		exchange.Opened = time.Since(now)
	}
	if !order.Wanted() {
		pool.put(now, exchange.conn)
		return nil, &Failure{Unsent: true, Cause: ErrUnwanted}
	}
	exchange.stop = context.AfterFunc(ctx, func() { _ = exchange.conn.Close() })
	exchange.write(order.Request)
	if err := exchange.readHeader(order.Request, order.Mine); err != nil {
		exchange.Discard()
		return nil, &Failure{Cause: err}
	}
	return exchange, nil
}

func (exchange *Exchange) write(request *http.Request) {
	if request.ContentLength > writeAside {
		go func() { exchange.written <- request.Write(exchange.conn) }()
		return
	}
	exchange.written <- request.Write(exchange.conn)
}

func (exchange *Exchange) readHeader(request *http.Request, mine func(*http.Response) bool) error {
	for range maxForeign {
		response, err := http.ReadResponse(exchange.conn.reader, request)
		if err != nil {
			return errors.Wrap(err, "no answer")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if mine(response) {
			exchange.Response = response
			exchange.conn.learn(response.Header)
			return nil
		}
		exchange.foreign = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, skipBytes)); err != nil {
			return errors.Wrap(err, "answer of another request")
		}
	}
	return errors.New("only answers of other requests")
}

// Buffered returns how many bytes can be read without waiting.
func (exchange *Exchange) Buffered() int { return exchange.conn.reader.Buffered() }

// Done ends an exchange whose answer was read whole, and keeps its connection
// if the next answer on it can only be the next request's.
func (exchange *Exchange) Done() {
	whole := false
	select {
	case err := <-exchange.written:
		whole = err == nil
	default:
		// The target answered before it had read the request; what is left of
		// the request would be taken for the next one.
	}
	framed := exchange.Response.ContentLength >= 0 || len(exchange.Response.TransferEncoding) > 0
	if !whole || !framed || exchange.foreign || exchange.Response.Close || exchange.conn.reader.Buffered() > 0 || !exchange.stop() {
		exchange.Discard()
		return
	}
	exchange.pool.put(time.Now(), exchange.conn)
}

// Discard ends an exchange at once and closes its connection.
func (exchange *Exchange) Discard() {
	exchange.stop()
	exchange.pool.discard(exchange.conn)
}
