package beryledge

// This file defines how a caller's request is received and answered.

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylcatalog"
	"berylspoke/core/berylgate"
	"berylspoke/io/berylingress"
)

const (
	// defaultBodyBytes bounds a request's body if the configuration does not.
	defaultBodyBytes = 4 << 20
	// startingRetryAfter is the delay after which a caller may retry at a daemon that
	// does not know the configuration yet.
	startingRetryAfter = 300 * time.Millisecond
	// arrivedTimeout bounds the time to read what has arrived of the body of a refused request.
	arrivedTimeout = 10 * time.Millisecond
	// defaultWait is how long a caller is assumed to wait if it does not state a time.
	defaultWait = 30 * time.Second
)

// call is the processing of one caller's request.
type call struct {
	daemon   *Daemon
	writer   http.ResponseWriter
	incoming *http.Request
	// conn is that of the request, hold what it makes the process hold; both are nil for a request without one.
	conn  *callerConn
	hold  *berylingress.Hold
	info  berylspoke.RequestInfo
	route *berylspoke.Route
	// organisation has the share that the request is charged to.
	organisation berylspoke.OrganisationID
	request      *berylgate.Request
	body         berylingress.BodyBytes
	ctx          context.Context
	arrived      time.Time
	// sent is when the last attempt was sent, firstByte the time until the first byte of
	// its answer.
	sent      time.Time
	firstByte time.Duration
	// firstByteWait is the wait for that byte, nil if it is not given up.
	firstByteWait *firstByteWait
	// status and advice are what the last attempt's answer says, zero if there was none.
	status int
	advice berylspoke.ResponseInfo
	// begunAt is when the last attempt brought its first complete event, zero if it brought none;
	// unframed is set if its answer has neither a length nor chunks.
	begunAt  time.Time
	unframed bool
	// mayHaveRun is set once a target may have executed the request.
	mayHaveRun bool
	// abandoned is set once the daemon ended an attempt because its target was silent.
	abandoned bool
	// next is the decision on the next attempt if it has been made already.
	next *berylgate.Decision
	// stream is what the caller has received of a stream so far.
	stream stream
	// served is set once an attempt succeeded; crashChecks tell which targets that broke
	// an attempt had crashed.
	served      bool
	crashChecks []closedCheck
	// slot is held from the admission of the request until it is sent.
	slot *slot
	// stage is what the processing waits for, and reader and whole what others may know of it.
	stage  stage
	reader bodyReader
	whole  atomic.Pointer[wholeRequest]
	// unlimitedBody is the body without the limit on its size, which is bodyLimit.
	unlimitedBody io.Reader
	bodyLimit     int64
	// cancel ends the request whatever it waits for.
	cancel context.CancelCauseFunc
}

// serveCaller handles one request of a caller.
func (daemon *Daemon) serveCaller(writer http.ResponseWriter, incoming *http.Request) {
	arrived := time.Now()
	daemon.active.Add(1)
	defer daemon.active.Add(-1)
	daemon.lastRequest.Store(arrived.UnixNano())
	conn := incoming.Context().Value(connKey{}).(*callerConn)
	call := &call{daemon: daemon, writer: writer, incoming: incoming, conn: conn, hold: conn.hold, arrived: arrived}
	defer call.recoverHandler()
	base, cancelBase := context.WithCancelCause(incoming.Context())
	defer cancelBase(nil)
	call.ctx, call.cancel = base, cancelBase
	daemon.calls.add(call)
	defer daemon.calls.remove(call)
	if conn.handle() {
		writer.Header().Set("Connection", "close")
	}
	admitted := releaseAdmitted(incoming.Context())
	if !call.prepare(daemon.index.Load()) || !call.readBody() || call.rejectsLate() || !call.findOrigin() || !call.takeSlot(admitted) {
		return
	}
	defer call.endStream()
	defer call.slot.release()
	defer call.observeDuration()
	if daemon.admission.mostlyRejected(call.organisation) {
		// The next request on this connection would be parsed before it is rejected.
		writer.Header().Set("Connection", "close")
	}
	call.request.Digests = call.digests()
	defer call.reportCrashes()
	ctx, cancel := context.WithDeadline(base, call.request.Deadline)
	defer cancel()
	call.ctx = ctx
	if callerDisconnected(incoming.Context()) {
		call.disconnected()
	}
	call.run()
}

