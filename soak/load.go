package berylsoak

// This file defines the callers' load.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"berylspoke/platform/beryldouble"
)

// callersEach is the number of callers in each failure domain.
const callersEach = 2

// load sends requests until its context ends.
type load struct {
	world  *World
	random *rand.Rand
	count  int
	ends   sync.WaitGroup
}

// run sends at the world's rate, each request by one of the callers.
func (load *load) run(ctx context.Context, seed uint64) {
	var callers []*beryldouble.Caller
	for i := range callersEach * len(domains) {
		domain := domains[i%len(domains)]
		caller := beryldouble.NewCaller(seed+uint64(i), domain.name, domain.region, load.world.directories(domain.name), load.world.through)
		defer caller.Close()
		callers = append(callers, caller)
	}
	for ctx.Err() == nil {
		pause := time.Duration(load.random.ExpFloat64() / load.world.size.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			caller := callers[load.random.IntN(len(callers))]
			ask, organisation := load.next()
			load.ends.Go(func() { load.world.call(caller, ask, organisation) })
		}
	}
	load.ends.Wait()
}

// next draws a request and the organisation that asks.
func (load *load) next() (beryldouble.Ask, string) {
	load.count++
	organisation := load.random.IntN(organised)
	ask := beryldouble.Ask{
		ID: fmt.Sprintf("%08x", load.count), Host: "h.example", Key: keyOf(organisation, 0),
		Method: http.MethodPost, TimeLeft: 8 * time.Second,
	}
	session := load.random.IntN(40)
	switch kind := load.random.IntN(20); {
	case kind < 5:
		ask.Path, ask.Body, ask.Input, ask.Output = pathDraft, 3000, 3000, 96
	case kind < 9:
		ask.Path, ask.Body, ask.Input, ask.Output = pathResume, 800, 800, 96
	case kind < 14:
		ask.Path, ask.Body, ask.TimeLeft = pathBook, 600, 3*time.Second
	case kind < 17:
		ask.Path, ask.Method, ask.TimeLeft = pathLook, http.MethodGet, 3*time.Second
	case kind < 18:
		ask.Path, ask.Method, ask.TimeLeft = pathAdded, http.MethodGet, 3*time.Second
	default:
		ask.Path, ask.Method, ask.TimeLeft = fmt.Sprintf("%s%s%d/", pathLook, revokedSuffix, organisation), http.MethodGet, 3*time.Second
		ask.Key = keyOf(organisation, 1)
	}
	if ask.Input > 0 {
		ask.Parts = fmt.Sprintf("a%x:%d,b%x:%d,c%s:%d", organisation, ask.Input/4, session, ask.Input/4, ask.ID, ask.Input/2)
	}
	return ask, organisationName(organisation)
}

// call sends a request and, where the protocol lets a caller do so, once more.
func (world *World) call(caller *beryldouble.Caller, ask beryldouble.Ask, organisation string) {
	first := ask.ID
	for try := range 2 {
		ask.ID = fmt.Sprintf("%s-%d", first, try)
		ctx := context.Background()
		address := caller.Pick(ctx, time.Now())
		if address == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		request := &asked{path: ask.Path, organisation: organisation, boot: world.boot(address), sent: time.Now()}
		world.judge.asks(ask.ID, request)
		answer := caller.Send(ctx, address, ask)
		world.judge.got(answer)
		again := answer.Promised() || !answer.Served() && request.repeatable() && !strings.HasPrefix(answer.Ask.Path, pathAdded)
		if !again {
			return
		}
		time.Sleep(min(answer.Retry, time.Second))
	}
}
