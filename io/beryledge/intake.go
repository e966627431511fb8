package beryledge

// This file defines how requests are taken in while processor time is short.

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
	"berylspoke/core/berylgate"
	"berylspoke/core/berylintake"
)

const (
	// stagePerCore is the number of requests for each core that may be on their way
	// from being read to being sent on. While the processor is short each waits for
	// the others, so it is a few milliseconds' work.
	stagePerCore = 8
	// expireAfter is when a request that waits looks for its own end.
	expireAfter = 60 * time.Millisecond
	// refusedPart is the part of its objective after which a refused caller may come
	// back, at least; a random time up to as much again is added. The objective runs
	// from the caller's first attempt, and one that returns after it takes the place
	// of others that could still be answered in time.
	refusedPart = 0.2
	// refusedUnknown is the objective of requests that name no route.
	refusedUnknown = time.Second
)

// intake is the line of requests before the processor, and who waits in it.
type intake struct {
	mutex   sync.Mutex
	line    *berylintake.Line
	waiters map[berylintake.Ticket]waiter
	last    berylintake.Ticket
	// refused are the requests refused since they were last collected.
	refused map[berylspoke.OrganisationID]berylgate.Refused
	// bell wakes the goroutine that takes in the next; rung says that it will come.
	bell io.WriteCloser
	rung bool
}

// waiter is told what became of its request.
type waiter interface {
	settle(taken bool)
}

// newIntake returns an intake that runs until its context ends.
func newIntake(ctx context.Context) (*intake, error) {
	wakes, bell, err := os.Pipe()
	if err != nil {
		return nil, errors.Wrap(err, "pipe cannot be opened")
	}
	intake := &intake{
		line:    berylintake.NewLine(stagePerCore * runtime.GOMAXPROCS(0)),
		waiters: make(map[berylintake.Ticket]waiter),
		refused: make(map[berylspoke.OrganisationID]berylgate.Refused),
		bell:    bell,
	}
	context.AfterFunc(ctx, func() {
		_ = wakes.Close()
		_ = bell.Close()
	})
	go intake.run(wakes)
	return intake, nil
}

// run takes in requests that wait. It is woken through a pipe: the scheduler looks
// at descriptors only when no goroutine is left to run, so answers that came for
// requests taken in before are passed on first. Woken by a channel it would go before
// them, and first tokens waited for hundreds of milliseconds.
func (intake *intake) run(wakes io.Reader) {
	buffer := make([]byte, 1)
	for {
		if _, err := wakes.Read(buffer); err != nil {
			return
		}
		intake.mutex.Lock()
		intake.rung = false
		settled := intake.settled(intake.line.Next(time.Now()))
		intake.mutex.Unlock()
		tell(settled)
	}
}

// ring makes the next requests be taken in if there are any; the lock is held.
func (intake *intake) ring() {
	if intake.rung || !intake.line.Ready() {
		return
	}
	intake.rung = true
	_, _ = intake.bell.Write([]byte{0})
}

// claim is what a request says of itself that decides when it is taken in.
type claim struct {
	organisation berylspoke.OrganisationID
	tokens       berylspoke.Tokens
	// engine says that it is for a model engine, and counts in its organisation's
	// share.
	engine bool
	// objective is the time within which its answer counts, zero if not known.
	objective time.Duration
}

// settlement is what is to be told to a waiter.
type settlement struct {
	waiter waiter
	taken  bool
}

// offer asks for a request to be taken in; its waiter is told at once or later.
func (intake *intake) offer(now time.Time, claim claim, waiter waiter) {
	intake.mutex.Lock()
	intake.last++
	intake.waiters[intake.last] = waiter
	change := intake.line.Offer(now, berylintake.Request{
		Ticket: intake.last, Organisation: claim.organisation, Tokens: claim.tokens,
	})
	settled := intake.settled(change)
	intake.ring()
	intake.mutex.Unlock()
	tell(settled)
}

// begin counts a request that was taken in before it was read whole.
func (intake *intake) begin() {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	intake.line.Begin()
}

// done frees the slot of a request.
func (intake *intake) done() {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	intake.line.Done()
	intake.ring()
}

