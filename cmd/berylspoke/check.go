package main

// This file defines the command that checks settings and declarations.

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"berylspoke/core/berylconfig"
	"berylspoke/io/berylsettings"
	berylbinding "berylspoke/platform"
)

type checkCommand struct{ settings, declarations, platform string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check settings and declarations" }
func (*checkCommand) Usage() string {
	return `check [-settings FILE] [-declarations FILE] [-platform FILE]

Lists every fault with its line or its path. Exits 0 if there are none, 1 otherwise.

`
}

func (command *checkCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.settings, "settings", "", "settings `file` of a daemon")
	flags.StringVar(&command.platform, "platform", "", "settings `file` made by the users' platform")
	flags.StringVar(&command.declarations, "declarations", "", "declarations `file`, JSON with comments")
}

func (command *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if command.settings == "" && command.declarations == "" && command.platform == "" {
		return fail(errors.New("check needs -settings, -declarations or -platform"))
	}
	faults := 0
	report := func(file, fault string) {
		faults++
		fmt.Printf("%s: %s\n", file, fault)
	}
	if command.settings != "" {
		checkSettings(command.settings, report)
	}
	if command.declarations != "" {
		if _, found := readDeclarations(command.declarations); len(found) > 0 {
			for _, fault := range found {
				report(command.declarations, fault)
			}
		}
	}
	if command.platform != "" {
		if _, err := berylbinding.LoadSettings(command.platform); err != nil {
			report(command.platform, err.Error())
		}
	}
	if faults > 0 {
		return subcommands.ExitFailure
	}
	fmt.Println("no faults")
	return subcommands.ExitSuccess
}

func checkSettings(file string, report func(file, fault string)) {
	body, err := os.ReadFile(file)
	if err != nil {
		report(file, err.Error())
		return
	}
	settings := berylsettings.Defaults()
	if err := berylsettings.Decode(body, &settings); err != nil {
		report(file, err.Error())
		return
	}
	for _, fault := range settings.Validate() {
		report(file, fault)
	}
}

// readDeclarations reads a declarations file and returns its faults.
func readDeclarations(file string) (*berylconfig.Declarations, []string) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, []string{err.Error()}
	}
	declarations := new(berylconfig.Declarations)
	if err := berylsettings.Decode(body, declarations); err != nil {
		return nil, []string{err.Error()}
	}
	var faults []string
	for _, fault := range declarations.Validate() {
		faults = append(faults, fault.String())
	}
	return declarations, faults
}
