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
	// slotsPerCore is the number of requests per core that may have been read but not yet
	// sent to a target.
	slotsPerCore = 8
	// expiryCheckDelay is how long a handler waits for a decision before it checks the
	// queue for expired requests. Other events at the queue may expire them earlier.
	expiryCheckDelay = 60 * time.Millisecond
	// retryFraction is the fraction of its objective after which a rejected caller may
	// retry at the earliest; a random time of up to the same length is added. The
	// objective runs from the caller's first attempt, and a retry after its end displaces
	// requests that could still be answered in time.
	retryFraction = 0.2
	// defaultObjective applies to requests whose route is not known.
	defaultObjective = time.Second
)

// admission is the queue of requests that wait for the processor, with their waiters.
type admission struct {
	mutex      sync.Mutex
	queue      *beryladmission.Queue
	waiters    map[beryladmission.Ticket]waiter
	lastTicket beryladmission.Ticket
	// rejected are the tokens of requests rejected since the last collection, by cause.
	rejected [beryladmission.CauseCount]map[berylspoke.OrganisationID]berylspoke.Tokens
	// undecided are the tokens of requests that are admitted but not yet decided by the
	// gate.
	undecided map[berylspoke.OrganisationID]berylspoke.Tokens
	// wakeup is the pipe to the goroutine that admits waiting requests; woken is set
	// while a written byte is unread.
	wakeup io.Writer
	woken  bool
	// reported is set while the core knows that the processor is overloaded; overloadBegan
	// tells it, and may be nil.
	reported      bool
	overloadBegan func()
}

// demand holds the properties of a request that determine when it is admitted.
type demand struct {
	organisation berylspoke.OrganisationID
	// tokens are charged to its organisation's share, zero if it is not for a model
	// engine.
	tokens berylspoke.Tokens
	// objective is the time in which it should be answered, zero if not known.
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
		return nil, errors.Wrap(err, "cannot open wakeup pipe")
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

// run admits waiting requests. It is woken through a pipe because the Go scheduler polls
// descriptors only when no goroutine is runnable, so that the answers to requests
// admitted before are forwarded first. If a channel woke it, it would run before them.
func (admission *admission) run(wakeups io.Reader) {
	buffer := make([]byte, 1)
	for {
		if _, err := wakeups.Read(buffer); err != nil {
			return
		}
		admission.change(func(now time.Time) beryladmission.Change {
			admission.woken = false
			return admission.queue.AdmitNext(now)
		})
	}
}

// change applies a change to the queue and notifies the waiters whose requests it
// decided. It notifies them without the lock, as some of them write answers.
func (admission *admission) change(apply func(now time.Time) beryladmission.Change) {
	admission.mutex.Lock()
	now := time.Now()
	change := apply(now)
	began := !admission.reported && admission.overloadBegan != nil && admission.queue.Overloaded(now)
	admission.reported = admission.reported || began
	admitted, rejected := admission.remove(change.Admitted), admission.remove(change.Rejected)
	if !admission.woken && admission.queue.Ready() {
		admission.woken = true
		_, _ = admission.wakeup.Write([]byte{0})
	}
	admission.mutex.Unlock()
	if began {
		admission.overloadBegan()
	}
	for _, waiter := range admitted {
		waiter.decided(true)
	}
	for _, waiter := range rejected {
		waiter.decided(false)
	}
}

// remove removes and returns the waiters of some tickets. The caller holds the lock.
func (admission *admission) remove(tickets []beryladmission.Ticket) []waiter {
	var removed []waiter
	for _, ticket := range tickets {
		removed = append(removed, admission.waiters[ticket])
		delete(admission.waiters, ticket)
	}
	return removed
}

// offer puts a request into the queue; its waiter is notified now or later.
func (admission *admission) offer(demand demand, waiter waiter) {
	admission.change(func(now time.Time) beryladmission.Change {
		admission.lastTicket++
		admission.waiters[admission.lastTicket] = waiter
		return admission.queue.Offer(now, demand.request(admission.lastTicket))
	})
}

// request returns the demand as an entry of the queue.
func (demand demand) request(ticket beryladmission.Ticket) beryladmission.Request {
	return beryladmission.Request{Ticket: ticket, Organisation: demand.organisation, Tokens: demand.tokens}
}

// reject returns the cause for which a request is rejected without being offered, if any.
func (admission *admission) reject(demand demand) beryladmission.Cause {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.queue.Reject(time.Now(), demand.request(0))
}

// mostlyRejected reports whether a large part of an organisation's latest requests was
// rejected.
func (admission *admission) mostlyRejected(organisation berylspoke.OrganisationID) bool {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.queue.MostlyRejected(organisation)
}

// setAllowances sets the tokens that organisations beyond their cap may still start.
// Requests that are admitted but not yet decided by the gate are deducted.
func (admission *admission) setAllowances(allowances map[berylspoke.OrganisationID]float64) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	for organisation := range allowances {
		allowances[organisation] -= float64(admission.undecided[organisation])
	}
	admission.queue.SetAllowances(allowances)
}

