package main

// This file defines the command that runs one stand-in as a process.

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

	"berylspoke/io/berylstand"
)

type standCommand struct {
	kind, address string
	slots         int
}

func (*standCommand) Name() string     { return "stand" }
func (*standCommand) Synopsis() string { return "run a stand-in of the platform, an engine or a desk" }
func (*standCommand) Usage() string {
	return `stand -kind platform|engine|desk -address IP:PORT

Runs one stand-in for tests and trials until it is signalled.

`
}

func (command *standCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.kind, "kind", "", "platform, engine or desk")
	flags.StringVar(&command.address, "address", "127.0.0.1:7000", "`address` to listen on")
	flags.IntVar(&command.slots, "slots", berylstand.DefaultEngineOptions().Slots, "batch size of an engine")
}

func (command *standCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
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
		handler = berylstand.NewDesk(20 * time.Millisecond).Handler()
	default:
		return fail(fmt.Errorf("kind %q is none of platform, engine, desk", command.kind))
	}
	server, err := berylstand.Listen(command.address, handler)
	if err != nil {
		return fail(err)
	}
	defer server.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return subcommands.ExitSuccess
}
