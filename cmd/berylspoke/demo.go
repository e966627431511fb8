package main

// This file defines the command that demonstrates a small fleet with embedded fakes.

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylcall"
	"berylspoke/io/berylfleet"
)

// demoTimeout bounds the demo; with -stay the fleet keeps running after it.
const demoTimeout = 28 * time.Second

type demoCommand struct {
	deployment string
	stay       bool
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "demonstrate a small fleet with embedded fakes" }
func (*demoCommand) Usage() string {
	return `demo [-deployment kitamine|parish] [-stay]

Starts a small fleet with fake targets in this process, streams a draft, sends a
filing twice that runs once, applies a patch at all daemons and stops. With -stay
the fleet keeps running and example curl commands are printed.

`
}

func (command *demoCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.deployment, "deployment", "kitamine", "deployment to run, kitamine or parish")
	flags.BoolVar(&command.stay, "stay", false, "keep the fleet running until interrupted")
}

func (command *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	plan, known := berylfleet.Plans()[command.deployment]
	if !known {
		return fail(fmt.Errorf("deployment %q is neither kitamine nor parish", command.deployment))
	}
	if err := command.run(ctx, plan); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (command *demoCommand) run(ctx context.Context, plan berylfleet.Plan) error {
	network, err := berylfleet.FindLoopbackNetwork(20)
	if err != nil {
		return err
	}
	plan.LoopbackNetwork = network
	started := time.Now()
	fleet, err := berylfleet.StartEmbedded(plan, zap.NewNop(), nil)
	if err != nil {
		return err
	}
	defer fleet.Close()
	demoCtx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := fleet.WaitReady(demoCtx, 1); err != nil {
		return err
	}
	fmt.Printf("%d daemons, %d engines and %d desks are up after %s\n\n", len(fleet.Daemons),
		len(fleet.Engines), len(fleet.PlainTargets), time.Since(started).Round(time.Millisecond))
	for _, step := range []func(context.Context, *berylfleet.Embedded) error{showDraft, showFiling, showPatch} {
		if err := step(demoCtx, fleet); err != nil {
			return err
		}
	}
	if command.stay {
		stay(ctx, fleet)
	}
	return nil
}

func demoClient(fleet *berylfleet.Embedded, organisation berylspoke.OrganisationID) *berylcall.Client {
	var seeds []string
	for _, vm := range fleet.Plan.VMs() {
		seeds = append(seeds, vm.CallAddress)
	}
	return berylcall.New(berylcall.Options{Seeds: seeds, Key: fleet.Plan.Key(organisation)})
}

func showDraft(ctx context.Context, fleet *berylfleet.Embedded) error {
	fmt.Println("A draft, streamed as it is generated:")
	started := time.Now()
	var first time.Duration
	tokens, err := demoClient(fleet, "small-1").Stream(ctx, berylcall.GenerationRequest{
		Service: fleet.Plan.ModelService, Prompt: "A letter about unpaid overtime. [tokens=40]",
	}, func(text string, _ berylspoke.Tokens) {
		if first == 0 {
			first = time.Since(started)
		}
		fmt.Print(text)
	})
	if err != nil {
		return errors.Wrap(err, "draft failed")
	}
	fmt.Printf("\n%d tokens, the first after %s, all after %s\n\n", tokens,
		first.Round(time.Millisecond), time.Since(started).Round(time.Millisecond))
	return nil
}

func showFiling(ctx context.Context, fleet *berylfleet.Embedded) error {
	client := demoClient(fleet, "small-2")
	id, owner, err := client.NewID(ctx)
	if err != nil {
		return errors.Wrap(err, "cannot obtain an id for the filing")
	}
	fmt.Println("A filing, sent twice under one id:")
	path := "/letters"
	if fleet.Plan.Name == "parish" {
		path = "/bookings"
	}
	for range 2 {
		outcome := client.CallOnce(ctx, fleet.Plan.PlainService, path, id, owner, "text/plain", []byte("a letter"))
		if outcome.Err != nil {
			return errors.Wrap(outcome.Err, "filing failed")
		}
		fmt.Printf("  %s: %s", outcome.Verdict, outcome.Body)
	}
	maxRuns, requests := fleet.ExecutionCounts()
	fmt.Printf("the desks executed %d request, %d time\n\n", requests, maxRuns)
	if maxRuns != 1 || requests != 1 {
		return fmt.Errorf("the filing ran %d times", maxRuns)
	}
	return nil
}

func showPatch(ctx context.Context, fleet *berylfleet.Embedded) error {
	body, err := json.Marshal(&berylconfig.Patch{
		Base: 1, Note: "demo",
		Organisations: map[berylspoke.OrganisationID]*berylconfig.Organisation{"newcomer": {Weight: 2}},
	})
	if err != nil {
		return err
	}
	published := time.Now()
	fleet.Platform.Publish(body)
	if err := fleet.WaitReady(ctx, 2); err != nil {
		return errors.Wrap(err, "patch did not take effect at every daemon")
	}
	fmt.Printf("A patch against version 1 made version 2, in force at all %d daemons after %s\n",
		len(fleet.Daemons), time.Since(published).Round(time.Millisecond))
	return nil
}

func stay(ctx context.Context, fleet *berylfleet.Embedded) {
	vm := fleet.Plan.VMs()[0]
	key := fleet.Plan.Key("small-1")
	fmt.Printf(`
The fleet keeps running; interrupt to stop. Examples:

  curl -s -H 'Authorization: Bearer %[1]s' http://%[2]s/v1/resolve
  curl -sN -H 'Authorization: Bearer %[1]s' -d '{"prompt":"A short letter. [tokens=30]"}' http://%[2]s/v1/services/%[3]s/drafts
  curl -s -H 'Authorization: Bearer %[4]s' http://%[5]s/state
`, key, vm.CallAddress, fleet.Plan.ModelService, berylfleet.OperatorToken, fleet.Plan.Settings(vm).OperatorAddress)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-ctx.Done():
	}
}