// overloadEnded removes the allowances.
func (admission *admission) overloadEnded() {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.reported = false
	admission.queue.SetAllowances(nil)
}

// newSlot returns the slot that the queue assigned to an admitted request.
func (admission *admission) newSlot(demand demand) *slot {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.undecided[demand.organisation] += demand.tokens
	return &slot{admission: admission, demand: demand}
}

// acquireSlot takes a slot without queueing, for a request that was admitted before it
// was parsed.
func (admission *admission) acquireSlot(demand demand) *slot {
	admission.mutex.Lock()
	admission.queue.Acquire()
	admission.mutex.Unlock()
	return admission.newSlot(demand)
}

// done returns a slot to the queue.
func (admission *admission) done(demand demand) {
	admission.change(func(time.Time) beryladmission.Change {
		if admission.undecided[demand.organisation] -= demand.tokens; admission.undecided[demand.organisation] <= 0 {
			delete(admission.undecided, demand.organisation)
		}
		admission.queue.Release()
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

// countRejected adds the tokens of a rejected request to those that collectRejected
// returns.
func (admission *admission) countRejected(demand demand, cause beryladmission.Cause) {
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

// collectRejected returns the tokens of requests rejected for a cause since the last
// call.
func (admission *admission) collectRejected(cause beryladmission.Cause) map[berylspoke.OrganisationID]berylspoke.Tokens {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	rejected := admission.rejected[cause]
	admission.rejected[cause] = nil
	return rejected
}

// slot is held by an admitted request until it is sent to a target; a nil slot counts
// as released.
type slot struct {
	admission *admission
	demand    demand
	released  atomic.Bool
}

// release releases the slot and reports whether it was held.
func (slot *slot) release() bool {
	if slot == nil || slot.released.Swap(true) {
		return false
	}
	slot.admission.done(slot.demand)
	return true
}

// handlerWaiter notifies the handler of a parsed request.
type handlerWaiter chan bool

func (waiter handlerWaiter) decided(admitted bool) { waiter <- admitted }

// wait queues a request and returns its slot once it is admitted, nil if it is rejected.
func (admission *admission) wait(demand demand) *slot {
	waiter := make(handlerWaiter, 1)
	admission.offer(demand, waiter)
	admitted := false
	select {
	case admitted = <-waiter:
	default:
		timer := time.NewTimer(expiryCheckDelay)
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
	return admission.newSlot(demand)
}

// retryAfter returns the delay after which a rejected caller may retry.
func (demand demand) retryAfter() time.Duration {
	objective := demand.objective
	if objective == 0 {
		objective = defaultObjective
	}
	return time.Duration(retryFraction * float64(objective) * (1 + rand.Float64()))
}

// takeSlot waits until the request is admitted, or answers that it is rejected. A
// request that was admitted before it was parsed does not wait again.
func (call *call) takeSlot(admitted bool) bool {
	admission := call.daemon.admission
	demand := newDemand(call.organisation, call.request.Input, call.request.Output, call.route)
	if admitted {
		call.slot = admission.acquireSlot(demand)
		return true
	}
	cause := admission.reject(demand)
	if cause == beryladmission.NotRejected {
		call.stage = awaitingSlot
		if call.slot = admission.wait(demand); call.slot != nil {
			return true
		}
		cause = beryladmission.Overload
	}
	call.daemon.countRejected(demand, cause)
	call.answer(http.StatusServiceUnavailable, rejectionReasons[cause], demand.retryAfter())
	return false
}

// rejectionReasons are the reasons in the answers to rejected requests.
var rejectionReasons = [beryladmission.CauseCount]berylspoke.Reason{
	beryladmission.Overload: berylspoke.ReasonCPUStarved,
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

// countRejected counts a rejected request in its organisation's share and in the metrics.
func (daemon *Daemon) countRejected(demand demand, cause beryladmission.Cause) {
	daemon.admission.countRejected(demand, cause)
	daemon.meters.rejections.count(demand.organisation, cause)
}

// refreshAdmission reports the rejected tokens to the gate and sets the tokens that
// organisations beyond their cap may still start.
func (core *core) refreshAdmission(now time.Time) {
	admission := core.daemon.admission
	core.gate.CountRejected(now, admission.collectRejected(beryladmission.Overload))
	core.gate.CountRejectedOverCap(now, admission.collectRejected(beryladmission.OverCap))
	if !admission.overloaded(now) {
		admission.overloadEnded()
		return
	}
	admission.setAllowances(core.gate.Allowances(now))
}
