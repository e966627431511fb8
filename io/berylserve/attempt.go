package berylserve

// This file defines one attempt of a request, from the queue to the target.

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylnode"
	"berylspoke/core/berylroute"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylticket"
	"berylspoke/io/berylsettings"
)

// attempt is one pass of a request through the queue to a target.
type attempt struct {
	daemon    *Daemon
	request   berylnode.Request
	decisions chan decision
}

// newAttempt returns an attempt with a new id. Targets echo the id, so that a late answer
// to an earlier attempt is not mistaken for an answer to this one.
func (daemon *Daemon) newAttempt(from caller, service berylspoke.ServiceID, hint berylspoke.Tokens, prompt string, call *berylticket.CallID) *attempt {
	now := time.Now()
	id := berylspoke.RequestID(fmt.Sprintf("%s/%s/%d", from.organisation, daemon.process().Incarnation, daemon.requestSequence.Add(1)))
	return &attempt{
		daemon:    daemon,
		decisions: make(chan decision, 1),
		request: berylnode.Request{
			Service: service, Call: call,
			QueuedRequest: berylshare.QueuedRequest{
				Request: id, Organisation: from.organisation, Hint: hint,
				Prefix: berylroute.PrefixHash(prompt), Arrived: now,
				Deadline: now.Add(berylsettings.Millis(daemon.settings.Callers.MaxWaitMillis)),
			},
		},
	}
}

// awaitTarget queues the attempt and returns its target. It calls heartbeat at intervals
// while it waits, so that the caller sees that the connection is alive. The request is
// removed from the queue if the context ends or heartbeat fails.
func (attempt *attempt) awaitTarget(ctx context.Context, heartbeat func() error) (berylspoke.TargetID, *berylspoke.Refusal) {
	attempt.daemon.send(submit{attempt.request, attempt.decisions})
	ticker := time.NewTicker(berylsettings.Millis(attempt.daemon.settings.Callers.HeartbeatMillis))
	defer ticker.Stop()
	for {
		select {
		case decision := <-attempt.decisions:
			return decision.target, decision.refusal
		case <-ctx.Done():
			return attempt.abandon()
		case <-ticker.C:
			if heartbeat != nil && heartbeat() != nil {
				return attempt.abandon()
			}
		}
	}
}

// abandon cancels a queued request. If the request was started concurrently, its slot
// is released.
func (attempt *attempt) abandon() (berylspoke.TargetID, *berylspoke.Refusal) {
	canceled := &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonClosed, Cause: context.Canceled}
	attempt.daemon.send(cancel{attempt.request.Request})
	go func() {
		if decision := <-attempt.decisions; decision.refusal == nil {
			attempt.finish(berylnode.Outcome{Verdict: berylspoke.NotRun})
		}
	}()
	return "", canceled
}

func (attempt *attempt) finish(outcome berylnode.Outcome) {
	attempt.daemon.send(finish{attempt.request.Request, outcome})
}

// mayRetry charges the retry budget and reports whether it allows another attempt.
func (daemon *Daemon) mayRetry() bool {
	allowed := make(chan bool, 1)
	daemon.send(retry{allowed})
	return <-allowed
}

// wantsNoRequests reports whether an attempt ended because its target asked for no requests,
// which is no failure.
func wantsNoRequests(err error) bool {
	var refusal *berylspoke.Refusal
	return errors.As(err, &refusal) && refusal.Reason == berylspoke.ReasonTargetsResting
}
