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
	// rejected are the tokens of requests rejected since they were last collected.
	rejected map[berylspoke.OrganisationID]berylspoke.Tokens
	// wakeup is the pipe to the goroutine that admits waiting requests; woken says that
	// it was written to.
	wakeup io.Writer
	woken  bool
}

// demand is what a request says of itself that decides when it is admitted.
type demand struct {
	organisation berylspoke.OrganisationID
	// tokens are what it counts in its organisation's share.
	tokens berylspoke.Tokens
	// engine is set if it is for a model engine.
	engine bool
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
		queue:    beryladmission.NewQueue(slotsPerCore * runtime.GOMAXPROCS(0)),
		waiters:  make(map[beryladmission.Ticket]waiter),
		rejected: make(map[berylspoke.OrganisationID]berylspoke.Tokens),
		wakeup:   writer,
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
		return admission.queue.Offer(now, beryladmission.Request{
			Ticket: admission.last, Organisation: demand.organisation, Tokens: demand.tokens,
		})
	})
}

// begin takes a slot for a request that was admitted before it was read whole.
func (admission *admission) begin() *slot {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.queue.Begin()
	return &slot{admission: admission}
}

// done frees a slot.
func (admission *admission) done() {
	admission.change(func(time.Time) beryladmission.Change {
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
func (admission *admission) count(demand demand) {
	if !demand.engine {
		return
	}
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.rejected[demand.organisation] += demand.tokens
}

// collect returns the tokens of requests rejected since the last call.
func (admission *admission) collect() map[berylspoke.OrganisationID]berylspoke.Tokens {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	if len(admission.rejected) == 0 {
		return nil
	}
	rejected := admission.rejected
	admission.rejected = make(map[berylspoke.OrganisationID]berylspoke.Tokens)
	return rejected
}

// slot is held by an admitted request until it is sent on; a nil slot is free.
type slot struct {
	admission *admission
	freed     atomic.Bool
}

// free frees the slot and reports whether it was held.
func (slot *slot) free() bool {
	if slot == nil || slot.freed.Swap(true) {
		return false
	}
	slot.admission.done()
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
	return &slot{admission: admission}
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
	if admitted {
		call.slot = admission.begin()
		return true
	}
	demand := demand{
		organisation: call.organisation, tokens: berylgate.TokensOf(call.request),
		engine: call.ask.Input > 0, objective: call.route.Objective,
	}
	if call.slot = admission.wait(demand); call.slot != nil {
		return true
	}
	call.daemon.rejected(demand)
	call.answer(http.StatusServiceUnavailable, berylspoke.ReasonProcessor, demand.retryAfter())
	return false
}

// rejected counts a request that was rejected as the processor is overloaded.
func (daemon *Daemon) rejected(demand demand) {
	daemon.admission.count(demand)
	daemon.meters.rejections.count(demand.organisation)
}
