// Package berylsoak runs the real program as separate processes on one machine,
// harms them from outside, and checks what callers and targets see.
//
// The model: a World holds a store, targets and one process for each VM, each
// with a loopback address of its own. Relays stand between callers and daemons,
// daemons and store, daemons and targets; they delay, reset, cut one way or
// silence what passes. A plan drawn from a seed says which faults come when:
// they come in series and overlap. Callers send on throughout and keep their
// connections until the process is gone. The Judge notes each run at a target
// and each answer at a caller as they come, and holds them against the promises;
// after the last fault the fleet must serve again.
//
// The same seed gives the same plan and the same requests. The machine decides
// what happens between, so a promise is checked in a form that holds whatever
// the machine's speed is: bounds of time are only checked where a wide margin
// was added to them.
package berylsoak
