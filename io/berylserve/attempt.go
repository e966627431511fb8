package berylserve

// This file defines one attempt of a request: queue, slot, target.

import (
	"context"
	"fmt"
	"time"

	"berylspoke"
	"berylspoke/core/berylnode"
	"berylspoke/core/berylroute"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylticket"
	"berylspoke/io/berylsettings"
)

// attempt is one try of a request at a target.
type attempt struct {
	daemon  *Daemon
	request berylnode.Request
	fates   chan fate
}

// newAttempt makes an attempt with an id of its own: targets echo it, so that a
// late answer of an earlier attempt is never taken for this one's.
func (daemon *Daemon) newAttempt(from caller, service berylspoke.ServiceID, hint berylspoke.Tokens, prompt string, call *berylticket.CallID) *attempt {
	now := time.Now()
	id := berylspoke.RequestID(fmt.Sprintf("%s/%s/%d", from.organisation, daemon.process().Incarnation, daemon.sequence.Add(1)))
	return &attempt{
		daemon: daemon,
		fates:  make(chan fate, 1),
		request: berylnode.Request{
			Service: service, Call: call,
			Waiting: berylshare.Waiting{
				Request: id, Organisation: from.organisation, Hint: hint,
				Prefix: berylroute.PrefixOf(prompt), Arrived: now,
				Deadline: now.Add(berylsettings.Millis(daemon.settings.Callers.MaxWaitMillis)),
			},
		},
	}
}

// wait queues the attempt and returns its target. It calls beat while it waits,
// so that the caller sees a live connection. If the context ends first, the
// request is taken out of the queue.
func (attempt *attempt) wait(ctx context.Context, beat func() error) (berylspoke.TargetID, *berylspoke.Refusal) {
	attempt.daemon.send(submit{attempt.request, attempt.fates})
	ticker := time.NewTicker(berylsettings.Millis(attempt.daemon.settings.Callers.HeartbeatMillis))
	defer ticker.Stop()
	for {
		select {
		case fate := <-attempt.fates:
			return fate.target, fate.refusal
		case <-ctx.Done():
			return attempt.abandon()
		case <-ticker.C:
			if beat != nil && beat() != nil {
				return attempt.abandon()
			}
		}
	}
}

// abandon cancels a waiting request. It may have started at the same moment;
// the slot is then freed.
func (attempt *attempt) abandon() (berylspoke.TargetID, *berylspoke.Refusal) {
	gone := &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonClosed, Cause: context.Canceled}
	attempt.daemon.send(cancel{attempt.request.Request})
	go func() {
		if fate := <-attempt.fates; fate.refusal == nil {
			attempt.finish(berylnode.Outcome{Verdict: berylspoke.NotRun})
		}
	}()
	return "", gone
}

func (attempt *attempt) finish(outcome berylnode.Outcome) {
	attempt.daemon.send(finish{attempt.request.Request, outcome})
}

// mayRetry says whether the fleet's budget allows another attempt.
func (daemon *Daemon) mayRetry() bool {
	allowed := make(chan bool, 1)
	daemon.send(retry{allowed})
	return <-allowed
}
