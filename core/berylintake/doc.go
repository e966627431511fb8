// Package berylintake decides which requests a daemon takes in while the processor
// of its VM is short, and which it refuses.
//
// The model: a request costs processor time before it can be sent on, and only so
// many may be at that stage at once. Beyond them requests wait here instead of in
// the scheduler's run queue. Once slots are free and the processor has done what it
// has to do for those taken in before, the next come from the organisation that was
// served least, by start-time fair queueing over tokens.
// So the processor is never idle while a request waits, an organisation that asks
// for less than its share is served whole, and those that ask for more share the
// rest evenly.
//
// The wait is bounded. Who cannot expect to be taken within the bound is refused
// at once, the newest of the organisation that is furthest ahead first; who is
// still there at the bound is refused then. Both follow from the rate at which
// requests are taken now, so nothing is refused once the processor is free.
package berylintake
