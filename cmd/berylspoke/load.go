package main

// This file defines the command that generates load on a running fleet and measures it.

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"berylspoke/io/berylload"
	"berylspoke/io/berylsettings"
)

type loadCommand struct {
	fleet, json, scenario string
	options               berylload.Options
	quiet                 bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "generate load on a running fleet and measure it" }
func (*loadCommand) Usage() string {
	return `load -fleet FILE [-scenario backlog|flood|steady] [-seed N] [-json FILE]

Generates load on a running fleet and reports the fairness gap, utilisation,
control bytes and latency. FILE lists entry daemons, organisations with keys, and
engines; "plan" writes one for a fleet on loopback. The same seed sends the same
requests.

`
}

func (command *loadCommand) SetFlags(flags *flag.FlagSet) {
	command.options = berylload.DefaultOptions()
	flags.StringVar(&command.fleet, "fleet", "", "`file` that describes the fleet")
	flags.StringVar(&command.json, "json", "", "`file` for the report as JSON")
	flags.StringVar(&command.scenario, "scenario", string(command.options.Scenario), "backlog (closed loop), flood or steady (open loop)")
	flags.DurationVar(&command.options.Warmup, "warmup", command.options.Warmup, "duration of the load before the measurement")
	flags.DurationVar(&command.options.Measure, "measure", command.options.Measure, "duration of the measurement")
	flags.Uint64Var(&command.options.Seed, "seed", command.options.Seed, "random seed")
	flags.Float64Var(&command.options.RequestsPerSecond, "rate", command.options.RequestsPerSecond, "drafts per second in an open loop")
	flags.IntVar(&command.options.Outstanding, "outstanding", command.options.Outstanding, "outstanding drafts of an organisation at each of its entry daemons in a closed loop")
	flags.IntVar(&command.options.MinTokens, "least", command.options.MinTokens, "minimum length of a draft in tokens")
	flags.IntVar(&command.options.MaxTokens, "most", command.options.MaxTokens, "maximum length of a draft in tokens")
	flags.BoolVar(&command.quiet, "quiet", false, "print no progress")
}

func (command *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	command.options.Scenario = berylload.Scenario(command.scenario)
	switch command.options.Scenario {
	case berylload.Backlog, berylload.Flood, berylload.Steady:
	default:
		return fail(fmt.Errorf("scenario %q is none of backlog, flood, steady", command.scenario))
	}
	body, err := os.ReadFile(command.fleet)
	if err != nil {
		return fail(err)
	}
	var fleet berylload.Fleet
	if err := berylsettings.Decode(body, &fleet); err != nil {
		return fail(err)
	}
	started := time.Now()
	if !command.quiet {
		command.options.Progress = func(text string) {
			fmt.Fprintf(os.Stderr, "%6.1f s  %s\n", time.Since(started).Seconds(), text)
		}
	}
	report, err := berylload.Run(ctx, fleet, command.options)
	if err != nil {
		return fail(err)
	}
	fmt.Print(report.Table())
	if command.json == "" {
		return subcommands.ExitSuccess
	}
	if body, err = json.MarshalIndent(report, "", "  "); err != nil {
		return fail(err)
	}
	if err := os.WriteFile(command.json, append(body, '\n'), 0o644); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
