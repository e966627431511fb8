package beryledge

// This file defines one attempt of a request at one target.

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/io/berylconn"
	"berylspoke/io/berylingress"
)

const (
	// maxAnswerBytes bounds the answer of a plain service, which is buffered whole
	// before any of it is forwarded. It takes an answerShare of the process's memory at most, if that
	// is known, and all buffered answers together an answersShare.
	maxAnswerBytes = 16 << 20
	answerShare    = 16
	answersShare   = 4
	// drainTimeout bounds the time for the rest of an answer by which a target rejects a request.
	drainTimeout = time.Second
	// minFirstByteTimeout and firstByteTimeoutFactor determine the time without a first
	// byte after which a repeatable request is retried at another target: a multiple of
	// the expected time, and longer than the retransmission of a lost packet takes.
	minFirstByteTimeout    = 900 * time.Millisecond
	firstByteTimeoutFactor = 4
)

var errFirstByteTimeout = errors.New("no first byte from the target in time")

// attempt sends the request to the chosen target and forwards the answer. It returns
// false if the request may be retried at another target.
func (call *call) attempt(decision berylgate.Decision) bool {
	ctx, cancel := context.WithCancelCause(call.ctx)
	defer cancel(nil)
	defer func() {
		if errors.Is(context.Cause(ctx), errFirstByteTimeout) {
			call.abandoned = true
		}
	}()
	if call.repeatable() && call.request.MaxAttempts > 1 {
		timeout := max(minFirstByteTimeout, firstByteTimeoutFactor*decision.Expected)
		wait := new(firstByteWait)
		wait.timer = time.AfterFunc(timeout, func() {
			// The last allowed attempt continues for as long as its caller waits.
			if call.endsInTime(time.Now()) && call.daemon.reserve(call.request) && wait.end() {
				cancel(errFirstByteTimeout)
			}
		})
		defer wait.timer.Stop()
		call.firstByteWait = wait
	}
	target := decision.Target
	call.firstByte, call.status, call.advice = 0, 0, berylspoke.ResponseInfo{}
	call.begunAt, call.unframed = time.Time{}, false
	call.sent = time.Now()
	request := call.outgoing(decision)
	if call.stream.started {
		call.logResumption(decision)
	}
	call.slot.release()
	call.stage = connecting
	exchange, err := call.daemon.pool.Send(ctx, berylconn.SendOptions{
		Address: target.Address, MaxConnections: decision.Connections, Request: request,
		StillWanted: func() bool { return call.stillWanted(target) }, Matches: call.answersRequest,
		Identity: call.identity(decision),
		Traffic:  &call.daemon.meters.targetTraffic[call.daemon.linkTo(target.FailureDomain)],
	})
	if err != nil {
		return call.sendFailed(decision, withTimeoutCause(ctx, err))
	}
	if exchange.DialTime > 0 {
		call.daemon.send(connectTimed{target.ID, exchange.DialTime})
	}
	info := call.daemon.dialect.ParseResponse(exchange.Response.StatusCode, exchange.Response.Header)
	call.status, call.unframed = exchange.Response.StatusCode, !exchange.Framed() && request.Method != http.MethodHead
	call.recordAdvice(decision.Target, info)
	if info.NotRun {
		if info.ID == "" {
			// A late copy of it would be taken for the answer to the next request.
			exchange.Discard()
		} else {
			call.drain(exchange)
		}
		outcome := berylgate.Rejected
		if info.Misdirected {
			outcome = berylgate.Misdirected
		}
		call.endAttempt(decision, outcome, nil)
		return false
	}
	if call.route.Kind == berylspoke.Streaming && exchange.Response.StatusCode == http.StatusOK {
		return call.forwardStream(decision, exchange, info)
	}
	return call.forwardAnswer(decision, exchange, info)
}

// firstByteWait is the wait for the first byte of an answer. It ends once: as the byte arrives, or as it
// is given up. An answer that has begun is not given up any more, although the time has passed.
type firstByteWait struct {
	timer *time.Timer
	ended atomic.Bool
}

