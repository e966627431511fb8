package berylserve

// This file defines calls of plain services and the outcome of non-idempotent
// ones.

import (
	"context"
	"encoding/json"
	"io"
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
	// maxReads bounds the attempts of an idempotent call.
	maxReads = 3
	// outcomeLook is the time between two looks at an id that is in progress.
	outcomeLook = 20 * time.Millisecond
)

// idempotent says whether a method may be repeated.
func idempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

func (daemon *Daemon) serveCall(writer http.ResponseWriter, request *http.Request, from caller) {
	service := berylspoke.ServiceID(request.PathValue("service"))
	if daemon.Declarations().Services[service].Kind != berylconfig.KindPlain {
		daemon.refuse(writer, 0, &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonUnknown})
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		daemon.refuse(writer, http.StatusRequestEntityTooLarge, malformed("body cannot be read: %v", err))
		return
	}
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	path := "/" + request.PathValue("path")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	call := berylspoke.Call{Method: request.Method, Path: path, Type: request.Header.Get("Content-Type"), Body: body}
	if idempotent(request.Method) {
		daemon.read(request.Context(), writer, from, service, call)
		return
	}
	daemon.file(request.Context(), writer, request.Header.Get(idHeader), from, service, call)
}

// read runs an idempotent call, again if a target fails.
func (daemon *Daemon) read(ctx context.Context, writer http.ResponseWriter, from caller, service berylspoke.ServiceID, call berylspoke.Call) {
	for count := 1; ; count++ {
		answer, refusal := daemon.readOnce(ctx, from, service, call)
		if refusal == nil {
			daemon.answer(writer, answer)
			return
		}
		if refusal.Reason != berylspoke.ReasonTarget || count == maxReads || ctx.Err() != nil || !daemon.mayRetry() {
			daemon.refuse(writer, 0, refusal)
			return
		}
	}
}

func (daemon *Daemon) readOnce(ctx context.Context, from caller, service berylspoke.ServiceID, call berylspoke.Call) (berylspoke.Answer, *berylspoke.Refusal) {
	attempt := daemon.newAttempt(from, service, 1, "", nil)
	target, refusal := attempt.wait(ctx, nil)
	if refusal != nil {
		return berylspoke.Answer{}, refusal
	}
	call.Request = attempt.request.Request
	answer, err := daemon.targets.Call(ctx, target, call)
	moved := len(call.Body) + len(answer.Body)
	daemon.data.add(daemon.targetLink(target), uint64(moved))
	attempt.finish(berylnode.Outcome{Received: 1, Bytes: moved, Failed: err != nil && ctx.Err() == nil})
	if err != nil {
		return berylspoke.Answer{}, asRefusal(err)
	}
	return answer, nil
}

func (daemon *Daemon) answer(writer http.ResponseWriter, answer berylspoke.Answer) {
	if answer.Type != "" {
		writer.Header().Set("Content-Type", answer.Type)
	}
	writer.Header().Set(verdictHeader, berylspoke.Ran.String())
	writer.WriteHeader(answer.Status)
	_, _ = writer.Write(answer.Body)
}

// file runs a non-idempotent call at most once under its id.
func (daemon *Daemon) file(ctx context.Context, writer http.ResponseWriter, text string, from caller, service berylspoke.ServiceID, call berylspoke.Call) {
	if text == "" {
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonTicket,
			Cause: errors.New("a call that may not be repeated needs an id: GET /v1/resolve returns a ticket, and TICKET~0 to TICKET~1023 in " + idHeader + " are ids"),
		})
		return
	}
	id, err := daemon.sealer.ParseCall(from.organisation, text)
	if err != nil {
		daemon.refuse(writer, 0, malformed("%v", err))
		return
	}
	if id.Ticket.Owner != daemon.process() {
		// Only the owner may run the id. Finding out what became of it there
		// is all that may be done here.
		daemon.outcome(ctx, writer, id)
		return
	}
	reply := make(chan begun, 1)
	daemon.send(beginCall{id, reply})
	found := <-reply
	if found.fresh {
		// The caller may leave; the call goes on, and its outcome is kept.
		go daemon.runCall(id, from, service, call)
	}
	daemon.outcome(ctx, writer, id)
}

