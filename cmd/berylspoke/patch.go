package main

// This file defines the command that creates a patch from declarations.

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylplatform"
)

type patchCommand struct{ declarations, platform, note, out string }

func (*patchCommand) Name() string     { return "patch" }
func (*patchCommand) Synopsis() string { return "create a patch from declarations in version control" }
func (*patchCommand) Usage() string {
	return `patch -declarations FILE -platform IP:PORT [-note TEXT] [-out FILE]

Reads and folds the published patches of the platform and creates the patch that
leads from the version in force to FILE. Prints the differences and the resulting
version; nothing is published. With -out the patch is written to a file, which
the operator publishes on the platform.

`
}

func (command *patchCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.declarations, "declarations", "", "declarations `file`, JSON with comments")
	flags.StringVar(&command.platform, "platform", "", "`address` of the platform's configuration service")
	flags.StringVar(&command.note, "note", "", "reason for the change")
	flags.StringVar(&command.out, "out", "", "`file` for the patch")
}

func (command *patchCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := command.run(ctx); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (command *patchCommand) run(ctx context.Context) error {
	desired, faults := readDeclarations(command.declarations)
	if len(faults) > 0 {
		return errors.Errorf("%s: %s (%d faults; see check)", command.declarations, faults[0], len(faults))
	}
	state, err := readState(ctx, command.platform)
	if err != nil {
		return err
	}
	patch, changes := berylconfig.Diff(state, desired, command.note)
	if len(changes) == 0 {
		fmt.Printf("version %d is in force already\n", state.Version)
		return nil
	}
	body, err := json.Marshal(patch)
	if err != nil {
		return errors.Wrap(err, "cannot encode the patch")
	}
	_, outcome := state.Fold(berylspoke.Published{Number: state.Number + 1, Body: body})
	if !outcome.Accepted {
		return errors.Errorf("patch would be rejected: %s", outcome.Problem)
	}
	for _, change := range changes {
		fmt.Println(change)
	}
	fmt.Printf("%d changes, %d bytes, against version %d; version %d results\n", len(changes), len(body), state.Version, outcome.Version)
	if command.out == "" {
		return nil
	}
	return errors.Wrap(os.WriteFile(command.out, body, 0o644), "cannot write the patch")
}

// readTimeout bounds each read of the platform's history. The last read always takes
// this long, because the platform holds it open for further patches.
const readTimeout = 3 * time.Second

// readState returns the state after all patches that the platform has published.
func readState(ctx context.Context, address string) (*berylconfig.State, error) {
	client := berylplatform.NewClient(address)
	store := berylconfig.NewStore()
	for first := true; ; first = false {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		entries, err := client.Patches(readCtx, store.State().Number)
		cancel()
		if err != nil && (first && !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil) {
			return nil, err
		}
		if len(entries) == 0 {
			return store.State(), nil
		}
		store.Add(entries)
	}
}