// prepare finds the route and the organisation of the request, or refuses it.
func (call *call) prepare(index *berylcatalog.Index) bool {
	var err error
	call.info, err = call.daemon.dialect.ParseRequest(call.incoming.Header)
	if !call.holdHead() {
		return false
	}
	if index == nil {
		call.refuse(http.StatusServiceUnavailable, berylspoke.ReasonStarting, startingRetryAfter)
		return false
	}
	if err != nil {
		call.refuse(http.StatusBadRequest, berylspoke.ReasonMalformed, 0)
		return false
	}
	path, _, _ := strings.Cut(call.incoming.RequestURI, "?")
	if call.route = index.Route(call.incoming.Host, path); call.route == nil {
		call.refuse(http.StatusNotFound, berylspoke.ReasonUnknownService, 0)
		return false
	}
	known := false
	if call.info.Key != "" {
		call.organisation, known = index.Organisation(call.info.Key)
	}
	if !known && !call.route.Anonymous {
		call.refuse(http.StatusUnauthorized, berylspoke.ReasonUnauthorised, 0)
		return false
	}
	if !call.holdHead() {
		return false
	}
	call.request = call.newRequest(index)
	if call.rejectsLate() {
		return false
	}
	if call.info.HasLastEvent {
		call.stream.last, call.stream.numbered = call.info.LastEvent, true
	}
	call.countTakenUp()
	return true
}

// holdHead counts the head on behalf of the organisation, if that is known, or refuses the request.
func (call *call) holdHead() bool {
	if call.hold.Handle(call.arrived, call.incoming.Header, call.organisation) {
		return true
	}
	call.refuse(http.StatusServiceUnavailable, berylspoke.ReasonMemoryShort, berylingress.RetryAfter)
	return false
}

func (call *call) newRequest(index *berylcatalog.Index) *berylgate.Request {
	wait := call.info.TimeRemaining
	if wait == 0 {
		wait = defaultWait
	}
	if call.route.Timeout > 0 {
		wait = min(wait, call.route.Timeout)
	}
	attempts := call.route.MaxAttempts
	if !call.repeatable() {
		attempts = max(attempts, 1)
	}
	output := call.info.Output
	if hint := call.info.OutputHint; hint > 0 && hint < output {
		output = hint
	}
	bodyLimit := index.Catalog().Limits.BodyBytes
	if bodyLimit <= 0 {
		bodyLimit = defaultBodyBytes
	}
	call.unlimitedBody, call.bodyLimit = call.incoming.Body, bodyLimit
	call.incoming.Body = http.MaxBytesReader(call.writer, call.incoming.Body, bodyLimit)
	return &berylgate.Request{
		ID: call.info.ID, Service: berylcatalog.PickService(call.route, call.info.ID), Organisation: call.organisation,
		Kind: call.route.Kind, Arrived: call.arrived, Objective: call.route.Objective,
		Deadline: call.arrived.Add(wait), MaxAttempts: attempts,
		Input: call.info.Input, Output: output, Segments: call.info.Segments,
		Regions: index.Regions(call.route, call.organisation),
	}
}

// repeatable reports whether the request may run again at another target.
func (call *call) repeatable() bool {
	return call.route.Kind == berylspoke.Idempotent || call.route.Kind == berylspoke.Streaming && call.route.Resumable
}

