package main

// This file defines the command line and the exit codes.

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
	// maxRun bounds a case, including the start of the daemons.
	maxRun = 110 * time.Second
)

// cases maps the name of a case to the function that plays it and reports whether the rule held.
var cases = map[string]func(*fleet, *record, bool) (bool, error){
	"strayRejections": playStrayRejections,
	"lateCalls":       playLateCalls,
	"hiddenRestart":   playHiddenRestart,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitInvalid
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer log.close()
	fleet, err := newFleet()
	if err != nil {
		log.print("cannot run: %v", err)
		return exitInvalid
	}
	defer fleet.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan int, 1)
	go func() { ended <- play(fleet, log) }()
	select {
	case code := <-ended:
		return code
	case <-stop:
		log.print("cannot run: interrupted")
	case <-time.After(maxRun):
		log.print("cannot run: the case takes too long")
	}
	return exitInvalid
}

func play(fleet *fleet, log *record) int {
	trouble := os.Getenv("TROUBLE") != "0"
	log.print("case %s, disruption %v", os.Args[1], trouble)
	held, err := cases[os.Args[1]](fleet, log, trouble)
	switch {
	case err != nil:
		log.print("cannot run: %v", err)
		return exitInvalid
	case held:
		log.print("result: the rule held")
		return exitHeld
	}
	log.print("result: the rule was broken")
	return exitBroken
}
