// Command berylspoke runs, checks and drives a fleet of routers whose callers'
// organisations share capacity fairly.
//
// The commands serve and edge run a daemon, check and patch prepare its
// configuration, call sends requests, dump prints the state of a daemon, and demo,
// load, plan and stand try out and measure a fleet with fakes. "berylspoke help"
// lists them.
package main