// end ends the wait and reports whether it had not ended before.
func (wait *firstByteWait) end() bool { return wait.ended.CompareAndSwap(false, true) }

// arrive ends the wait as the byte arrives, and returns false if it was given up before.
func (wait *firstByteWait) arrive() bool {
	if wait == nil {
		return true
	}
	wait.timer.Stop()
	return wait.end()
}

// firstByteArrives ends the wait for the first byte of an answer, and returns false if the attempt was given
// up before.
func (call *call) firstByteArrives() bool {
	arrived := call.firstByteWait.arrive()
	call.abandoned = call.abandoned || !arrived
	return arrived
}

// withTimeoutCause adds the first-byte timeout to the error of an attempt that it ended.
// The error of the closed connection alone does not show which side closed it.
func withTimeoutCause(ctx context.Context, err error) error {
	if !errors.Is(context.Cause(ctx), errFirstByteTimeout) {
		return err
	}
	return errors.WithMessage(err, errFirstByteTimeout.Error())
}

// reserve asks the core whether a request may be retried at another target.
func (daemon *Daemon) reserve(request *berylgate.Request) bool {
	reply := make(chan bool, 1)
	daemon.send(reserve{request, reply})
	select {
	case granted := <-reply:
		return granted
	case <-daemon.ctx.Done():
		return false
	}
}

// stillWanted reports whether a request should still be sent once its connection is
// open. Opening a connection takes over a second if packets are lost. Meanwhile the
// caller may have disconnected, the request may be refused as it crashes targets, this
// daemon may stop before the request would end, and the target may have announced that it
// is draining, or asked for rest: a request that is sent after the other daemons have
// stopped sending would be run by a target that is about to exit.
func (call *call) stillWanted(target berylspoke.Target) bool {
	now := time.Now()
	wanted := call.daemon.sendable.accepts(now, target.Run()) && call.endsInTime(now) && !call.blamed() && !callerDisconnected(call.incoming.Context())
	if wanted {
		call.stage = atTarget
	}
	return wanted
}

// sendFailed handles an attempt that got no answer.
func (call *call) sendFailed(decision berylgate.Decision, err error) bool {
	var sendErr *berylconn.SendError
	unsent := errors.As(err, &sendErr) && sendErr.Unsent
	switch {
	case errors.Is(err, berylconn.ErrNoLongerWanted):
		call.endAttempt(decision, berylgate.NoConnection, err)
		if callerDisconnected(call.incoming.Context()) {
			call.disconnected()
		}
	case errors.Is(err, berylconn.ErrOtherProcess):
		call.daemon.meters.otherProcesses.Inc()
		call.endAttempt(decision, berylgate.Unreachable, err)
	case errors.Is(err, berylconn.ErrBusy):
		call.endAttempt(decision, berylgate.NoConnection, err)
	case call.ctx.Err() != nil:
		call.mayHaveRun = call.mayHaveRun || !unsent
		call.endAttempt(decision, berylgate.Abandoned, err)
	case unsent:
		call.endAttempt(decision, berylgate.Unreachable, err)
	default:
		return call.answerFailed(decision, err)
	}
	return false
}

// answerFailed handles an attempt that the target may have run and that had no valid and
// complete answer. It returns false if the request may be retried.
func (call *call) answerFailed(decision berylgate.Decision, err error) bool {
	call.mayHaveRun = true
	if closedByTarget(err) {
		call.checkCrash(decision)
	}
	outcome := berylgate.Broken
	if call.ctx.Err() != nil {
		outcome = berylgate.Abandoned
	}
	call.endAttempt(decision, outcome, err)
	if call.repeatable() || outcome == berylgate.Abandoned {
		return false
	}
	if call.stream.started {
		call.abortStream()
	}
	call.answer(http.StatusBadGateway, berylspoke.ReasonTargetFailed, 0)
	return true
}

