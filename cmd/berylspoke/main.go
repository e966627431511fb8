package main

// This file defines the entry point and the check of flags.

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"berylspoke/io/berylsettings"
	"berylspoke/io/berylsignal"
)

func main() {
	flag.CommandLine.Init("berylspoke", flag.ExitOnError)
	commander := subcommands.DefaultCommander
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commands := []subcommands.Command{
		new(callCommand), new(checkCommand), new(demoCommand), new(dumpCommand), new(edgeCommand),
		new(loadCommand), new(patchCommand), new(planCommand), new(serveCommand), new(standCommand),
	}
	for _, command := range commands {
		commander.Register(command, "")
	}
	flag.Parse()
	if flag.Arg(0) != new(edgeCommand).Name() {
		berylsignal.Restore()
	}
	if err := checkFlags(commands, flag.Args()); err != nil {
		os.Exit(int(fail(err)))
	}
	os.Exit(int(commander.Execute(context.Background())))
}

// checkFlags rejects an unknown flag of a command and suggests the nearest known one.
func checkFlags(commands []subcommands.Command, arguments []string) error {
	for _, command := range commands {
		if len(arguments) == 0 || command.Name() != arguments[0] {
			continue
		}
		flags := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
		command.SetFlags(flags)
		names := []string{"help", "h"}
		flags.VisitAll(func(known *flag.Flag) { names = append(names, known.Name) })
		for _, argument := range arguments[1:] {
			if err := checkFlag(argument, names); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkFlag(argument string, names []string) error {
	name, _, _ := strings.Cut(strings.TrimLeft(argument, "-"), "=")
	_, err := strconv.ParseFloat(argument, 64)
	if !strings.HasPrefix(argument, "-") || name == "" || err == nil {
		return nil
	}
	for _, known := range names {
		if known == name {
			return nil
		}
	}
	if nearest := berylsettings.Nearest(name, names); nearest != "" {
		return fmt.Errorf("unknown flag -%s, did you mean -%s?", name, nearest)
	}
	return fmt.Errorf("unknown flag -%s", name)
}
