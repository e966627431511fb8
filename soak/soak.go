package berylsoak

// This file defines one run of the soak.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"berylspoke/io/berylstand"
	"berylspoke/platform/beryldouble"
)

const (
	// recoveryTimeout bounds the wait for service after the last fault. The
	// guarantee is twelve seconds; the rest allows for busy machines.
	recoveryTimeout = 60 * time.Second
	// recoveryFraction is the fraction of the request rate that must be served then.
	recoveryFraction = 0.5
	// recoveryWindow is the window in which the served requests are counted.
	recoveryWindow = 2 * time.Second
)

// Run executes the plan of a seed on a world and writes its steps to out.
func Run(world *World, seed uint64, out io.Writer) Result {
	random := rand.New(rand.NewPCG(seed, 0))
	plan := newPlan(random, world.size)
	ctx, cancel := context.WithCancel(context.Background())
	generator := &generator{world: world, random: rand.New(rand.NewPCG(seed, 1))}
	var sending sync.WaitGroup
	sending.Go(func() { generator.run(ctx, seed) })
	if world.size.Quota > 0 {
		for _, process := range world.processes {
			sending.Go(func() { world.limitProcessor(ctx, process) })
		}
	}
	world.runPlan(plan, out)
	recoveryErr := world.awaitRecovery()
	cancel()
	sending.Wait()
	logs := readLogs(world.folder, world.judge.endingIDs())
	result := world.judge.result(logs)
	if recoveryErr != nil {
		result.Violations = append(result.Violations, Violation{time.Since(world.judge.started), "service recovers", recoveryErr.Error()})
	}
	return result
}

// runPlan injects the faults of a plan at their times and ends the impairments of the
// store afterwards.
func (world *World) runPlan(plan []step, out io.Writer) {
	started := time.Now()
	var running sync.WaitGroup
	for _, step := range plan {
		time.Sleep(time.Until(started.Add(step.at)))
		if !step.fault.planned {
			world.judge.recordUnplannedFault()
		}
		_, _ = fmt.Fprintln(out, step)
		running.Go(func() { step.fault.do(world, step) })
	}
	running.Wait()
	for _, process := range world.processes {
		process.store.SetImpairment(berylstand.Impairment{})
	}
}

// awaitRecovery waits until callers are served at the required rate again and every
// process serves the newest configuration.
func (world *World) awaitRecovery() error {
	deadline := time.Now().Add(recoveryTimeout)
	want := int(recoveryFraction * world.size.RequestsPerSecond * recoveryWindow.Seconds())
	for time.Now().Before(deadline) {
		before := world.judge.servedCount()
		time.Sleep(recoveryWindow)
		if world.judge.servedCount()-before >= want {
			if world.size.Shape != nil {
				return nil
			}
			if err := world.awaitConfiguration(deadline); err != nil || !world.size.Odd {
				return err
			}
			return world.awaitList(deadline)
		}
	}
	return errors.Errorf("fewer than %d requests served in %s", want, recoveryWindow)
}

// awaitConfiguration waits until every process serves the newest configuration.
func (world *World) awaitConfiguration(deadline time.Time) error {
	newest := world.judge.newestPublished()
	for _, process := range world.processes {
		for !world.servesConfiguration(process, newest) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s does not serve the newest configuration", process.vm.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// servesConfiguration reports whether a process serves the added route and rejects the last
// revoked key of the newest configuration.
func (world *World) servesConfiguration(process *process, newest configState) bool {
	caller := beryldouble.NewCaller(1, process.vm.FailureDomain, process.vm.Region, nil, nil)
	defer caller.Close()
	request := beryldouble.Request{Host: "h.example", Method: http.MethodGet, TimeRemaining: 3 * time.Second, Path: pathAdded, APIKey: callerKey(0, 0)}
	if newest.addedRoute && world.probe(caller, process, request).Status != http.StatusOK {
		return false
	}
	if newest.revokedKeys == 0 {
		return true
	}
	request.Path, request.APIKey = fmt.Sprintf("%s%s%d/", pathLook, revocableMarker, newest.revokedKeys-1), callerKey(newest.revokedKeys-1, 1)
	return world.probe(caller, process, request).Status == http.StatusUnauthorized
}

// probe sends a request directly to one process, without a relay.
func (world *World) probe(caller *beryldouble.Caller, process *process, request beryldouble.Request) beryldouble.Result {
	request.ID = fmt.Sprintf("probe-%d", time.Now().UnixNano())
	organisation := organisationName(max(revokedIndex(request.Path)%organisationCount, 0))
	world.judge.recordSent(request.ID, &attempt{path: request.Path, organisation: organisation, processRun: world.currentRun(process.vm.CallersAddress()), sent: time.Now()})
	answer := caller.Send(context.Background(), process.vm.CallersAddress(), request)
	world.judge.recordAnswer(answer)
	return answer
}
