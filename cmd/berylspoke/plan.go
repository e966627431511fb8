package main

// This file defines the command that writes the files of a deployment on loopback.

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"berylspoke/core/berylshare"
	"berylspoke/io/berylfleet"
	"berylspoke/io/berylload"
)

type planCommand struct {
	deployment, folder, policy string
	loopbackNetwork, scale     int
}

func (*planCommand) Name() string     { return "plan" }
func (*planCommand) Synopsis() string { return "write the files of a deployment on loopback" }
func (*planCommand) Usage() string {
	return `plan -deployment kitamine|parish -base N -folder DIR

Writes into DIR the settings of each daemon (VM.json), the first patch
(patch.json) and the description for "load" (fleet.json) of a deployment on the
addresses 127.N.x.y. "stand -kind deployment" runs its fakes.

`
}

func (command *planCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.deployment, "deployment", "kitamine", "deployment to write, kitamine or parish")
	flags.StringVar(&command.folder, "folder", "", "`folder` to write to")
	flags.StringVar(&command.policy, "policy", string(berylshare.FleetFair), "fleetFair, or a baseline: localFair, firstCome")
	flags.IntVar(&command.scale, "scale", 1, "factor for the numbers of VMs and targets of the deployment")
	flags.IntVar(&command.loopbackNetwork, "base", 30, "second byte of the loopback addresses")
}

func (command *planCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := command.run(); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (command *planCommand) run() error {
	plan, known := berylfleet.Plans()[command.deployment]
	if !known {
		return fmt.Errorf("deployment %q is neither kitamine nor parish", command.deployment)
	}
	plan = plan.Scaled(command.scale)
	plan.LoopbackNetwork = command.loopbackNetwork
	if err := os.MkdirAll(command.folder, 0o755); err != nil {
		return errors.Wrap(err, "cannot create the folder")
	}
	for _, vm := range plan.VMs() {
		settings := plan.Settings(vm)
		settings.Policy = berylshare.Policy(command.policy)
		if err := command.write(string(vm.ID)+".json", settings); err != nil {
			return err
		}
	}
	if err := command.write("patch.json", plan.Patch()); err != nil {
		return err
	}
	return command.write("fleet.json", berylload.FromPlan(plan))
}

func (command *planCommand) write(name string, value any) error {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, name)
	}
	return os.WriteFile(filepath.Join(command.folder, name), append(body, '\n'), 0o600)
}
