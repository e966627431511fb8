package beryledge

// This file defines one attempt of a request at one target.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/io/berylconn"
)

const (
	// answerBytes bounds the answer of a plain service, which is held whole
	// before any of it is passed on.
	answerBytes = 16 << 20
	// patienceLeast and patienceFactor give the time without a first byte after
	// which a request that may be repeated goes elsewhere: what is expected, many
	// times over, and longer than a lost packet takes.
	patienceLeast  = 900 * time.Millisecond
	patienceFactor = 4
)

var errImpatient = errors.New("target is silent")

// attempt sends the request to the decided target and passes the answer on. It
// returns false if the request may go on elsewhere.
func (call *call) attempt(decision berylgate.Decision) bool {
	ctx, cancel := context.WithCancelCause(call.ctx)
	defer cancel(nil)
	if call.repeatable() && call.request.Attempts > 1 {
		patience := max(patienceLeast, patienceFactor*decision.Expected)
		timer := time.AfterFunc(patience, func() {
			// The last attempt allowed goes on for as long as its caller waits.
			if call.daemon.reserve(call.request) {
				cancel(errImpatient)
			}
		})
		defer timer.Stop()
		call.stream.impatience = timer
	}
	target := decision.Target
	call.firstByte = 0
	call.sent = time.Now()
	outgoing := call.outgoing(decision)
	call.slot.free()
	exchange, err := call.daemon.pool.Send(ctx, berylconn.Order{
		Address: target.Address, Most: decision.Connections, Request: outgoing,
		Wanted: func() bool { return call.wanted(target) }, Mine: call.mine,
	})
	if err != nil {
		return call.failed(decision, silenced(ctx, err))
	}
	if exchange.Opened > 0 {
		call.daemon.tell(timedWay{target.ID, exchange.Opened})
	}
	reply := call.daemon.dialect.Reply(exchange.Response.StatusCode, exchange.Response.Header)
	if reply.NotRun {
		call.drain(exchange)
		call.end(decision, berylgate.Turned, nil)
		return false
	}
	if call.route.Kind == berylspoke.Streaming && exchange.Response.StatusCode == http.StatusOK {
		return call.passStream(decision, exchange, reply)
	}
	return call.passWhole(decision, exchange, reply)
}

// silenced names the target's silence in the error of an attempt that was ended for it:
// the closed connection alone could be the target's doing.
func silenced(ctx context.Context, err error) error {
	if !errors.Is(context.Cause(ctx), errImpatient) {
		return err
	}
	return errors.WithMessage(err, errImpatient.Error())
}

// reserve asks the core whether a request may go on at another target.
func (daemon *Daemon) reserve(request *berylgate.Request) bool {
	may := make(chan bool, 1)
	daemon.tell(reserve{request, may})
	select {
	case granted := <-may:
		return granted
	case <-daemon.ctx.Done():
		return false
	}
}

// wanted says whether a request is still to be sent once there is a connection for
// it. Opening one takes over a second where packets are lost; meanwhile the caller
// may have left, and the target may have said that it leaves: what reaches it later
// than others knew is run by a target that is about to end.
func (call *call) wanted(target berylspoke.Target) bool {
	return (*call.daemon.taking.Load())[target.ID] && !callerLeft(call.in.Context())
}

// failed notes an attempt without an answer.
func (call *call) failed(decision berylgate.Decision, err error) bool {
	var failure *berylconn.Failure
	unsent := errors.As(err, &failure) && failure.Unsent
	switch {
	case errors.Is(err, berylconn.ErrUnwanted):
		call.end(decision, berylgate.Crowded, err)
		if callerLeft(call.in.Context()) {
			call.left()
		}
	case errors.Is(err, berylconn.ErrBusy):
		call.end(decision, berylgate.Crowded, err)
	case call.ctx.Err() != nil:
		call.mayHaveRun = call.mayHaveRun || !unsent
		call.end(decision, berylgate.Abandoned, err)
	case unsent:
		call.end(decision, berylgate.Unreached, err)
	default:
		return call.broken(decision, err)
	}
	return false
}

// broken notes an attempt that may have run and brought no whole answer.
func (call *call) broken(decision berylgate.Decision, err error) bool {
	call.mayHaveRun = true
	outcome := berylgate.Broken
	if call.ctx.Err() != nil {
		outcome = berylgate.Abandoned
	}
	call.end(decision, outcome, err)
	if call.repeatable() || outcome == berylgate.Abandoned {
		return false
	}
	if call.stream.begun {
		call.breakOff()
	}
	call.answer(http.StatusBadGateway, berylspoke.ReasonTarget, 0)
	return true
}

// end tells the core and the log how an attempt ended.
func (call *call) end(decision berylgate.Decision, outcome berylgate.Outcome, err error) {
	call.daemon.tell(ended{call.request, outcome})
	call.daemon.meters.outcomes[outcome].Inc()
	fields := []zap.Field{
		zap.String("target", string(decision.Target.ID)), zap.Stringer("outcome", outcome),
		zap.Duration("expected", decision.Expected), zap.Float64("over", decision.Over),
		zap.Float64("queue", decision.Queue), zap.Float64("pace", decision.Pace),
		zap.Int64("input", int64(call.ask.Input)), zap.Int64("output", int64(call.request.Output)),
		zap.Int64("shared", int64(decision.Shared)), zap.Int64("kept", int64(decision.Kept)),
		zap.Int("running", decision.Running),
	}
	if decision.Source != nil {
		fields = append(fields, zap.String("source", string(decision.Source.ID)))
	}
	if call.firstByte > 0 {
		fields = append(fields, zap.Duration("firstByte", call.firstByte))
	}
	if err != nil {
		fields = append(fields, zap.String("error", err.Error()))
	}
	call.log("attempt ended", fields...)
}

