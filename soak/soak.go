package berylsoak

// This file defines one soak.

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
	// recoverWithin bounds the wait for service after the last fault. Twelve
	// seconds are promised; the rest is for busy machines.
	recoverWithin = 60 * time.Second
	// recoverShare is the part of the rate that must be served then.
	recoverShare = 0.5
	// recoverLook is the time over which that is measured.
	recoverLook = 2 * time.Second
)

// Run plays the plan of a seed on a world, and says on out what it does.
func Run(world *World, seed uint64, out io.Writer) Result {
	random := rand.New(rand.NewPCG(seed, 0))
	plan := newPlan(random, world.size)
	ctx, cancel := context.WithCancel(context.Background())
	load := &load{world: world, random: rand.New(rand.NewPCG(seed, 1))}
	var sending sync.WaitGroup
	sending.Go(func() { load.run(ctx, seed) })
	world.play(plan, out)
	recovered := world.recovers()
	cancel()
	sending.Wait()
	result := world.judge.result()
	if recovered != nil {
		result.Violations = append(result.Violations, Violation{time.Since(world.judge.began), "service returns", recovered.Error()})
	}
	return result
}

// play does the faults of a plan at their times and heals all that lasts.
func (world *World) play(plan []step, out io.Writer) {
	began := time.Now()
	var under sync.WaitGroup
	for _, step := range plan {
		time.Sleep(time.Until(began.Add(step.at)))
		if !step.fault.planned {
			world.judge.harming()
		}
		_, _ = fmt.Fprintln(out, step)
		under.Go(func() { step.fault.do(world, step) })
	}
	under.Wait()
	for _, process := range world.processes {
		process.store.SetHarm(berylstand.Harm{})
	}
}

// recovers waits until callers are served again.
func (world *World) recovers() error {
	deadline := time.Now().Add(recoverWithin)
	want := int(recoverShare * world.size.Rate * recoverLook.Seconds())
	for time.Now().Before(deadline) {
		before := world.judge.servedNow()
		time.Sleep(recoverLook)
		if world.judge.servedNow()-before >= want {
			return world.inForce(deadline)
		}
	}
	return errors.Errorf("fewer than %d requests are served in %s", want, recoverLook)
}

// inForce waits until every process serves the newest configuration.
func (world *World) inForce(deadline time.Time) error {
	newest := world.judge.newestDeclared()
	for _, process := range world.processes {
		for !world.serves(process, newest) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s does not serve the newest configuration", process.vm.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// serves asks a process for what the newest configuration adds and takes away.
func (world *World) serves(process *process, newest declared) bool {
	caller := beryldouble.NewCaller(1, process.vm.FailureDomain, process.vm.Region, nil, nil)
	defer caller.Close()
	ask := beryldouble.Ask{Host: "h.example", Method: http.MethodGet, TimeLeft: 3 * time.Second, Path: pathAdded, Key: keyOf(0, 0)}
	if newest.added && world.probe(caller, process, ask).Status != http.StatusOK {
		return false
	}
	if newest.revoked == 0 {
		return true
	}
	ask.Path, ask.Key = fmt.Sprintf("%s%s%d/", pathLook, revokedSuffix, newest.revoked-1), keyOf(newest.revoked-1, 1)
	return world.probe(caller, process, ask).Status == http.StatusUnauthorized
}

// probe sends a request of the first organisation straight to one process.
func (world *World) probe(caller *beryldouble.Caller, process *process, ask beryldouble.Ask) beryldouble.Answer {
	ask.ID = fmt.Sprintf("probe-%d", time.Now().UnixNano())
	organisation := organisationName(max(revokedIndex(ask.Path)%organised, 0))
	world.judge.asks(ask.ID, &asked{path: ask.Path, organisation: organisation, boot: world.boot(process.vm.Callers()), sent: time.Now()})
	answer := caller.Send(context.Background(), process.vm.Callers(), ask)
	world.judge.got(answer)
	return answer
}