// readBody reads the whole body, so that a slow caller does not occupy a target and the
// request can be sent again where that is allowed.
func (call *call) readBody() bool {
	if call.incoming.ContentLength > call.bodyLimit {
		call.refuse(http.StatusRequestEntityTooLarge, berylspoke.ReasonMalformed, 0)
		return false
	}
	call.beginBody()
	err := call.body.Fill(call.hold, call.incoming.Body, call.incoming.ContentLength)
	call.endBody()
	// Trailers are not sent on.
	call.incoming.Trailer = nil
	now := time.Now()
	if err == nil {
		call.whole.Store(&wholeRequest{call.route.Name, now})
		if call.conn.serve(now) {
			return true
		}
		call.body = berylingress.BodyBytes{}
		call.refuse(http.StatusServiceUnavailable, berylspoke.ReasonConnectionsShort, berylingress.RetryAfter)
		return false
	}
	if errors.Is(err, berylingress.ErrNoRoom) || call.conn.isEvicted() {
		call.body = berylingress.BodyBytes{}
		call.refuse(http.StatusServiceUnavailable, berylspoke.ReasonMemoryShort, berylingress.RetryAfter)
		return false
	}
	if call.daemon.stopping() && errors.Is(err, os.ErrDeadlineExceeded) && now.Before(call.request.Deadline) {
		call.rejectLate(now)
		return false
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		call.refuse(http.StatusRequestEntityTooLarge, berylspoke.ReasonMalformed, 0)
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		call.refuse(http.StatusServiceUnavailable, berylspoke.ReasonWaitedTooLong, startingRetryAfter)
		return false
	}
	call.log("caller disconnected before its request was complete", cause(err))
	call.setReadDeadline(past)
	panic(http.ErrAbortHandler)
}

// run sends the request to targets until one answers, none is left to try, or the
// deadline passes.
func (call *call) run() {
	for {
		if call.next == nil && call.rejectsLate() {
			return
		}
		decision := call.decide()
		if decision.Refusal != nil {
			call.giveUp(decision)
			return
		}
		if call.attempt(decision) {
			return
		}
		if call.ctx.Err() != nil {
			call.timeOut()
			return
		}
	}
}

func (call *call) decide() berylgate.Decision {
	if call.next != nil {
		decision := *call.next
		call.next = nil
		return decision
	}
	return call.askCore()
}

// askCore asks the core for a target, or a refusal. The time that the decision takes is an
// observation of the CPU pressure.
func (call *call) askCore() berylgate.Decision {
	submitted := time.Now()
	reply := make(chan berylgate.Decision, 1)
	call.daemon.send(submit{call.request, call.stream.continues(), call.stream.build, reply})
	decision := <-reply
	call.daemon.pressure.observe(time.Since(submitted))
	return decision
}

// giveUp answers a request that the gate refused. The answer states that it did not run
// only if no target can have run it.
func (call *call) giveUp(decision berylgate.Decision) {
	refusal := decision.Refusal
	fields := []zap.Field{
		zap.String("reason", string(refusal.Reason)), zap.Bool("mayHaveRun", call.mayHaveRun),
		zap.String("target", string(decision.Target.ID)), zap.Duration("expected", decision.Expected),
		zap.Duration("limit", decision.Limit), zap.Float64("over", decision.Overuse),
		zap.Float64("queue", decision.QueueMillis), zap.Float64("pace", decision.Slowdown),
		zap.Int("running", decision.Running), zap.Int64("tokens", int64(decision.Tokens)),
		zap.Int64("input", int64(call.info.Input)), zap.Int64("output", int64(call.request.Output)),
		zap.Float64("asked", decision.Share.Demand), zap.Float64("given", decision.Share.Served),
		zap.Float64("level", decision.Share.Level), zap.Float64("cap", decision.Share.Cap), zap.Int("covered", decision.Share.Covered), call.digestField(),
	}
	if refusal.Reason == berylspoke.ReasonCrashesTargets {
		fields = append(fields, call.partsField(), digestsField(call.request.Digests))
	}
	if call.stream.started {
		call.log("stream aborted", fields...)
		call.abortStream()
	}
	status, retryAfter := http.StatusServiceUnavailable, refusal.RetryAfter
	if call.mayHaveRun {
		status, retryAfter = http.StatusBadGateway, 0
	}
	call.log("request refused by the gate", append(fields, call.continuationFields()...)...)
	call.answer(status, refusal.Reason, retryAfter)
}