// outgoing builds the request for a target. Path and query are those that the
// caller sent, byte for byte.
func (call *call) outgoing(decision berylgate.Decision) *http.Request {
	onward := berylspoke.Onward{
		TimeLeft: time.Until(call.request.Deadline), Target: decision.Target.ID, Organisation: call.organisation,
		Resume: call.stream.begun, LastEvent: call.stream.last,
	}
	if decision.Source != nil {
		onward.Source = decision.Source.Address
	}
	header := call.daemon.dialect.Onward(call.in.Header, onward)
	if _, stated := header["User-Agent"]; !stated {
		header["User-Agent"] = []string{""}
	}
	path, query, _ := strings.Cut(call.in.RequestURI, "?")
	request := &http.Request{
		Method: call.in.Method, Host: call.in.Host, Header: header,
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(call.in.RequestURI, "?")},
	}
	if len(call.body) > 0 || call.in.ContentLength == 0 && call.in.Method == http.MethodPost {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(call.body)), int64(len(call.body))
	}
	if len(call.body) == 0 {
		request.Body = http.NoBody
	}
	return request
}

// mine says whether an answer belongs to this request. A refusal may come
// before the target has read the id.
func (call *call) mine(response *http.Response) bool {
	reply := call.daemon.dialect.Reply(response.StatusCode, response.Header)
	return reply.ID == call.ask.ID || reply.ID == "" && !reply.Sealed
}

// begin notes the first byte of an answer.
func (call *call) begin(reply berylspoke.Reply) {
	call.firstByte = time.Since(call.sent)
	call.daemon.tell(began{call.request, reply.Load})
}

// drain reads the rest of a small answer so that its connection can be kept.
func (call *call) drain(exchange *berylconn.Exchange) {
	const most = 64 << 10
	read, err := io.Copy(io.Discard, io.LimitReader(exchange.Response.Body, most))
	if err != nil || read == most {
		exchange.Discard()
		return
	}
	exchange.Done()
}

// passWhole passes on an answer once all of it is here, so that one that is cut
// never reaches the caller.
func (call *call) passWhole(decision berylgate.Decision, exchange *berylconn.Exchange, reply berylspoke.Reply) bool {
	call.begin(reply)
	response := exchange.Response
	body, err := io.ReadAll(io.LimitReader(response.Body, answerBytes))
	if err == nil {
		err = faultOf(response, reply)
	}
	if err != nil {
		exchange.Discard()
		return call.broken(decision, err)
	}
	exchange.Done()
	call.mayHaveRun = true
	if response.StatusCode >= http.StatusInternalServerError {
		call.end(decision, berylgate.Erred, nil)
		if call.repeatable() && call.anew(decision) {
			return false
		}
	} else {
		call.end(decision, berylgate.Succeeded, nil)
	}
	if call.stream.begun {
		// The caller has the header and some events of a stream that was to go on
		// here. This answer cannot follow them, and an end without an error would
		// make the stream look whole.
		call.log("stream broken off", zap.String("target", string(decision.Target.ID)), zap.Int("status", response.StatusCode))
		call.breakOff()
	}
	call.daemon.meters.answered(call.route.Kind, time.Since(call.arrived))
	call.copyHeader(response)
	call.writer.WriteHeader(response.StatusCode)
	_, _ = call.writer.Write(body)
	return true
}

// anew takes a request that may run again to another target where one may still be
// tried, rather than pass on the failure of the first.
func (call *call) anew(first berylgate.Decision) bool {
	decision := call.daemon.decide(call.request)
	if decision.Refusal != nil {
		return false
	}
	call.log("request goes on elsewhere", zap.String("failed", string(first.Target.ID)), zap.String("target", string(decision.Target.ID)))
	call.next = &decision
	return true
}

// faultOf returns why an answer is not a target's own.
func faultOf(response *http.Response, reply berylspoke.Reply) error {
	switch status := response.StatusCode; {
	case !reply.Sealed:
		return errors.Errorf("answer %d without the target's seal", status)
	case response.Header.Get("Content-Encoding") != "":
		return errors.New("answer in an encoding that nobody asked for")
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusRequestTimeout:
		// To the caller these promise that the request did not run, and this
		// target did not say so.
		return errors.Errorf("answer %d from a target that may have run the request", status)
	}
	return nil
}

// copyHeader passes on the headers of an answer.
func (call *call) copyHeader(response *http.Response) {
	header := call.writer.Header()
	closing := header["Connection"]
	call.daemon.dialect.Back(header, response.Header)
	if closing != nil {
		header["Connection"] = closing
	}
	if _, stated := header["Content-Type"]; !stated {
		header["Content-Type"] = nil
	}
}
