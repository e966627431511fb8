package berylfleet

// This file defines the running fakes of a deployment.

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylstand"
)

// Fakes are the fakes around a fleet: the platform and the targets.
type Fakes struct {
	Plan         Plan
	Platform     *berylstand.Platform
	Engines      map[berylspoke.TargetID]*berylstand.Engine
	PlainTargets map[berylspoke.TargetID]*berylstand.PlainTarget
	servers      map[string]*berylstand.Server
	stop         context.CancelFunc
}

// StartFakes starts the fakes of a plan and publishes its first patch.
func StartFakes(plan Plan) (*Fakes, error) {
	ctx, stop := context.WithCancel(context.Background())
	fakes := &Fakes{
		Plan: plan, Platform: berylstand.NewPlatform(), stop: stop,
		Engines:      make(map[berylspoke.TargetID]*berylstand.Engine),
		PlainTargets: make(map[berylspoke.TargetID]*berylstand.PlainTarget),
		servers:      make(map[string]*berylstand.Server),
	}
	if err := fakes.start(ctx); err != nil {
		fakes.Close()
		return nil, err
	}
	fakes.Platform.SetVMs(plan.VMs())
	body, err := json.Marshal(plan.Patch())
	if err != nil {
		fakes.Close()
		return nil, errors.Wrap(err, "first patch cannot be encoded")
	}
	fakes.Platform.Publish(body)
	return fakes, nil
}

func (fakes *Fakes) start(ctx context.Context) error {
	server, err := berylstand.Listen(fakes.Plan.PlatformAddress(), fakes.Platform.Handler())
	if err != nil {
		return err
	}
	fakes.servers["platform"] = server
	for id, target := range fakes.Plan.Targets() {
		if err := fakes.startTarget(ctx, id, target); err != nil {
			return err
		}
	}
	return nil
}

func (fakes *Fakes) startTarget(ctx context.Context, id berylspoke.TargetID, target berylconfig.Target) error {
	var server *berylstand.Server
	var err error
	if target.Service == fakes.Plan.ModelService {
		engine := berylstand.NewEngine(fakes.Plan.EngineOptions)
		fakes.Engines[id] = engine
		go engine.Run(ctx)
		server, err = berylstand.Listen(target.Address, engine.Handler())
	} else {
		plain := berylstand.NewPlainTarget(fakes.Plan.PlainResponseTime)
		fakes.PlainTargets[id] = plain
		server, err = berylstand.Listen(target.Address, plain.Handler())
	}
	if err != nil {
		return err
	}
	fakes.servers[string(id)] = server
	return nil
}

// CrashTarget stops a target and closes its connections, as a crash does.
func (fakes *Fakes) CrashTarget(id berylspoke.TargetID) {
	if server := fakes.servers[string(id)]; server != nil {
		server.Close()
	}
}

// Close stops the fakes.
func (fakes *Fakes) Close() {
	fakes.stop()
	for _, server := range fakes.servers {
		server.Close()
	}
}

// ExecutionCounts returns the highest number of executions of one request at a target of
// the plain service and the number of requests executed.
func (fakes *Fakes) ExecutionCounts() (highest, requests int) {
	for _, plain := range fakes.PlainTargets {
		targetHighest, targetRequests := plain.ExecutionCounts()
		highest = max(highest, targetHighest)
		requests += targetRequests
	}
	return highest, requests
}
