package main

// This file defines the command that calls the fleet as a caller does.

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

// keyVariable names the environment variable with the organisation's key.
const keyVariable = "BERYLSPOKE_KEY"

type callCommand struct {
	seeds, service, path, settle string
	read                         bool
	most                         int64
}

func (*callCommand) Name() string     { return "call" }
func (*callCommand) Synopsis() string { return "send a draft, a call or a question as a caller" }
func (*callCommand) Usage() string {
	return `call -seeds IP:PORT[,...] -service NAME [PROMPT]
call -seeds IP:PORT[,...] -service NAME -path /PATH [-read] [BODY]
call -seeds IP:PORT[,...] -settle ID

Resolves an address and streams the draft for PROMPT, or sends BODY to PATH of a
plain service at most once, or reads PATH, or asks what became of an ID. PROMPT
and BODY come from standard input if not given. The organisation's key is taken
from BERYLSPOKE_KEY. Exits 0 if the request ran, 1 if not.

`
}

func (command *callCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.seeds, "seeds", "", "callers' `addresses` of any daemons")
	flags.StringVar(&command.service, "service", "", "`name` of the service")
	flags.StringVar(&command.path, "path", "", "`path` at a plain service")
	flags.StringVar(&command.settle, "settle", "", "`id` of an earlier call")
	flags.BoolVar(&command.read, "read", false, "read the path")
	flags.Int64Var(&command.most, "most", 0, "most tokens of a draft, 0 for no bound")
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
		err = show(client.Settle(ctx, command.settle, seeds[0]))
	case command.path == "":
		err = command.draft(ctx, client, content(flags))
	case command.read:
		err = show(client.Read(ctx, berylspoke.ServiceID(command.service), command.path))
	default:
		err = command.file(ctx, client, content(flags))
	}
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// content returns the argument or standard input.
func content(flags *flag.FlagSet) string {
	if flags.NArg() > 0 {
		return strings.Join(flags.Args(), " ")
	}
	body, _ := io.ReadAll(os.Stdin)
	return string(body)
}

func (command *callCommand) draft(ctx context.Context, client *berylcall.Client, prompt string) error {
	_, err := client.Stream(ctx, berylcall.Draft{
		Service: berylspoke.ServiceID(command.service), Prompt: prompt, MaxTokens: berylspoke.Tokens(command.most),
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
	return show(client.File(ctx, berylspoke.ServiceID(command.service), command.path, id, owner, "text/plain", []byte(body)))
}

func show(outcome berylcall.Outcome) error {
	if outcome.Err != nil {
		return outcome.Err
	}
	fmt.Fprintln(os.Stderr, outcome.Verdict)
	_, err := os.Stdout.Write(outcome.Body)
	return err
}