// runCall takes a call through the queue to one target.
func (daemon *Daemon) runCall(id berylticket.CallID, from caller, service berylspoke.ServiceID, call berylspoke.Call) {
	daemon.active.Add(1)
	defer daemon.active.Add(-1)
	attempt := daemon.newAttempt(from, service, 1, "", &id)
	target, refusal := attempt.wait(daemon.ctx, nil)
	if refusal != nil {
		daemon.log.Info("call refused", zap.Stringer("id", id), zap.String("organisation", string(from.organisation)),
			zap.String("reason", string(refusal.Reason)), zap.Stringer("verdict", refusal.Verdict))
		return
	}
	// Targets know the call by its id, not by the attempt: there is only one.
	call.Request = berylspoke.RequestID(id.String())
	answer, err := daemon.targets.Call(daemon.ctx, target, call)
	verdict := berylspoke.Ran
	if err != nil {
		verdict = berylspoke.VerdictOf(err)
	}
	moved := len(call.Body) + len(answer.Body)
	daemon.data.add(daemon.targetLink(target), uint64(moved))
	attempt.finish(berylnode.Outcome{Received: 1, Bytes: moved, Failed: err != nil, Verdict: verdict, Answer: answer})
	daemon.log.Info("call ended", zap.Stringer("id", id), zap.String("organisation", string(from.organisation)),
		zap.String("target", string(target)), zap.Stringer("verdict", verdict), zap.Error(err))
}

type wireOutcome struct {
	Verdict string `json:"verdict"`
	Pending bool   `json:"pending,omitempty"`
	Owner   string `json:"owner,omitempty"`
}

// serveOutcome tells what became of an id, at any daemon.
func (daemon *Daemon) serveOutcome(writer http.ResponseWriter, request *http.Request, from caller) {
	id, err := daemon.sealer.ParseCall(from.organisation, request.PathValue("id"))
	if err != nil {
		daemon.refuse(writer, 0, malformed("%v", err))
		return
	}
	daemon.outcome(request.Context(), writer, id)
}

// outcome waits for the end of an id that this daemon owns, or asks its owner
// and its witness.
func (daemon *Daemon) outcome(ctx context.Context, writer http.ResponseWriter, id berylticket.CallID) {
	if id.Ticket.Owner.Incarnation == daemon.process().Incarnation {
		daemon.ownOutcome(ctx, writer, id)
		return
	}
	reply := make(chan berylticket.Standing, 1)
	daemon.send(settle{id, reply})
	select {
	case <-ctx.Done():
	case standing := <-reply:
		daemon.writeStanding(writer, id, standing)
	}
}

// writeStanding tells another daemon's word on an id.
func (daemon *Daemon) writeStanding(writer http.ResponseWriter, id berylticket.CallID, standing berylticket.Standing) {
	owner := daemon.members.Load().callers[id.Ticket.Owner.VM]
	writer.Header().Set(verdictHeader, standing.Verdict().String())
	switch standing {
	case berylticket.StandsNotRun:
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonClosed,
			Cause: errors.New("the id is closed for good; use another one"),
		})
	case berylticket.StandsRan, berylticket.Pending:
		writer.Header().Set("Content-Type", "application/json")
		status := http.StatusOK
		if standing == berylticket.Pending {
			status = http.StatusAccepted
			writer.Header().Set("Retry-After", "1")
		}
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(wireOutcome{
			Verdict: standing.Verdict().String(), Pending: standing == berylticket.Pending, Owner: owner,
		})
	default:
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonOwnerLost,
			Cause: errors.New("the owner is gone or silent after it may have sent the request"),
		})
	}
}

// ownOutcome waits until an id of this daemon is finished.
func (daemon *Daemon) ownOutcome(ctx context.Context, writer http.ResponseWriter, id berylticket.CallID) {
	for {
		var record *berylticket.Record
		err := daemon.look(ctx, func(now time.Time, node *berylnode.Node) {
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
			daemon.refuse(writer, 0, &berylspoke.Refusal{Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonForgotten})
			return
		}
		if record.Stage == berylticket.Finished {
			daemon.writeRecord(writer, record)
			return
		}
		if !pause(ctx, outcomeLook) {
			return
		}
	}
}

func (daemon *Daemon) writeRecord(writer http.ResponseWriter, record *berylticket.Record) {
	switch record.Verdict {
	case berylspoke.Ran:
		daemon.answer(writer, record.Answer)
	case berylspoke.NotRun:
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonClosed, RetryAfter: time.Second,
			Cause: errors.New("the id was not run and is closed for good; use another one"),
		})
	default:
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonTarget,
			Cause: errors.New("the target's answer was lost"),
		})
	}
}
