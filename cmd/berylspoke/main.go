// Command berylspoke runs, checks and drives a fleet of routers whose callers'
// organisations share capacity fairly.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	flag.CommandLine.Init("berylspoke", flag.ExitOnError)
	commander := subcommands.DefaultCommander
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	for _, command := range []subcommands.Command{
		new(callCommand), new(checkCommand), new(demoCommand), new(dumpCommand),
		new(loadCommand), new(patchCommand), new(planCommand), new(serveCommand), new(standCommand),
	} {
		commander.Register(command, "")
	}
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
