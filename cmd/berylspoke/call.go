package main

// This file defines the command that sends requests to the fleet.

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/io/berylcall"
)

// keyVariable is the environment variable with the organisation's key.
const keyVariable = "BERYLSPOKE_KEY"

type callCommand struct {
	seeds, service, path, settle string
	read                         bool
	maxTokens                    int64
}

func (*callCommand) Name() string     { return "call" }
func (*callCommand) Synopsis() string { return "send a request or settle an earlier one" }
func (*callCommand) Usage() string {
	return `call -seeds IP:PORT[,...] -service NAME [PROMPT]
call -seeds IP:PORT[,...] -service NAME -path /PATH [-read] [BODY]
call -seeds IP:PORT[,...] -settle ID

Resolves an address and streams the draft for PROMPT, or sends BODY to PATH of a
plain service at most once, or reads PATH, or settles the call with an ID and
prints its outcome. PROMPT and BODY are read from standard input if not given. The
organisation's key is taken from BERYLSPOKE_KEY. Exits 0 if the request ran, 1 if
not.

`
}

func (command *callCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.seeds, "seeds", "", "comma-separated callers' `addresses` of one or more daemons")
	flags.StringVar(&command.service, "service", "", "`name` of the service")
	flags.StringVar(&command.path, "path", "", "`path` of a plain service")
	flags.StringVar(&command.settle, "settle", "", "`id` of an earlier call to settle")
	flags.BoolVar(&command.read, "read", false, "read the path with an idempotent request")
	flags.Int64Var(&command.maxTokens, "most", 0, "maximum number of tokens of a draft, 0 for no limit")
}

func (command *callCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if command.seeds == "" || command.service == "" && command.settle == "" {
		return fail(errors.New("call needs -seeds and -service"))
	}
	seeds := strings.Split(command.seeds, ",")
	client := berylcall.New(berylcall.Options{Seeds: seeds, Key: os.Getenv(keyVariable)})
	var err error
	switch {
	case command.settle != "":
		err = printOutcome(client.Settle(ctx, command.settle, seeds[0]))
	case command.path == "":
		err = command.draft(ctx, client, inputText(flags))
	case command.read:
		err = printOutcome(client.Get(ctx, berylspoke.ServiceID(command.service), command.path))
	default:
		err = command.file(ctx, client, inputText(flags))
	}
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// inputText returns the joined arguments, or standard input if there are none.
func inputText(flags *flag.FlagSet) string {
	if flags.NArg() > 0 {
		return strings.Join(flags.Args(), " ")
	}
	body, _ := io.ReadAll(os.Stdin)
	return string(body)
}

func (command *callCommand) draft(ctx context.Context, client *berylcall.Client, prompt string) error {
	_, err := client.Stream(ctx, berylcall.GenerationRequest{
		Service: berylspoke.ServiceID(command.service), Prompt: prompt, MaxTokens: berylspoke.Tokens(command.maxTokens),
	}, func(text string, _ berylspoke.Tokens) { fmt.Print(text) })
	fmt.Println()
	return err
}

func (command *callCommand) file(ctx context.Context, client *berylcall.Client, body string) error {
	id, owner, err := client.NewID(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "id", id)
	return printOutcome(client.CallOnce(ctx, berylspoke.ServiceID(command.service), command.path, id, owner, "text/plain", []byte(body)))
}

func printOutcome(outcome berylcall.Outcome) error {
	if outcome.Err != nil {
		return outcome.Err
	}
	fmt.Fprintln(os.Stderr, outcome.Verdict)
	_, err := os.Stdout.Write(outcome.Body)
	return err
}
