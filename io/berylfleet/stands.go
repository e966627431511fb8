package berylfleet

// This file defines the running stand-ins of a deployment.

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylstand"
)

// Stands are the stand-ins around a fleet.
type Stands struct {
	Plan     Plan
	Platform *berylstand.Platform
	Engines  map[berylspoke.TargetID]*berylstand.Engine
	Desks    map[berylspoke.TargetID]*berylstand.PlainTarget
	servers  map[string]*berylstand.Server
	stop     context.CancelFunc
}

// StartStands starts the stand-ins of a plan and publishes its first patch.
func StartStands(plan Plan) (*Stands, error) {
	ctx, stop := context.WithCancel(context.Background())
	stands := &Stands{
		Plan: plan, Platform: berylstand.NewPlatform(), stop: stop,
		Engines: make(map[berylspoke.TargetID]*berylstand.Engine),
		Desks:   make(map[berylspoke.TargetID]*berylstand.PlainTarget),
		servers: make(map[string]*berylstand.Server),
	}
	if err := stands.start(ctx); err != nil {
		stands.Close()
		return nil, err
	}
	stands.Platform.SetVMs(plan.VMs())
	body, err := json.Marshal(plan.Patch())
	if err != nil {
		stands.Close()
		return nil, errors.Wrap(err, "first patch cannot be encoded")
	}
	stands.Platform.Publish(body)
	return stands, nil
}

func (stands *Stands) start(ctx context.Context) error {
	server, err := berylstand.Listen(stands.Plan.PlatformAddress(), stands.Platform.Handler())
	if err != nil {
		return err
	}
	stands.servers["platform"] = server
	for id, target := range stands.Plan.Targets() {
		if err := stands.startTarget(ctx, id, target); err != nil {
			return err
		}
	}
	return nil
}

func (stands *Stands) startTarget(ctx context.Context, id berylspoke.TargetID, target berylconfig.Target) error {
	var server *berylstand.Server
	var err error
	if target.Service == stands.Plan.Model {
		engine := berylstand.NewEngine(stands.Plan.Engine)
		stands.Engines[id] = engine
		go engine.Run(ctx)
		server, err = berylstand.Listen(target.Address, engine.Handler())
	} else {
		desk := berylstand.NewDesk(stands.Plan.DeskFor)
		stands.Desks[id] = desk
		server, err = berylstand.Listen(target.Address, desk.Handler())
	}
	if err != nil {
		return err
	}
	stands.servers[string(id)] = server
	return nil
}

// CloseTarget stops one target, as a crash would.
func (stands *Stands) CloseTarget(id berylspoke.TargetID) {
	if server := stands.servers[string(id)]; server != nil {
		server.Close()
	}
}

// Close stops the stand-ins.
func (stands *Stands) Close() {
	stands.stop()
	for _, server := range stands.servers {
		server.Close()
	}
}

// Executions returns the highest number of executions of one id over all desks
// and the number of ids executed.
func (stands *Stands) Executions() (most, requests int) {
	for _, desk := range stands.Desks {
		deskMost, deskRequests := desk.ExecutionCounts()
		most = max(most, deskMost)
		requests += deskRequests
	}
	return most, requests
}