// timeOut ends a request whose caller disconnected, whose deadline has passed, or which the end of
// a planned stop cuts.
func (call *call) timeOut() {
	if errors.Is(context.Cause(call.ctx), errStopEnded) {
		call.answerCut(time.Now())
		return
	}
	if call.incoming.Context().Err() != nil {
		call.disconnected()
	}
	call.log("request timed out", zap.Bool("mayHaveRun", call.mayHaveRun), zap.Bool("begun", call.stream.started))
	if call.stream.started {
		call.abortStream()
	}
	if call.mayHaveRun {
		call.answer(http.StatusGatewayTimeout, berylspoke.ReasonWaitedTooLong, 0)
		return
	}
	call.answer(http.StatusServiceUnavailable, berylspoke.ReasonWaitedTooLong, startingRetryAfter)
}

// abortStream aborts a started stream so that its caller sees that it is incomplete.
func (call *call) abortStream() {
	call.daemon.meters.streamsAborted.Inc()
	panic(http.ErrAbortHandler)
}

// disconnected ends a request without an answer, as its caller has disconnected.
func (call *call) disconnected() {
	call.log("caller disconnected", zap.Bool("mayHaveRun", call.mayHaveRun))
	call.daemon.meters.callersDisconnected.Inc()
	panic(http.ErrAbortHandler)
}

// refuse refuses a request that was sent to no target.
func (call *call) refuse(status int, reason berylspoke.Reason, retryAfter time.Duration, fields ...zap.Field) {
	call.log("request refused", append(fields, zap.Int("status", status), zap.String("reason", string(reason)))...)
	call.answer(status, reason, retryAfter)
}

// answer sends an error answer that the daemon itself generates.
func (call *call) answer(status int, reason berylspoke.Reason, retryAfter time.Duration) {
	header := call.writer.Header()
	call.daemon.dialect.SetRequestID(header, call.info.ID)
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	// A caller that was served keeps its connection even while the CPU pressure is high,
	// as a new connection costs half as much as a request. A caller that was refused
	// would retry and be refused again, which costs less on a new connection.
	if call.daemon.stopping() || call.daemon.tooManyConns() || call.daemon.pressure.high() || reason == berylspoke.ReasonCPUStarved {
		header.Set("Connection", "close")
	}
	body := string(reason) + "\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	call.daemon.meters.refusal(reason).Inc()
	early := call.whole.Load() == nil && !call.drainArrived()
	if early {
		header.Set("Connection", "close")
		// The server would otherwise read the body before it sends the answer.
		_ = http.NewResponseController(call.writer).EnableFullDuplex()
	}
	call.writer.WriteHeader(status)
	_, _ = io.WriteString(call.writer, body)
	if early {
		call.endEarly()
	}
}

// drainArrived reads what has arrived of a body that nobody needs, and reports whether that was all.
func (call *call) drainArrived() (whole bool) {
	if call.incoming.ContentLength == 0 {
		return true
	}
	body := call.unlimitedBody
	if body == nil {
		body = call.incoming.Body
	}
	until := time.Now().Add(arrivedTimeout)
	call.setReadDeadline(until)
	_, err := io.CopyN(io.Discard, body, maxDrainedBytes)
	call.setReadDeadline(time.Time{})
	// After the body the server reads on. If that read has failed by the deadline, no further request can
	// be served on the connection.
	return errors.Is(err, io.EOF) && time.Now().Before(until)
}

// endEarly sends an answer while the request is still arriving. Its connection reads the rest as it is
// closed; the server would wait for that without a bound.
func (call *call) endEarly() {
	_ = http.NewResponseController(call.writer).Flush()
	if conn, ok := call.incoming.Context().Value(connKey{}).(*callerConn); ok {
		conn.answeredUnread()
	}
	call.setReadDeadline(past)
}

// log logs a message with the fields of this request.
func (call *call) log(message string, fields ...zap.Field) {
	service := berylspoke.ServiceID("")
	if call.request != nil {
		service = call.request.Service
	}
	call.daemon.log.Info(message, append(fields,
		zap.String("request", string(call.info.ID)), zap.String("organisation", string(call.organisation)),
		zap.String("service", string(service)), zap.Duration("after", time.Since(call.arrived)))...)
}

// cause returns the log field of an error without its stack trace, which would
// otherwise be logged at each failure of the store.
func cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
