package beryledge

// This file defines how requests are admitted while the processor is overloaded.

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/beryladmission"
	"berylspoke/core/berylgate"
)

const (
	// slotsPerCore is the number of requests for each core that may be on their way
	// from being read to being sent on.
	slotsPerCore = 8
	// expireAfter is when a handler whose request waits looks for its expiry; the queue
	// rejects it earlier if anything else happens there.
	expireAfter = 60 * time.Millisecond
	// retryPart is the part of its objective after which a rejected caller may come
	// back, at least; a random time up to as much again is added. The objective runs
	// from the caller's first attempt, and one that returns after it takes the place
	// of others that could still be answered in time.
	retryPart = 0.2
	// unknownObjective is taken for requests that name no route.
	unknownObjective = time.Second
)

// admission is the queue of requests that wait for the processor, and who waits there.
type admission struct {
	mutex   sync.Mutex
	queue   *beryladmission.Queue
	waiters map[beryladmission.Ticket]waiter
	last    beryladmission.Ticket
	// rejected are the tokens of requests rejected since they were last collected, by
	// the cause.
	rejected [beryladmission.Causes]map[berylspoke.OrganisationID]berylspoke.Tokens
	// undecided are the tokens of requests that were admitted and that the gate has not
	// decided on.
	undecided map[berylspoke.OrganisationID]berylspoke.Tokens
	// wakeup is the pipe to the goroutine that admits waiting requests; woken says that
	// it was written to.
	wakeup io.Writer
	woken  bool
}

// demand is what a request says of itself that decides when it is admitted.
type demand struct {
	organisation berylspoke.OrganisationID
	// tokens are what it counts in its organisation's share, zero if it is not for a
	// model engine.
	tokens berylspoke.Tokens
	// objective is the time within which its answer counts, zero if not known.
	objective time.Duration
}

// waiter is notified of the decision on its request.
type waiter interface {
	decided(admitted bool)
}

// newAdmission returns an admission queue that runs until its context ends.
func newAdmission(ctx context.Context) (*admission, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, errors.Wrap(err, "pipe cannot be opened")
	}
	admission := &admission{
		queue:     beryladmission.NewQueue(slotsPerCore * runtime.GOMAXPROCS(0)),
		waiters:   make(map[beryladmission.Ticket]waiter),
		undecided: make(map[berylspoke.OrganisationID]berylspoke.Tokens),
		wakeup:    writer,
	}
	context.AfterFunc(ctx, func() {
		_ = reader.Close()
		_ = writer.Close()
	})
	go admission.run(reader)
	return admission, nil
}

// run admits waiting requests. It is woken through a pipe because the scheduler polls
// descriptors only once no goroutine is runnable: answers to requests admitted before
// are passed on first. Woken by a channel it would run before them.
func (admission *admission) run(wakeups io.Reader) {
	buffer := make([]byte, 1)
	for {
		if _, err := wakeups.Read(buffer); err != nil {
			return
		}
		admission.change(func(now time.Time) beryladmission.Change {
			admission.woken = false
			return admission.queue.Next(now)
		})
	}
}

// change applies a change to the queue and notifies the waiters that it decided on.
// They are notified without the lock, as some write answers.
func (admission *admission) change(apply func(now time.Time) beryladmission.Change) {
	admission.mutex.Lock()
	change := apply(time.Now())
	admitted, rejected := admission.remove(change.Admitted), admission.remove(change.Rejected)
	if !admission.woken && admission.queue.Ready() {
		admission.woken = true
		_, _ = admission.wakeup.Write([]byte{0})
	}
	admission.mutex.Unlock()
	for _, waiter := range admitted {
		waiter.decided(true)
	}
	for _, waiter := range rejected {
		waiter.decided(false)
	}
}

// remove takes out the waiters of some tickets; the lock is held.
func (admission *admission) remove(tickets []beryladmission.Ticket) []waiter {
	var removed []waiter
	for _, ticket := range tickets {
		removed = append(removed, admission.waiters[ticket])
		delete(admission.waiters, ticket)
	}
	return removed
}

// offer asks for a request to be admitted; its waiter is notified now or later.
func (admission *admission) offer(demand demand, waiter waiter) {
	admission.change(func(now time.Time) beryladmission.Change {
		admission.last++
		admission.waiters[admission.last] = waiter
		return admission.queue.Offer(now, demand.request(admission.last))
	})
}

// request returns what the queue judges by.
func (demand demand) request(ticket beryladmission.Ticket) beryladmission.Request {
	return beryladmission.Request{Ticket: ticket, Organisation: demand.organisation, Tokens: demand.tokens}
}

// reject reports why a request is to be rejected without being offered.
func (admission *admission) reject(demand demand) beryladmission.Cause {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.queue.Reject(time.Now(), demand.request(0))
}

// mostlyRejected reports whether an organisation's requests are mostly rejected now.
func (admission *admission) mostlyRejected(organisation berylspoke.OrganisationID) bool {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.queue.MostlyRejected(organisation)
}

// allow takes what organisations beyond their cap may still begin. What was admitted
// and is not decided on will draw on it.
func (admission *admission) allow(allowances map[berylspoke.OrganisationID]float64) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	for organisation := range allowances {
		allowances[organisation] -= float64(admission.undecided[organisation])
	}
	admission.queue.SetAllowances(allowances)
}