// endAttempt reports the outcome of an attempt to the core, the metrics and the log.
func (call *call) endAttempt(decision berylgate.Decision, outcome berylgate.Outcome, err error) {
	call.served = outcome == berylgate.Succeeded
	call.daemon.send(attemptEnded{call.request, outcome, call.provenAt(outcome)})
	call.daemon.meters.outcomes[outcome].Inc()
	fields := []zap.Field{
		zap.String("target", string(decision.Target.ID)), zap.String("version", string(decision.Target.Version)), zap.Stringer("outcome", outcome),
		zap.Duration("expected", decision.Expected), zap.Float64("over", decision.Overuse),
		zap.Float64("queue", decision.QueueMillis), zap.Float64("pace", decision.Slowdown),
		zap.Int64("input", int64(call.info.Input)), zap.Int64("output", int64(call.request.Output)),
		zap.Int64("shared", int64(decision.Shared)), zap.Int64("kept", int64(decision.Cached)),
		zap.Int("running", decision.Running), call.digestField(),
	}
	if decision.CacheSource != nil {
		fields = append(fields, zap.String("source", string(decision.CacheSource.ID)))
	}
	if call.firstByte > 0 {
		fields = append(fields, zap.Duration("firstByte", call.firstByte))
	}
	if call.status > 0 {
		fields = append(fields, zap.Int("status", call.status))
	}
	if outcome == berylgate.Broken {
		fields = append(fields, call.brokenFields()...)
	}
	fields = append(append(fields, call.adviceFields()...), call.continuationFields()...)
	if err != nil {
		fields = append(fields, zap.String("error", err.Error()))
	}
	call.log("attempt ended", fields...)
}

// outgoing builds the request to a target. Path and query are the caller's, byte for
// byte.
func (call *call) outgoing(decision berylgate.Decision) *http.Request {
	forward := berylspoke.ForwardInfo{
		TimeRemaining: time.Until(call.request.Deadline), Target: decision.Target.ID, Organisation: call.organisation,
		Resume: call.stream.started, LastEvent: call.stream.last,
	}
	if decision.CacheSource != nil {
		forward.CacheSource = decision.CacheSource.Address
	}
	header := call.daemon.dialect.ForwardHeaders(call.incoming.Header, forward)
	if _, stated := header["User-Agent"]; !stated {
		header["User-Agent"] = []string{""}
	}
	path, query, _ := strings.Cut(call.incoming.RequestURI, "?")
	request := &http.Request{
		Method: call.incoming.Method, Host: call.incoming.Host, Header: header,
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(call.incoming.RequestURI, "?")},
	}
	if call.body.Len() > 0 || call.incoming.ContentLength == 0 && call.incoming.Method == http.MethodPost {
		request.Body, request.ContentLength = io.NopCloser(call.body.Reader()), call.body.Len()
	}
	if call.body.Len() == 0 {
		request.Body = http.NoBody
	}
	return request
}

// answersRequest reports whether an answer belongs to this request. One without an id and
// seal does too, as a target may refuse a request before it has read the id, unless the target was
// asked something without an id before.
func (call *call) answersRequest(response *http.Response, asked bool) bool {
	info := call.daemon.dialect.ParseResponse(response.StatusCode, response.Header)
	return info.ID == call.info.ID || !asked && info.ID == "" && !info.Sealed
}

// reportFirstByte reports the first byte of an answer to the core.
func (call *call) reportFirstByte(info berylspoke.ResponseInfo) {
	call.firstByte = time.Since(call.sent)
	call.daemon.send(answerStarted{call.request, info.Load})
}

// drain reads the rest of a small answer so that its connection can be reused.
func (call *call) drain(exchange *berylconn.Exchange) {
	const limit = 64 << 10
	exchange.Drain(limit, drainTimeout)
}

