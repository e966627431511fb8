package main

// This file defines the command that runs fakes as a process.

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"berylspoke/io/berylfleet"
	"berylspoke/io/berylstand"
)

type standCommand struct {
	kind, address, deployment     string
	slots, loopbackNetwork, scale int
}

func (*standCommand) Name() string     { return "stand" }
func (*standCommand) Synopsis() string { return "run a fake platform, engine or desk" }
func (*standCommand) Usage() string {
	return `stand -kind platform|engine|desk -address IP:PORT
stand -kind deployment -deployment kitamine|parish -base N

Runs one fake, or all fakes of a deployment with relays between its daemons, for
tests and trials until SIGTERM or SIGINT. A deployment accepts POST /cut, which
drops all packets between regions, and POST /mend, which ends that, at
127.N.0.1:7001.

`
}

func (command *standCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.kind, "kind", "", "platform, engine, desk or deployment")
	flags.StringVar(&command.address, "address", "127.0.0.1:7000", "`address` to listen on")
	flags.StringVar(&command.deployment, "deployment", "kitamine", "deployment whose fakes to run, kitamine or parish")
	flags.IntVar(&command.scale, "scale", 1, "factor for the numbers of VMs and targets of the deployment")
	flags.IntVar(&command.loopbackNetwork, "base", 30, "second byte of a deployment's loopback addresses")
	flags.IntVar(&command.slots, "slots", berylstand.DefaultEngineOptions().Slots, "batch size of an engine")
}

func (command *standCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if command.kind == "deployment" {
		return command.runDeployment()
	}
	var handler http.Handler
	switch command.kind {
	case "platform":
		handler = berylstand.NewPlatform().Handler()
	case "engine":
		options := berylstand.DefaultEngineOptions()
		options.Slots = command.slots
		engine := berylstand.NewEngine(options)
		go engine.Run(ctx)
		handler = engine.Handler()
	case "desk":
		handler = berylstand.NewPlainTarget(20 * time.Millisecond).Handler()
	default:
		return fail(fmt.Errorf("kind %q is none of platform, engine, desk, deployment", command.kind))
	}
	server, err := berylstand.Listen(command.address, handler)
	if err != nil {
		return fail(err)
	}
	defer server.Close()
	waitForSignal()
	return subcommands.ExitSuccess
}

func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
}

func (command *standCommand) runDeployment() subcommands.ExitStatus {
	plan, known := berylfleet.Plans()[command.deployment]
	if !known {
		return fail(fmt.Errorf("deployment %q is neither kitamine nor parish", command.deployment))
	}
	plan = plan.Scaled(command.scale)
	plan.LoopbackNetwork = command.loopbackNetwork
	fakes, err := berylfleet.StartFakes(plan)
	if err != nil {
		return fail(err)
	}
	defer fakes.Close()
	relays, err := berylfleet.StartRelays(plan)
	if err != nil {
		return fail(err)
	}
	defer relays.Close()
	fakes.Platform.SetVMs(relays.AdvertisedVMs())
	server, err := berylstand.Listen(fmt.Sprintf("127.%d.0.1:7001", plan.LoopbackNetwork), faultHandler(relays))
	if err != nil {
		return fail(err)
	}
	defer server.Close()
	waitForSignal()
	return subcommands.ExitSuccess
}

func faultHandler(relays *berylfleet.Relays) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { relays.PartitionRegions() })
	mux.HandleFunc("POST /mend", func(http.ResponseWriter, *http.Request) { relays.Heal() })
	return mux
}
