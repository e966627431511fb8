package beryledge

// This file defines how the events of a stream are passed on.

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/io/berylconn"
)

const (
	// streamBuffer is the first size of the buffer for events; one event has some
	// hundred bytes.
	streamBuffer = 2048
	// eventBytes bounds one event.
	eventBytes = 1 << 20
)

// stream is what a caller has of a stream.
type stream struct {
	// begun is set once the header and an event were passed on.
	begun bool
	// last is the id of the last event passed on, if numbered.
	last     int64
	numbered bool
	// impatience ends an attempt that does not begin in time.
	impatience *time.Timer
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// passStream passes the events of an answer on as they come, whole ones only:
// an engine may stop in the middle of one, and the stream then goes on at another
// engine after the last whole event.
func (call *call) passStream(decision berylgate.Decision, exchange *berylconn.Exchange, reply berylspoke.Reply) bool {
	if err := faultOf(exchange.Response, reply); err != nil {
		exchange.Discard()
		return call.broken(decision, err)
	}
	call.mayHaveRun = true
	err := call.copyEvents(exchange, reply)
	if err != nil {
		exchange.Discard()
		return call.broken(decision, err)
	}
	exchange.Done()
	if !call.stream.begun {
		call.beginStream(exchange.Response)
	}
	call.end(decision, berylgate.Succeeded, nil)
	return true
}

// copyEvents returns nil once the answer ended as its framing says.
func (call *call) copyEvents(exchange *berylconn.Exchange, reply berylspoke.Reply) error {
	buffer := make([]byte, 0, streamBuffer)
	first := true
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= eventBytes {
				return errors.New("event is too large")
			}
			buffer = append(buffer, 0)[:len(buffer)]
		}
		read, err := exchange.Response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+read]
		if read > 0 && first {
			first = false
			if call.stream.impatience != nil {
				call.stream.impatience.Stop()
			}
			call.begin(reply)
		}
		if end := bytes.LastIndex(buffer, eventEnd); end >= 0 {
			whole := buffer[:end+len(eventEnd)]
			if failure := call.passEvents(exchange, whole); failure != nil {
				return failure
			}
			buffer = buffer[:copy(buffer, buffer[len(whole):])]
		}
		if errors.Is(err, io.EOF) {
			return endOf(buffer)
		}
		if err != nil {
			return errors.Wrap(err, "stream was cut")
		}
	}
}

// endOf returns nil if a stream ended after a whole event.
func endOf(rest []byte) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return errors.New("stream ended within an event")
	}
	return nil
}

// passEvents writes whole events at once.
func (call *call) passEvents(exchange *berylconn.Exchange, events []byte) error {
	events, err := call.stream.follow(events)
	if err != nil || len(events) == 0 {
		return err
	}
	if !call.stream.begun {
		call.beginStream(exchange.Response)
	}
	if _, err := call.writer.Write(events); err != nil {
		return errors.Wrap(err, "caller cannot be written to")
	}
	return errors.Wrap(http.NewResponseController(call.writer).Flush(), "caller cannot be written to")
}

// beginStream passes on the header of the first engine's answer, which a stream
// keeps when it goes on at another.
func (call *call) beginStream(response *http.Response) {
	call.copyHeader(response)
	call.writer.WriteHeader(http.StatusOK)
	call.stream.begun = true
	call.daemon.meters.answered(call.route.Kind, time.Since(call.arrived))
}

// follow checks that events go on where the stream stands, and returns those
// that the caller lacks.
func (stream *stream) follow(events []byte) ([]byte, error) {
	lacking := events
	for rest := events; len(rest) > 0; {
		event, after, _ := bytes.Cut(rest, eventEnd)
		id, numbered := eventID(event)
		rest = after
		if !numbered {
			continue
		}
		switch {
		case stream.numbered && id <= stream.last:
			lacking = rest
		case stream.numbered && id != stream.last+1:
			return nil, errors.Errorf("event %d follows event %d", id, stream.last)
		default:
			stream.last, stream.numbered = id, true
		}
	}
	return lacking, nil
}

// eventID returns the id of an event.
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
