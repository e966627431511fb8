package beryledge

// This file defines what happens if the processing of a request or of a message of the core panics.

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylgate"
)

// recoverMessage keeps the core running if it panics while it processes a message: the actor system would
// lose the message without a trace, and stop the core for good after some. Whoever waits for a reply gets
// one.
func (core *core) recoverMessage(now time.Time, message any) {
	failure := recover()
	if failure == nil {
		return
	}
	daemon, kind := core.daemon, messageNames[kindOf(message)]
	daemon.meters.panics.Inc()
	if daemon.panicLog.Due(now, panicLogInterval) {
		daemon.log.Error("message of the core failed", zap.String("message", kind), zap.Any("panic", failure), zap.Stack("stack"))
	}
	switch message := message.(type) {
	case submit:
		refusal := &berylspoke.Refusal{Reason: berylspoke.ReasonInternal, RetryAfter: startingRetryAfter}
		select {
		case message.decision <- berylgate.Decision{Refusal: refusal}:
		default:
		}
	case reserve:
		select {
		case message.granted <- false:
		default:
		}
	case inspect:
		select {
		case <-message.done:
		default:
			close(message.done)
		}
	}
}

// recoverHandler answers a request whose handler panics: net/http would close its connection.
func (call *call) recoverHandler() {
	failure := recover()
	if failure == nil {
		return
	}
	if failure == http.ErrAbortHandler {
		panic(failure)
	}
	call.daemon.meters.panics.Inc()
	if call.daemon.panicLog.Due(time.Now(), panicLogInterval) {
		call.log("request failed", zap.Any("panic", failure), zap.String("stage", string(call.stage)), zap.Stack("stack"))
	}
	if call.incoming.Context().Value(connKey{}).(*callerConn).answering() {
		panic(http.ErrAbortHandler)
	}
	status, retryAfter := http.StatusServiceUnavailable, startingRetryAfter
	if call.mayHaveRun || !call.sent.IsZero() {
		status, retryAfter = http.StatusBadGateway, 0
	}
	call.answer(status, berylspoke.ReasonInternal, retryAfter)
}
