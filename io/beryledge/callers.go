package beryledge

// This file defines how a caller's request is taken in.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylcatalog"
	"berylspoke/core/berylgate"
)

const (
	// bodyBytes bounds a request's body where the configuration does not.
	bodyBytes = 4 << 20
	// startingWait is when a caller may come back to a daemon that does not know
	// the configuration yet.
	startingWait = 300 * time.Millisecond
	// waitUnstated is how long a caller is taken to wait if it does not say.
	waitUnstated = 30 * time.Second
)

// call is one caller's request on its way.
type call struct {
	daemon *Daemon
	writer http.ResponseWriter
	in     *http.Request
	ask    berylspoke.Ask
	route  *berylspoke.Route
	// organisation is whose share the request is charged to.
	organisation berylspoke.OrganisationID
	request      *berylgate.Request
	body         []byte
	ctx          context.Context
	arrived      time.Time
	// sent and firstByte tell when the last attempt was sent and how long its
	// answer took to begin.
	sent      time.Time
	firstByte time.Duration
	// mayHaveRun is set once a target may have executed the request.
	mayHaveRun bool
	// next is the decision on the next attempt if it was already taken.
	next *berylgate.Decision
	// stream is what the caller has of a stream so far.
	stream stream
	// slot is held from the request's admission until it is sent.
	slot *slot
}

