// Package beryladmission decides which requests a daemon admits while the processor
// of its VM is overloaded, and which it rejects.
//
// A request needs processor time before it can be forwarded, and a limited number of
// slots bounds the requests at that stage. The others wait in a queue here instead of
// in the scheduler's run queue. Once slots are free and the processor has finished the
// work of those admitted earlier, the next request comes from the organisation that
// received the least service, by start-time fair queueing over tokens. So the processor
// is never idle while a request waits, an organisation whose demand is below its share
// is served in full, and the others share the rest evenly.
//
// The wait is bounded. A request that cannot expect to be admitted within the bound is
// rejected immediately, starting with the newest of the organisation that is furthest
// ahead; one that still waits at the bound is rejected then. Both depend on the current
// rate of admission, so nothing is rejected once the processor is free.
package beryladmission
