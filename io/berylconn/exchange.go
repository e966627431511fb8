package berylconn

// This file defines the exchange of one request and its response on a connection.

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"berylspoke/io/berylresponse"
)

// SendError is the error of a request, with whether the target may have received it.
type SendError struct {
	// Unsent is set if no byte of the request can have reached the target.
	Unsent bool
	Cause  error
}

// Error returns the message of the cause.
func (err *SendError) Error() string { return err.Cause.Error() }

// Unwrap returns the cause.
func (err *SendError) Unwrap() error { return err.Cause }

// Exchange is a request that was sent and whose response is being read.
type Exchange struct {
	Response *http.Response
	// DialTime is the time that dialling took, zero for a pooled connection.
	DialTime time.Duration
	pool     *Pool
	conn     *conn
	written  chan error
	stop     func() bool
	// skipped is set when responses to other requests were skipped.
	skipped bool
}

const (
	// maxResponses bounds the responses read while waiting for the one to the
	// request, including interim ones.
	maxResponses = 3
	// maxSkippedBytes bounds the body that is read to skip a response.
	maxSkippedBytes = 1 << 20
	// maxInlineBody is the largest body that is written before the response is read.
	// A larger one is written concurrently: a target may respond before it has read
	// the body, and both ends would block on each other.
	maxInlineBody = 2048
)

// SendOptions describes one request to one target.
type SendOptions struct {
	Address string
	// MaxConnections bounds the open connections to the target.
	MaxConnections int
	Request        *http.Request
	// StillWanted reports whether the request is still to be sent. It is called once there
	// is a connection, since dialling may take long.
	StillWanted func() bool
	// Matches reports whether a response belongs to the request. Others are skipped: a
	// target may send a response twice, and the duplicate arrives in place of the
	// next response. After a question (Identity) on the same connection, asked is set: a response
	// without the id of a request may be a duplicate of that to the question.
	Matches func(response *http.Response, asked bool) bool
	// Traffic counts the bytes of the exchange; it may be nil.
	Traffic *Traffic
	// Identity is what to ask the target first on a connection that may lead to another process
	// than expected, nil for nothing.
	Identity *Identity
}

// Identity is a question for what a target says of itself.
type Identity struct {
	// Before is the time before which connections were opened that lead to the expected process.
	Before  time.Time
	Request *http.Request
	// Accepts reports whether a response may come from the expected process.
	Accepts func(status int, body []byte) bool
}

// ErrOtherProcess means that a connection leads to another process than expected.
var ErrOtherProcess = errors.New("another process has the target's address")

// ErrNoLongerWanted means that a request was no longer wanted when there was a connection.
var ErrNoLongerWanted = errors.New("request is no longer wanted")

// Send sends a request and returns once the header of its response was read. Cancelling
// the context aborts the exchange at any time by closing the connection.
func (pool *Pool) Send(ctx context.Context, options SendOptions) (*Exchange, error) {
	now := time.Now()
	pooled, err := pool.take(now, options.Address, options.MaxConnections)
	if err != nil {
		return nil, &SendError{Unsent: true, Cause: err}
	}
	exchange := &Exchange{pool: pool, conn: pooled, written: make(chan error, 1)}
	if pooled == nil {
		if exchange.conn, err = pool.dial(ctx, options.Address); err != nil {
			return nil, &SendError{Unsent: true, Cause: errors.Wrap(err, "connection to target cannot be opened")}
		}
		exchange.DialTime = time.Since(now)
	}
	if !options.StillWanted() {
		pool.put(now, exchange.conn)
		return nil, &SendError{Unsent: true, Cause: ErrNoLongerWanted}
	}
	exchange.conn.traffic = options.Traffic
	exchange.stop = context.AfterFunc(ctx, func() { _ = exchange.conn.Close() })
	if err := exchange.identify(options.Identity); err != nil {
		exchange.Discard()
		return nil, &SendError{Unsent: true, Cause: err}
	}
	exchange.write(options.Request)
	if err := exchange.readHeader(options.Request, options.Matches); err != nil {
		exchange.Discard()
		return nil, &SendError{Cause: err}
	}
	return exchange, nil
}

// identify asks the target what it is unless that is known, or not asked for.
func (exchange *Exchange) identify(identity *Identity) error {
	if identity == nil || exchange.conn.openedAt.Before(identity.Before) {
		return nil
	}
	status, body, keep, err := exchange.conn.ask(identity.Request)
	switch {
	case err != nil:
		return errors.Wrap(err, "target does not say what it is")
	case !identity.Accepts(status, body):
		return ErrOtherProcess
	case !keep:
		return ErrBusy
	}
	return nil
}

func (exchange *Exchange) write(request *http.Request) {
	if request.ContentLength > maxInlineBody {
		go func() { exchange.written <- request.Write(exchange.conn) }()
		return
	}
	exchange.written <- request.Write(exchange.conn)
}

func (exchange *Exchange) readHeader(request *http.Request, matches func(*http.Response, bool) bool) error {
	for range maxResponses {
		response, err := exchange.conn.readResponse(request)
		if err != nil {
			return errors.Wrap(err, "no response from target")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if matches(response, exchange.conn.asked) {
			exchange.Response = response
			berylresponse.RequireSent(response, exchange.checkReceived)
			exchange.conn.setIdleTimeout(response.Header)
			return nil
		}
		exchange.skipped = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes)); err != nil {
			return errors.Wrap(err, "response to another request cannot be skipped")
		}
	}
	return errors.New("too many responses to other requests")
}

// checkReceived returns an error if the target has not received the whole request at the end of its connection.
func (exchange *Exchange) checkReceived() error {
	if err := exchange.conn.CheckReceived(); err != nil {
		return err
	}
	return <-exchange.written
}

// Framed reports whether the response has a length or is chunked.
func (exchange *Exchange) Framed() bool { return berylresponse.Framed(exchange.Response) }

// Buffered returns the number of bytes that can be read without blocking.
func (exchange *Exchange) Buffered() int { return exchange.conn.reader.Buffered() }

// Release ends an exchange whose response was read completely. It returns the connection
// to the pool if the next response on it can only belong to the next request.
func (exchange *Exchange) Release() {
	complete := false
	select {
	case err := <-exchange.written:
		complete = err == nil
	default:
		// The target responded before it had read the request and would read the rest
		// of it as the next request.
	}
	if !complete || !exchange.Framed() || exchange.skipped || exchange.Response.Close || exchange.conn.reader.Buffered() > 0 || !exchange.stop() {
		exchange.Discard()
		return
	}
	exchange.pool.put(time.Now(), exchange.conn)
}

// Drain reads the rest of a small response within a time and ends the exchange.
func (exchange *Exchange) Drain(limit int64, timeout time.Duration) {
	_ = exchange.conn.SetReadDeadline(time.Now().Add(timeout))
	read, err := io.Copy(io.Discard, io.LimitReader(exchange.Response.Body, limit))
	if err != nil || read == limit {
		exchange.Discard()
		return
	}
	_ = exchange.conn.SetReadDeadline(time.Time{})
	exchange.Release()
}

// Discard aborts an exchange and closes its connection.
func (exchange *Exchange) Discard() {
	exchange.stop()
	exchange.pool.discard(exchange.conn)
}