// expire refuses those that waited too long.
func (intake *intake) expire(now time.Time) {
	intake.mutex.Lock()
	settled := intake.settled(intake.line.Expire(now))
	intake.mutex.Unlock()
	tell(settled)
}

// pressed says whether the processor is short.
func (intake *intake) pressed(now time.Time) bool {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	return intake.line.Pressed(now)
}

// settled returns the waiters of a change. They are told without the lock, as some
// write answers.
func (intake *intake) settled(change berylintake.Change) []settlement {
	if len(change.Taken) == 0 && len(change.Refused) == 0 {
		return nil
	}
	settled := make([]settlement, 0, len(change.Taken)+len(change.Refused))
	add := func(tickets []berylintake.Ticket, taken bool) {
		for _, ticket := range tickets {
			settled = append(settled, settlement{intake.waiters[ticket], taken})
			delete(intake.waiters, ticket)
		}
	}
	add(change.Taken, true)
	add(change.Refused, false)
	return settled
}

func tell(settled []settlement) {
	for _, settlement := range settled {
		settlement.waiter.settle(settlement.taken)
	}
}

// count notes a refused request for the shares of its organisation.
func (intake *intake) count(claim claim) {
	if !claim.engine {
		return
	}
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	refused := intake.refused[claim.organisation]
	refused.Requests++
	refused.Tokens += claim.tokens
	intake.refused[claim.organisation] = refused
}

// collect returns the requests refused since the last time.
func (intake *intake) collect() map[berylspoke.OrganisationID]berylgate.Refused {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	if len(intake.refused) == 0 {
		return nil
	}
	refused := intake.refused
	intake.refused = make(map[berylspoke.OrganisationID]berylgate.Refused)
	return refused
}

// slot is a place in the stage, freed once.
type slot struct {
	intake *intake
	freed  atomic.Bool
}

// free frees the slot and says whether it was still held.
func (slot *slot) free() bool {
	if slot == nil || slot.freed.Swap(true) {
		return false
	}
	slot.intake.done()
	return true
}

// handlerWaiter is a request that was read and whose handler waits.
type handlerWaiter chan bool

func (waiter handlerWaiter) settle(taken bool) { waiter <- taken }

// enter waits until a request is taken in; a nil slot means that it is refused.
func (intake *intake) enter(claim claim) *slot {
	waiter := make(handlerWaiter, 1)
	intake.offer(time.Now(), claim, waiter)
	select {
	case taken := <-waiter:
		return intake.slotIf(taken)
	default:
	}
	timer := time.NewTimer(expireAfter)
	defer timer.Stop()
	select {
	case taken := <-waiter:
		return intake.slotIf(taken)
	case <-timer.C:
		intake.expire(time.Now())
		return intake.slotIf(<-waiter)
	}
}

func (intake *intake) slotIf(taken bool) *slot {
	if !taken {
		return nil
	}
	return &slot{intake: intake}
}

// comeBack returns when the refused caller may come back.
func (claim claim) comeBack() time.Duration {
	objective := claim.objective
	if objective == 0 {
		objective = refusedUnknown
	}
	return time.Duration(refusedPart * float64(objective) * (1 + rand.Float64()))
}

// takeIn lets the request begin, or refuses it for want of processor time. One whose
// connection was taken in before its request was parsed does not wait twice.
func (call *call) takeIn(already bool) bool {
	intake := call.daemon.intake
	if already {
		intake.begin()
		call.slot = &slot{intake: intake}
		return true
	}
	claim := call.claim()
	if call.slot = intake.enter(claim); call.slot != nil {
		return true
	}
	intake.count(claim)
	call.daemon.meters.turnaways.count(claim.organisation)
	call.answer(http.StatusServiceUnavailable, berylspoke.ReasonProcessor, claim.comeBack())
	return false
}

// claim returns what decides when the request is taken in.
func (call *call) claim() claim {
	return claim{
		organisation: call.organisation, tokens: berylgate.TokensOf(call.request),
		engine: call.ask.Input > 0, objective: call.route.Objective,
	}
}
