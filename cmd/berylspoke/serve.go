package main

// This file defines the command that runs a daemon.

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"berylspoke/io/berylserve"
	"berylspoke/io/berylsettings"
)

// gcPercent is the heap growth in percent after which the garbage collector runs.
// Entry VMs are small, and declarations of many organisations leave much garbage at
// each change; with the default of 100 the resident memory doubles.
const gcPercent = 35

// drainTimeout bounds the drain after the first signal.
const drainTimeout = 10 * time.Minute

type serveCommand struct{ settings string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run a daemon" }
func (*serveCommand) Usage() string {
	return `serve -settings FILE

Runs one daemon until SIGTERM or SIGINT. The first signal drains it: it is no
longer listed in resolve answers, rejects new requests after a short notice and
stops once the last request has ended. A second signal stops it at once.

`
}

func (command *serveCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.settings, "settings", "", "settings `file` (JSON with comments; docs/SETTINGS.md)")
}

func (command *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	debug.SetGCPercent(gcPercent)
	settings, err := berylsettings.Load(command.settings)
	if err != nil {
		return fail(err)
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes())))
	log, err := newLog(settings.LogLevel)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = log.Sync() }()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	daemon, err := berylserve.Start(settings, log)
	if err != nil {
		return fail(err)
	}
	<-signals
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	daemon.Stop(ctx)
	return subcommands.ExitSuccess
}

func newLog(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logLevel: %w", err)
	}
	config.Level = parsed
	config.Sampling = nil
	return config.Build()
}

// fail prints an error and returns the exit status of a failure.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "berylspoke:", err)
	return subcommands.ExitFailure
}
