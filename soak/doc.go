// Package berylsoak runs the real program as separate processes on one machine,
// injects faults from outside, and checks what callers and targets observe.
//
// A World holds a store, targets and one process for each VM, each with its own
// loopback address. Relays between callers and daemons, daemons and the store, and
// daemons and targets delay, reset, black-hole or drop one direction of the
// traffic. A plan derived from a seed gives the times of the faults, which repeat
// and overlap. Callers send requests throughout and keep their connections until
// the process exits. The Judge records each run at a target and each answer at a
// caller and checks them against the guarantees of the fleet, which must serve
// again after the last fault.
//
// A file may describe the world and its load instead: services, routes, how long and large requests
// are, and callers, which then keep their connections themselves and tell how each attempt ended.
//
// The same seed gives the same plan and the same requests, but scheduling differs
// from run to run. Guarantees are therefore checked in a form that does not depend
// on the speed of the machine; time bounds are checked only with a wide margin.
package berylsoak
