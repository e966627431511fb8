package main

// This file defines the command that prints the state of a daemon.

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"berylspoke/io/berylresponse"
)

// tokenVariable is the environment variable with the operators' token. A flag would
// show the token in the list of processes.
const tokenVariable = "BERYLSPOKE_TOKEN"

type dumpCommand struct{}

func (*dumpCommand) Name() string     { return "dump" }
func (*dumpCommand) Synopsis() string { return "print the state of a daemon as JSON" }
func (*dumpCommand) Usage() string {
	return `dump IP:PORT

Prints the state of the daemon with the given operators' address. The operators'
token is taken from BERYLSPOKE_TOKEN.

`
}

func (*dumpCommand) SetFlags(*flag.FlagSet) {}

func (command *dumpCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return fail(errors.New("dump needs exactly one address"))
	}
	if err := command.run(ctx, flags.Arg(0)); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (*dumpCommand) run(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return errors.Wrap(err, "cannot create the request to the daemon")
	}
	request.Header.Set("Authorization", "Bearer "+os.Getenv(tokenVariable))
	client := http.Client{Transport: berylresponse.DefaultTransport}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "request to the daemon failed")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("daemon answered %s", response.Status)
	}
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}