// forwardAnswer forwards an answer once it is complete, so that a truncated one never
// reaches the caller.
func (call *call) forwardAnswer(decision berylgate.Decision, exchange *berylconn.Exchange, info berylspoke.ResponseInfo) bool {
	if !call.firstByteArrives() {
		exchange.Discard()
		return call.answerFailed(decision, errFirstByteTimeout)
	}
	call.reportFirstByte(info)
	response := exchange.Response
	memory := call.newAnswerMemory()
	body, err := berylconn.ReadAll(response.Body, call.daemon.answerLimit(), memory)
	defer memory.Release(int64(cap(body)))
	if err == nil {
		err = checkAnswer(response, info)
	}
	if err == nil {
		err = call.checkEnd(decision)
	}
	if err != nil {
		exchange.Discard()
		return call.answerFailed(decision, err)
	}
	exchange.Release()
	call.mayHaveRun = true
	if response.StatusCode >= http.StatusInternalServerError {
		call.endAttempt(decision, berylgate.TargetFailed, nil)
		if call.repeatable() && call.retry(decision) {
			return false
		}
	} else {
		call.endAttempt(decision, berylgate.Succeeded, nil)
	}
	if call.stream.started {
		// The caller has the header and some events of a stream that should have been
		// resumed here. This answer cannot follow them, and ending without an error
		// would make the stream look complete.
		call.log("stream aborted", zap.String("target", string(decision.Target.ID)), zap.Int("status", response.StatusCode))
		call.abortStream()
	}
	call.daemon.meters.observeFirstByte(call.route.Kind, time.Since(call.arrived))
	call.copyHeader(response)
	call.conn.deliver(time.Now())
	call.writer.WriteHeader(response.StatusCode)
	_, _ = call.writer.Write(body)
	return true
}

// answerMemory bounds the buffered answer to one request: all such answers have a bound of their own, and each is
// part of what its caller makes the process hold.
type answerMemory struct {
	all  *berylconn.Memory
	hold *berylingress.Hold
}

func (call *call) newAnswerMemory() answerMemory {
	return answerMemory{call.daemon.answerMemory, call.hold}
}

// Reserve implements berylspoke.MemoryBudget.
func (memory answerMemory) Reserve(bytes int64) error {
	if err := memory.all.Reserve(bytes); err != nil {
		return err
	}
	memory.hold.GrowAnswer(bytes)
	return nil
}

// Release implements berylspoke.MemoryBudget.
func (memory answerMemory) Release(bytes int64) {
	memory.all.Release(bytes)
	memory.hold.GrowAnswer(-bytes)
}

// answerLimit returns the size of the longest answer of a plain service.
func (daemon *Daemon) answerLimit() int64 {
	if daemon.settings.MemoryBytes == 0 {
		return maxAnswerBytes
	}
	return min(maxAnswerBytes, daemon.settings.MemoryBytes/answerShare)
}

// retry tries to place a repeatable request at another target instead of forwarding the
// first target's failure, and reports whether it did.
func (call *call) retry(first berylgate.Decision) bool {
	if !call.endsInTime(time.Now()) {
		return false
	}
	decision := call.askCore()
	if decision.Refusal != nil {
		return false
	}
	call.log("retrying the request at another target", zap.String("failed", string(first.Target.ID)), zap.String("target", string(decision.Target.ID)))
	call.next = &decision
	return true
}

// checkAnswer returns an error if nothing proves that an answer comes from the target.
func checkAnswer(response *http.Response, info berylspoke.ResponseInfo) error {
	switch status := response.StatusCode; {
	case !info.Sealed:
		return errors.Errorf("answer %d without the target's seal", status)
	case response.Header.Get("Content-Encoding") != "":
		return errors.New("answer has a Content-Encoding that was not requested")
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusRequestTimeout:
		// These statuses promise the caller that the request did not run, which the
		// target has not stated.
		return errors.Errorf("answer %d does not state that the request was not run", status)
	}
	return nil
}

// copyHeader copies the headers of a target's answer to the caller's.
func (call *call) copyHeader(response *http.Response) {
	header := call.writer.Header()
	closing := header["Connection"]
	if call.daemon.stopping() {
		closing = []string{"close"}
	}
	call.daemon.dialect.CopyResponseHeaders(header, response.Header)
	if closing != nil {
		header["Connection"] = closing
	}
	if _, stated := header["Content-Type"]; !stated {
		header["Content-Type"] = nil
	}
}
