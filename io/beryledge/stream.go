package beryledge

// This file defines how the events of a stream are forwarded.

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylorigin"
	"berylspoke/io/berylconn"
)

const (
	// initialBufferBytes is the initial size of the event buffer; one event has some
	// hundred bytes.
	initialBufferBytes = 2048
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// stream is what a caller has received of a stream.
type stream struct {
	// started is set once the header has been sent to the caller.
	started bool
	// last is the id of the last event forwarded, if numbered.
	last     int64
	numbered bool
	// takenUp is set if another answer brought the stream's first events.
	takenUp bool
	// build is the build that began the stream, zero if that is not certain; began is the target
	// that wrote the first event of this answer.
	build berylspoke.Build
	began berylspoke.Target
	// key is that of the stream, if recorded.
	key      berylorigin.Key
	recorded bool
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// continues reports whether the next attempt continues a stream.
func (stream *stream) continues() bool { return stream.started || stream.takenUp }

// forwardStream forwards the events of an answer as they arrive, but only complete ones:
// an engine may fail in the middle of an event, and the stream is then resumed at
// another engine after the last complete one.
func (call *call) forwardStream(decision berylgate.Decision, exchange *berylconn.Exchange, info berylspoke.ResponseInfo) bool {
	if err := checkAnswer(exchange.Response, info); err != nil {
		exchange.Discard()
		return call.answerFailed(decision, err)
	}
	call.mayHaveRun = true
	err := call.copyEvents(decision, exchange, info)
	if err == nil {
		err = call.checkEnd(decision)
	}
	if err != nil {
		exchange.Discard()
		return call.answerFailed(decision, err)
	}
	exchange.Release()
	if !call.stream.started {
		call.startStream(decision, exchange.Response)
	}
	call.endAttempt(decision, berylgate.Succeeded, nil)
	return true
}

// copyEvents forwards the events of an answer. It returns nil once the answer has ended
// as its framing requires.
func (call *call) copyEvents(decision berylgate.Decision, exchange *berylconn.Exchange, info berylspoke.ResponseInfo) error {
	buffer := make([]byte, 0, initialBufferBytes)
	first, proven := true, false
	memory := call.newAnswerMemory()
	defer func() { memory.Release(int64(cap(buffer) - initialBufferBytes)) }()
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= maxEventBytes {
				return errors.New("stream event is too large")
			}
			if err := memory.Reserve(int64(cap(buffer))); err != nil {
				return err
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		read, err := exchange.Response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+read]
		if read > 0 && first {
			first = false
			if !call.firstByteArrives() {
				return errFirstByteTimeout
			}
			call.reportFirstByte(info)
		}
		if end := bytes.LastIndex(buffer, eventEnd); end >= 0 {
			if call.begunAt.IsZero() {
				call.begunAt = time.Now()
			}
			complete := buffer[:end+len(eventEnd)]
			if failure := call.forwardEvents(decision, exchange, complete); failure != nil {
				return failure
			}
			buffer = buffer[:copy(buffer, buffer[len(complete):])]
		}
		if !proven && !call.begunAt.IsZero() && time.Since(call.begunAt) > beginGrace {
			proven = true
			call.daemon.send(begun{call.request, call.begunAt})
		}
		if errors.Is(err, io.EOF) {
			return call.checkRest(buffer)
		}
		if err != nil {
			return errors.Wrap(err, "stream was truncated")
		}
	}
}

var errCutEvent = errors.New("stream ended in the middle of an event")

// checkRest returns an error if a stream ended in the middle of an event. One without framing was
// broken off then.
func (call *call) checkRest(rest []byte) error {
	switch {
	case len(bytes.TrimSpace(rest)) == 0:
		return nil
	case call.unframed:
		return errors.Wrap(io.ErrUnexpectedEOF, errCutEvent.Error())
	}
	return errCutEvent
}

// forwardEvents writes complete events to the caller and flushes them.
func (call *call) forwardEvents(decision berylgate.Decision, exchange *berylconn.Exchange, events []byte) error {
	events, err := call.stream.skipReceived(events)
	if err != nil || len(events) == 0 {
		return err
	}
	if !call.stream.started {
		call.startStream(decision, exchange.Response)
	}
	if _, err := call.writer.Write(events); err != nil {
		return errors.Wrap(err, "cannot write to caller")
	}
	return errors.Wrap(http.NewResponseController(call.writer).Flush(), "cannot write to caller")
}

// startStream sends the header of the first engine's answer to the caller. A stream that
// is resumed at another engine keeps it.
func (call *call) startStream(decision berylgate.Decision, response *http.Response) {
	call.beginStream(decision)
	call.copyHeader(response)
	// A caller that does not read would otherwise hold the stream for as long as it stays.
	call.conn.boundWrites(call.request.Deadline.Add(deliveryTimeout))
	call.writer.WriteHeader(http.StatusOK)
	call.stream.started, call.stream.began = true, decision.Target
	call.stream.build = decision.Build
	call.daemon.meters.observeFirstByte(call.route.Kind, time.Since(call.arrived))
}

// skipReceived checks that events continue the stream without a gap, and returns those
// that the caller has not received.
func (stream *stream) skipReceived(events []byte) ([]byte, error) {
	missing := events
	for rest := events; len(rest) > 0; {
		event, after, _ := bytes.Cut(rest, eventEnd)
		id, numbered := eventID(event)
		rest = after
		if !numbered {
			continue
		}
		switch {
		case stream.numbered && id <= stream.last:
			missing = rest
		case stream.numbered && id != stream.last+1:
			return nil, errors.Errorf("event id %d does not follow event id %d", id, stream.last)
		default:
			stream.last, stream.numbered = id, true
		}
	}
	return missing, nil
}

// eventID returns the id of an event, and false if it has no numeric one.
func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, found := bytes.CutPrefix(line, idField); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
		event = rest
	}
	return 0, false
}
