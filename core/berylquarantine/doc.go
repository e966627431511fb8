// Package berylquarantine decides which requests are no longer sent to targets because
// targets crashed while they ran them.
//
// A request that crashes its target is repeated by its caller under a new id, through any
// daemon, and each repeat would crash more targets. Requests are therefore told apart by a
// digest of what they ask for. Daemons tell each other which targets crashed under a digest;
// once CrashThreshold of them have, every daemon refuses it. Requests that only ran beside
// such a one are soon served elsewhere, and a served request clears its digest.
package berylquarantine
