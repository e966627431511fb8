package berylsoak

// This file defines the load of the callers.

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

// callersPerDomain is the number of callers in each failure domain.
const callersPerDomain = 2

// generator sends requests until its context ends.
type generator struct {
	world        *World
	random       *rand.Rand
	requestCount int
	calls        sync.WaitGroup
}

// run sends requests at the world's rate, each by a random caller.
func (generator *generator) run(ctx context.Context, seed uint64) {
	var callers []*beryldouble.Caller
	for i := range callersPerDomain * len(domains) {
		domain := domains[i%len(domains)]
		caller := beryldouble.NewCaller(seed+uint64(i), domain.name, domain.region, generator.world.resolveAddresses(domain.name), generator.world.relayAddress)
		defer caller.Close()
		if generator.world.size.Stops {
			caller.KeepAddresses(keptTTLs)
		}
		callers = append(callers, caller)
	}
	if generator.world.size.Shape != nil {
		generator.runShape(ctx, seed)
		return
	}
	for ctx.Err() == nil {
		interval := time.Duration(generator.random.ExpFloat64() / generator.world.size.RequestsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(interval):
			caller := callers[generator.random.IntN(len(callers))]
			if generator.world.size.Parts && generator.random.Float64() < partsFraction {
				request, attempt := generator.nextOfParts()
				generator.calls.Go(func() { generator.world.callOfParts(caller, request, attempt) })
				continue
			}
			request, organisation := generator.nextRequest()
			if generator.world.size.Stops {
				request = generator.ofAnyLength(request)
			}
			if generator.world.size.Versions && !generator.world.size.Stops && request.Path == pathResume {
				random := rand.New(rand.NewPCG(seed, uint64(generator.requestCount)))
				generator.calls.Go(func() { generator.world.takeUp(caller, request, organisation, random) })
				continue
			}
			generator.calls.Go(func() { generator.world.call(caller, request, organisation) })
		}
	}
	generator.calls.Wait()
}

// nextRequest draws a request and the organisation that sends it.
func (generator *generator) nextRequest() (beryldouble.Request, string) {
	generator.requestCount++
	organisation := generator.random.IntN(organisationCount)
	request := beryldouble.Request{
		ID: fmt.Sprintf("%08x", generator.requestCount), Host: "h.example", APIKey: callerKey(organisation, 0),
		Method: http.MethodPost, TimeRemaining: 8 * time.Second,
	}
	session := generator.random.IntN(40)
	switch kind := generator.random.IntN(20); {
	case kind < 5:
		request.Path, request.BodyBytes, request.InputTokens, request.OutputTokens = pathDraft, 3000, 3000, 96
	case kind < 9:
		request.Path, request.BodyBytes, request.InputTokens, request.OutputTokens = pathResume, 800, 800, 96
	case kind < 14:
		request.Path, request.BodyBytes, request.TimeRemaining = pathBook, 600, 3*time.Second
	case kind < 17:
		request.Path, request.Method, request.TimeRemaining = pathLook, http.MethodGet, 3*time.Second
	case kind < 18:
		request.Path, request.Method, request.TimeRemaining = pathAdded, http.MethodGet, 3*time.Second
	default:
		request.Path, request.Method, request.TimeRemaining = fmt.Sprintf("%s%s%d/", pathLook, revocableMarker, organisation), http.MethodGet, 3*time.Second
		request.APIKey = callerKey(organisation, 1)
	}
	if request.InputTokens > 0 {
		request.Segments = fmt.Sprintf("a%x:%d,b%x:%d,c%s:%d", organisation, request.InputTokens/4, session, request.InputTokens/4, request.ID, request.InputTokens/2)
	}
	return request, organisationName(organisation)
}

// call sends a request and repeats it once if the protocol allows it after a failure.
func (world *World) call(caller *beryldouble.Caller, request beryldouble.Request, organisation string) {
	id := request.ID
	for try := range 2 {
		request.ID = fmt.Sprintf("%s-%d", id, try)
		ctx := context.Background()
		address := caller.Pick(ctx, time.Now())
		if address == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		attempt := &attempt{path: request.Path, organisation: organisation, processRun: world.currentRun(address), sent: time.Now()}
		if world.size.Stops {
			attempt.limit, attempt.bodyDelay, attempt.work = request.TimeRemaining, request.BodyDelay, workOf(request.Path)
		}
		world.judge.recordSent(request.ID, attempt)
		answer := caller.Send(ctx, address, request)
		world.judge.recordAnswer(answer)
		retry := answer.NotRun() || !answer.Succeeded() && attempt.repeatable() && !strings.HasPrefix(answer.Request.Path, pathAdded)
		if !retry {
			return
		}
		time.Sleep(min(answer.RetryAfter, time.Second))
	}
}
