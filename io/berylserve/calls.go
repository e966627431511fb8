package berylserve

// This file defines calls to plain services and the outcomes of non-idempotent calls.

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylnode"
	"berylspoke/core/berylticket"
)

const (
	maxCallsPerTicket = berylticket.MaxCalls
	// maxIdempotentAttempts bounds the attempts of an idempotent call.
	maxIdempotentAttempts = 3
	// outcomePollInterval is the time between two checks of an unfinished id.
	outcomePollInterval = 20 * time.Millisecond
	// callCopies is how often the body of a call is in memory beside its parts.
	callCopies = 1
	// answerWriteTimeout bounds the time to write an answer to a caller.
	answerWriteTimeout = 30 * time.Second
)

// idempotent reports whether calls with this method may be repeated.
func idempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

func (daemon *Daemon) serveCall(writer http.ResponseWriter, request *http.Request, from caller) {
	service := berylspoke.ServiceID(request.PathValue("service"))
	if daemon.Declarations().Services[service].Kind != berylconfig.KindPlain {
		daemon.refuse(writer, 0, &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonUnknownService})
		return
	}
	body, read := daemon.readBody(writer, request, callCopies, http.StatusRequestEntityTooLarge)
	if !read {
		return
	}
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	path := "/" + request.PathValue("path")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	call := berylspoke.Call{Method: request.Method, Path: path, ContentType: request.Header.Get("Content-Type"), Body: body.Bytes()}
	if idempotent(request.Method) {
		daemon.runIdempotent(request.Context(), writer, from, service, call)
		return
	}
	daemon.runAtMostOnce(request.Context(), writer, request.Header.Get(idHeader), from, service, call)
}

// runIdempotent runs an idempotent call and retries it if a target fails.
func (daemon *Daemon) runIdempotent(ctx context.Context, writer http.ResponseWriter, from caller, service berylspoke.ServiceID, call berylspoke.Call) {
	for try := 1; ; try++ {
		answer, refusal := daemon.attemptIdempotent(ctx, from, service, call)
		if refusal == nil {
			daemon.writeAnswer(writer, answer)
			return
		}
		if refusal.Reason != berylspoke.ReasonTargetFailed && !wantsNoRequests(refusal) || try == maxIdempotentAttempts || ctx.Err() != nil || !daemon.mayRetry() {
			daemon.refuse(writer, 0, refusal)
			return
		}
	}
}

func (daemon *Daemon) attemptIdempotent(ctx context.Context, from caller, service berylspoke.ServiceID, call berylspoke.Call) (berylspoke.Answer, *berylspoke.Refusal) {
	attempt := daemon.newAttempt(from, service, 1, "", nil)
	target, refusal := attempt.awaitTarget(ctx, nil)
	if refusal != nil {
		return berylspoke.Answer{}, refusal
	}
	call.Request = attempt.request.Request
	answer, err := daemon.targets.Call(ctx, target, call)
	transferred := len(call.Body) + len(answer.Body)
	daemon.dataTraffic.add(daemon.targetLink(target), uint64(transferred))
	attempt.finish(berylnode.Outcome{Received: 1, Bytes: transferred, Failed: err != nil && ctx.Err() == nil && !wantsNoRequests(err)})
	if err != nil {
		return berylspoke.Answer{}, asRefusal(err)
	}
	return answer, nil
}

func (daemon *Daemon) writeAnswer(writer http.ResponseWriter, answer berylspoke.Answer) {
	if answer.ContentType != "" {
		writer.Header().Set("Content-Type", answer.ContentType)
	}
	writer.Header().Set(verdictHeader, berylspoke.Ran.String())
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	writer.WriteHeader(answer.Status)
	_, _ = writer.Write(answer.Body)
}

// runAtMostOnce runs a non-idempotent call at most once under its id.
func (daemon *Daemon) runAtMostOnce(ctx context.Context, writer http.ResponseWriter, idText string, from caller, service berylspoke.ServiceID, call berylspoke.Call) {
	if idText == "" {
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonTicketRequired,
			Cause: errors.New("a call that may not be repeated needs an id: GET /v1/resolve returns a ticket, and TICKET~0 to TICKET~1023 in " + idHeader + " are ids"),
		})
		return
	}
	id, err := daemon.sealer.ParseCall(from.organisation, idText)
	if err != nil {
		daemon.refuse(writer, 0, malformed("%v", err))
		return
	}
	if id.Ticket.Owner != daemon.process() {
		// Only the owner process may run the id; any other daemon can only report
		// the outcome.
		daemon.writeOutcome(ctx, writer, id)
		return
	}
	reply := make(chan beginReply, 1)
	daemon.send(beginCall{id, reply})
	found := <-reply
	if found.created {
		// The call continues if the caller disconnects, and its outcome is kept.
		go daemon.runCall(id, from, service, call)
	}
	daemon.writeOutcome(ctx, writer, id)
}

