// Package beryladmission decides which requests a daemon admits while the processor
// of its VM is overloaded, and which it rejects.
//
// The model: a request needs processor time before it can be sent on, and a limited
// number may be at that stage at once. The others wait in a queue here instead of in
// the scheduler's run queue. Once slots are free and the processor has done what it
// has to do for those admitted before, the next come from the organisation that was
// served least, by start-time fair queueing over tokens. So the processor is never
// idle while a request waits, an organisation that asks for less than its share is
// served whole, and those that ask for more share the rest evenly.
//
// The wait is bounded. A request that cannot expect to be admitted within the bound
// is rejected at once, the newest of the organisation that is furthest ahead first;
// one that is still waiting at the bound is rejected then. Both follow from the rate
// of admission at the time, so nothing is rejected once the processor is free.
package beryladmission
