// Command stand runs the scripted cases of the review: it starts the daemons as separate
// processes, plays their callers, targets and store on loopback, and judges one rule.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main