// serveCaller takes one request from its first byte to its last answer.
func (daemon *Daemon) serveCaller(writer http.ResponseWriter, in *http.Request) {
	arrived := time.Now()
	daemon.active.Add(1)
	defer daemon.active.Add(-1)
	daemon.lastRequest.Store(arrived.UnixNano())
	if daemon.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	call := &call{daemon: daemon, writer: writer, in: in, arrived: arrived}
	admitted := admittedAlready(in.Context())
	if !call.admit(daemon.index.Load()) || !call.readBody() || !call.takeSlot(admitted) {
		return
	}
	defer call.slot.free()
	if daemon.admission.mostlyRejected(call.organisation) {
		// On this connection its next request would be parsed before it is rejected.
		writer.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithDeadline(in.Context(), call.request.Deadline)
	defer cancel()
	call.ctx = ctx
	if callerLeft(in.Context()) {
		call.left()
	}
	call.run()
}

// admit finds the route and the organisation, or refuses.
func (call *call) admit(index *berylcatalog.Index) bool {
	var err error
	call.ask, err = call.daemon.dialect.Ask(call.in.Header)
	if index == nil {
		call.refuse(http.StatusServiceUnavailable, berylspoke.ReasonStarting, startingWait)
		return false
	}
	if err != nil {
		call.refuse(http.StatusBadRequest, berylspoke.ReasonMalformed, 0)
		return false
	}
	path, _, _ := strings.Cut(call.in.RequestURI, "?")
	if call.route = index.Route(call.in.Host, path); call.route == nil {
		call.refuse(http.StatusNotFound, berylspoke.ReasonUnknown, 0)
		return false
	}
	known := false
	if call.ask.Key != "" {
		call.organisation, known = index.Organisation(call.ask.Key)
	}
	if !known && !call.route.Anonymous {
		call.refuse(http.StatusUnauthorized, berylspoke.ReasonUnauthorised, 0)
		return false
	}
	if call.daemon.tooLate(call.arrived, call.route.Kind) {
		call.refuse(http.StatusServiceUnavailable, berylspoke.ReasonDraining, stopWait)
		return false
	}
	call.request = call.newRequest(index)
	return true
}

func (call *call) newRequest(index *berylcatalog.Index) *berylgate.Request {
	wait := call.ask.TimeLeft
	if wait == 0 {
		wait = waitUnstated
	}
	if call.route.Timeout > 0 {
		wait = min(wait, call.route.Timeout)
	}
	attempts := call.route.Attempts
	if !call.repeatable() {
		attempts = max(attempts, 1)
	}
	output := call.ask.Output
	if hint := call.ask.OutputHint; hint > 0 && hint < output {
		output = hint
	}
	most := index.Catalog().Limits.BodyBytes
	if most <= 0 {
		most = bodyBytes
	}
	call.in.Body = http.MaxBytesReader(call.writer, call.in.Body, most)
	return &berylgate.Request{
		ID: call.ask.ID, Service: berylcatalog.Service(call.route, call.ask.ID), Organisation: call.organisation,
		Kind: call.route.Kind, Arrived: call.arrived, Objective: call.route.Objective,
		Deadline: call.arrived.Add(wait), Attempts: attempts,
		Input: call.ask.Input, Output: output, Parts: call.ask.Parts,
		Regions: index.Regions(call.route, call.organisation),
	}
}

// repeatable says whether the request may run again at another target.
func (call *call) repeatable() bool {
	return call.route.Kind == berylspoke.Idempotent || call.route.Kind == berylspoke.Streaming && call.route.Resumable
}

// readBody reads the body whole, so that the request can be sent on without a
// slow caller holding a target, and sent again where that is allowed.
func (call *call) readBody() bool {
	if call.in.ContentLength > 0 {
		call.body = make([]byte, 0, call.in.ContentLength+bytes.MinRead)
	}
	buffer := bytes.NewBuffer(call.body)
	_ = http.NewResponseController(call.writer).SetReadDeadline(call.request.Deadline)
	_, err := io.Copy(buffer, call.in.Body)
	_ = http.NewResponseController(call.writer).SetReadDeadline(time.Time{})
	call.body = buffer.Bytes()
	if err == nil {
		return true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		call.refuse(http.StatusRequestEntityTooLarge, berylspoke.ReasonMalformed, 0)
		return false
	}
	call.log("caller left before its request was whole", cause(err))
	panic(http.ErrAbortHandler)
}

// run sends the request to targets until one answers or it is given up.
func (call *call) run() {
	for {
		decision := call.decide()
		if decision.Refusal != nil {
			call.giveUp(decision)
			return
		}
		if call.attempt(decision) {
			return
		}
		if call.ctx.Err() != nil {
			call.timeUp()
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
	return call.daemon.decide(call.request)
}

// decide asks the core what becomes of a request now.
func (daemon *Daemon) decide(request *berylgate.Request) berylgate.Decision {
	asked := time.Now()
	answer := make(chan berylgate.Decision, 1)
	daemon.tell(submit{request, answer})
	decision := <-answer
	daemon.strain.observe(time.Since(asked))
	return decision
}

// giveUp ends a request that goes nowhere. Only if no target can have run it the
// answer says so.
func (call *call) giveUp(decision berylgate.Decision) {
	refusal := decision.Refusal
	fields := []zap.Field{
		zap.String("reason", string(refusal.Reason)), zap.Bool("mayHaveRun", call.mayHaveRun),
		zap.String("target", string(decision.Target.ID)), zap.Duration("expected", decision.Expected),
		zap.Duration("limit", decision.Limit), zap.Float64("over", decision.Over),
		zap.Float64("queue", decision.Queue), zap.Float64("pace", decision.Pace),
		zap.Int("running", decision.Running), zap.Int64("tokens", int64(decision.Tokens)),
		zap.Int64("input", int64(call.ask.Input)), zap.Int64("output", int64(call.request.Output)),
		zap.Float64("asked", decision.Share.Asked), zap.Float64("given", decision.Share.Given),
		zap.Float64("level", decision.Share.Level), zap.Float64("cap", decision.Share.Cap),
	}
	if call.stream.begun {
		call.log("stream broken off", fields...)
		call.breakOff()
	}
	status, wait := http.StatusServiceUnavailable, refusal.RetryAfter
	if call.mayHaveRun {
		status, wait = http.StatusBadGateway, 0
	}
	call.log("request given up", fields...)
	call.answer(status, refusal.Reason, wait)
}

// timeUp ends a request whose caller left or whose time is over.
func (call *call) timeUp() {
	if call.in.Context().Err() != nil {
		call.left()
	}
	call.log("time over", zap.Bool("mayHaveRun", call.mayHaveRun), zap.Bool("begun", call.stream.begun))
	if call.stream.begun {
		call.breakOff()
	}
	if call.mayHaveRun {
		call.answer(http.StatusGatewayTimeout, berylspoke.ReasonWaitedTooLong, 0)
		return
	}
	call.answer(http.StatusServiceUnavailable, berylspoke.ReasonWaitedTooLong, startingWait)
}

// breakOff ends a begun stream so that its caller sees that it is not whole.
func (call *call) breakOff() {
	call.daemon.meters.brokenOff.Inc()
	panic(http.ErrAbortHandler)
}

// left ends a request whose caller is gone; there is nobody to answer.
func (call *call) left() {
	call.log("caller left", zap.Bool("mayHaveRun", call.mayHaveRun))
	call.daemon.meters.callersLeft.Inc()
	panic(http.ErrAbortHandler)
}

// refuse answers a request that was sent nowhere.
func (call *call) refuse(status int, reason berylspoke.Reason, wait time.Duration) {
	call.log("request refused", zap.Int("status", status), zap.String("reason", string(reason)))
	call.answer(status, reason, wait)
}

// answer sends an answer of the daemon's own.
func (call *call) answer(status int, reason berylspoke.Reason, wait time.Duration) {
	header := call.writer.Header()
	call.daemon.dialect.Name(header, call.ask.ID)
	if wait > 0 {
		header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
	}
	// A caller that was served keeps its connection also while the processor is
	// short, as a new one costs half as much as a request. One that was refused
	// would only come back to be refused, for less on a new one.
	if call.daemon.crowded() || call.daemon.strain.high() || reason == berylspoke.ReasonProcessor {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	call.daemon.meters.refusal(reason).Inc()
	call.writer.WriteHeader(status)
	_, _ = io.WriteString(call.writer, string(reason)+"\n")
}

// log writes a line about this request.
func (call *call) log(what string, fields ...zap.Field) {
	service := berylspoke.ServiceID("")
	if call.request != nil {
		service = call.request.Service
	}
	call.daemon.log.Info(what, append(fields,
		zap.String("request", string(call.ask.ID)), zap.String("organisation", string(call.organisation)),
		zap.String("service", string(service)), zap.Duration("after", time.Since(call.arrived)))...)
}

// cause is the log field of an error, without the stack that a line a failure of
// the store would otherwise bring.
func cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