// runCall queues a non-idempotent call and sends it to one target.
func (daemon *Daemon) runCall(id berylticket.CallID, from caller, service berylspoke.ServiceID, call berylspoke.Call) {
	daemon.activeCallers.Add(1)
	defer daemon.activeCallers.Add(-1)
	attempt := daemon.newAttempt(from, service, 1, "", &id)
	target, refusal := attempt.awaitTarget(daemon.ctx, nil)
	if refusal != nil {
		daemon.log.Info("call refused", zap.Stringer("id", id), zap.String("organisation", string(from.organisation)),
			zap.String("reason", string(refusal.Reason)), zap.Stringer("verdict", refusal.Verdict))
		return
	}
	// The target gets the id of the call, not that of the attempt: a call has only one
	// attempt.
	call.Request = berylspoke.RequestID(id.String())
	answer, err := daemon.targets.Call(daemon.ctx, target, call)
	verdict := berylspoke.Ran
	if err != nil {
		verdict = berylspoke.VerdictOf(err)
	}
	transferred := len(call.Body) + len(answer.Body)
	daemon.dataTraffic.add(daemon.targetLink(target), uint64(transferred))
	attempt.finish(berylnode.Outcome{Received: 1, Bytes: transferred, Failed: err != nil && !wantsNoRequests(err), Verdict: verdict, Answer: answer})
	daemon.log.Info("call ended", zap.Stringer("id", id), zap.String("organisation", string(from.organisation)),
		zap.String("target", string(target)), zap.Stringer("verdict", verdict), zap.Error(err))
}

type wireOutcome struct {
	Verdict string `json:"verdict"`
	Pending bool   `json:"pending,omitempty"`
	Owner   string `json:"owner,omitempty"`
}

// serveOutcome answers with the outcome of an id. Any daemon serves it.
func (daemon *Daemon) serveOutcome(writer http.ResponseWriter, request *http.Request, from caller) {
	id, err := daemon.sealer.ParseCall(from.organisation, request.PathValue("id"))
	if err != nil {
		daemon.refuse(writer, 0, malformed("%v", err))
		return
	}
	daemon.writeOutcome(request.Context(), writer, id)
}

// writeOutcome writes the outcome of an id. It waits for the end of an id that this
// process owns, and asks the owner and the witness about any other.
func (daemon *Daemon) writeOutcome(ctx context.Context, writer http.ResponseWriter, id berylticket.CallID) {
	if id.Ticket.Owner.Incarnation == daemon.process().Incarnation {
		daemon.writeOwnOutcome(ctx, writer, id)
		return
	}
	reply := make(chan berylticket.Status, 1)
	daemon.send(settle{id, reply})
	select {
	case <-ctx.Done():
	case callStatus := <-reply:
		daemon.writeStatus(writer, id, callStatus)
	}
}

// writeStatus writes the status of an id that the owner or the witness reported.
func (daemon *Daemon) writeStatus(writer http.ResponseWriter, id berylticket.CallID, callStatus berylticket.Status) {
	owner := daemon.members.Load().callAddresses[id.Ticket.Owner.VM]
	writer.Header().Set(verdictHeader, callStatus.Verdict().String())
	switch callStatus {
	case berylticket.StatusNotRun:
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonClosed,
			Cause: errors.New("the id is closed for good; use another one"),
		})
	case berylticket.StatusRan, berylticket.StatusPending:
		writer.Header().Set("Content-Type", "application/json")
		status := http.StatusOK
		if callStatus == berylticket.StatusPending {
			status = http.StatusAccepted
			writer.Header().Set("Retry-After", "1")
		}
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(wireOutcome{
			Verdict: callStatus.Verdict().String(), Pending: callStatus == berylticket.StatusPending, Owner: owner,
		})
	default:
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonOwnerUnreachable,
			Cause: errors.New("the owner is gone or silent after it may have sent the request"),
		})
	}
}

// writeOwnOutcome waits until an id of this process is finished and writes its outcome.
func (daemon *Daemon) writeOwnOutcome(ctx context.Context, writer http.ResponseWriter, id berylticket.CallID) {
	for {
		var record *berylticket.Record
		err := daemon.inspect(ctx, func(now time.Time, node *berylnode.Node) {
			node.Owner().Settle(now, id)
			if found := node.Owner().Record(id); found != nil {
				copied := *found
				record = &copied
			}
		})
		if err != nil {
			return
		}
		if record == nil {
			daemon.refuse(writer, 0, &berylspoke.Refusal{Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonOutcomeForgotten})
			return
		}
		if record.Stage == berylticket.Finished {
			daemon.writeRecord(writer, record)
			return
		}
		if !sleep(ctx, outcomePollInterval) {
			return
		}
	}
}

func (daemon *Daemon) writeRecord(writer http.ResponseWriter, record *berylticket.Record) {
	switch record.Verdict {
	case berylspoke.Ran:
		daemon.writeAnswer(writer, record.Answer)
	case berylspoke.NotRun:
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonClosed, RetryAfter: time.Second,
			Cause: errors.New("the id was not run and is closed for good; use another one"),
		})
	default:
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonTargetFailed,
			Cause: errors.New("the target's answer was lost"),
		})
	}
}
