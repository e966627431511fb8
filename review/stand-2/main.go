package main

// This file defines the command line.

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case with or without its disruption and returns how the rule was broken, empty if it held.
type play func(world *world, trouble bool) (broken string, err error)

var cases = map[string]play{"stop": playStop, "storm": playStorm, "sound": playSound, "takeup": playTakeUp, "unframed": playUnframed, "versions": playVersions}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *record))
}

func run(name, record string) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	world, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer world.close()
	broken, err := play(world, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		world.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		world.note("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		return exitBroken
	}
	world.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