// hold returns the slot of an admitted request.
func (admission *admission) hold(demand demand) *slot {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.undecided[demand.organisation] += demand.tokens
	return &slot{admission: admission, demand: demand}
}

// begin takes a slot for a request that was admitted before it was read whole.
func (admission *admission) begin(demand demand) *slot {
	admission.mutex.Lock()
	admission.queue.Begin()
	admission.mutex.Unlock()
	return admission.hold(demand)
}

// done frees a slot.
func (admission *admission) done(demand demand) {
	admission.change(func(time.Time) beryladmission.Change {
		if admission.undecided[demand.organisation] -= demand.tokens; admission.undecided[demand.organisation] <= 0 {
			delete(admission.undecided, demand.organisation)
		}
		admission.queue.Done()
		return beryladmission.Change{}
	})
}

// expire rejects the requests that have waited for too long.
func (admission *admission) expire() { admission.change(admission.queue.Expire) }

// overloaded reports whether the processor is overloaded.
func (admission *admission) overloaded(now time.Time) bool {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.queue.Overloaded(now)
}

// count adds a rejected request to those that count in shares.
func (admission *admission) count(demand demand, cause beryladmission.Cause) {
	if demand.tokens == 0 {
		return
	}
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	if admission.rejected[cause] == nil {
		admission.rejected[cause] = make(map[berylspoke.OrganisationID]berylspoke.Tokens)
	}
	admission.rejected[cause][demand.organisation] += demand.tokens
}

// collect returns the tokens of requests rejected for a cause since the last call.
func (admission *admission) collect(cause beryladmission.Cause) map[berylspoke.OrganisationID]berylspoke.Tokens {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	rejected := admission.rejected[cause]
	admission.rejected[cause] = nil
	return rejected
}

// slot is held by an admitted request until it is sent on; a nil slot is free.
type slot struct {
	admission *admission
	demand    demand
	freed     atomic.Bool
}

// free frees the slot and reports whether it was held.
func (slot *slot) free() bool {
	if slot == nil || slot.freed.Swap(true) {
		return false
	}
	slot.admission.done(slot.demand)
	return true
}

// handlerWaiter is a parsed request whose handler waits for the decision.
type handlerWaiter chan bool

func (waiter handlerWaiter) decided(admitted bool) { waiter <- admitted }

// wait returns a slot once a request is admitted, nil if it is rejected.
func (admission *admission) wait(demand demand) *slot {
	waiter := make(handlerWaiter, 1)
	admission.offer(demand, waiter)
	admitted := false
	select {
	case admitted = <-waiter:
	default:
		timer := time.NewTimer(expireAfter)
		defer timer.Stop()
		select {
		case admitted = <-waiter:
		case <-timer.C:
			admission.expire()
			admitted = <-waiter
		}
	}
	if !admitted {
		return nil
	}
	return admission.hold(demand)
}

// retryAfter returns when the rejected caller may come back.
func (demand demand) retryAfter() time.Duration {
	objective := demand.objective
	if objective == 0 {
		objective = unknownObjective
	}
	return time.Duration(retryPart * float64(objective) * (1 + rand.Float64()))
}

// takeSlot waits until the request is admitted, or rejects it. One that was admitted
// before it was parsed does not wait again.
func (call *call) takeSlot(admitted bool) bool {
	admission := call.daemon.admission
	demand := newDemand(call.organisation, call.request.Input, call.request.Output, call.route)
	if admitted {
		call.slot = admission.begin(demand)
		return true
	}
	cause := admission.reject(demand)
	if cause == beryladmission.NotRejected {
		if call.slot = admission.wait(demand); call.slot != nil {
			return true
		}
		cause = beryladmission.Overload
	}
	call.daemon.rejected(demand, cause)
	call.answer(http.StatusServiceUnavailable, reasons[cause], demand.retryAfter())
	return false
}

// reasons are what callers are told of a rejection.
var reasons = [beryladmission.Causes]berylspoke.Reason{
	beryladmission.Overload: berylspoke.ReasonProcessor,
	beryladmission.OverCap:  berylspoke.ReasonOverload,
}

// newDemand returns the demand of a request; its route is nil if not known.
func newDemand(organisation berylspoke.OrganisationID, input, output berylspoke.Tokens, route *berylspoke.Route) demand {
	demand := demand{organisation: organisation}
	if input > 0 {
		demand.tokens = berylgate.TokensOf(&berylgate.Request{Input: input, Output: output})
	}
	if route != nil {
		demand.objective = route.Objective
	}
	return demand
}

// rejected counts a rejected request.
func (daemon *Daemon) rejected(demand demand, cause beryladmission.Cause) {
	daemon.admission.count(demand, cause)
	daemon.meters.rejections.count(demand.organisation, cause)
}

// refreshAdmission tells the gate what was rejected and the queue what organisations
// beyond their cap may begin.
func (core *core) refreshAdmission(now time.Time) {
	admission := core.daemon.admission
	core.gate.Rejected(now, admission.collect(beryladmission.Overload))
	core.gate.RejectedOverCap(now, admission.collect(beryladmission.OverCap))
	if !admission.overloaded(now) {
		admission.allow(nil)
		return
	}
	admission.allow(core.gate.Allowances(now))
}
