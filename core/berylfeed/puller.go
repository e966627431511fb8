package berylfeed

// This file defines when changes are pulled from peers, and from which.

import (
	"math/bits"
	"time"

	"berylspoke"
)

const (
	// gateways is the number of daemons of a region that pull from other regions at once.
	// There are two, so that a fault at one of them delays nothing.
	gateways = 2
	// gatewayStep is how long a daemon that is no gateway waits for a peer of its own
	// region. Each further step doubles the number of daemons that pull from other regions.
	gatewayStep = 400 * time.Millisecond
	// minPullTimeout is how long the first pull of a change may take before another peer
	// is asked; it doubles with each further pull, up to maxPullTimeout. A link that is
	// slow because it is full must not get more copies of what it already carries.
	minPullTimeout = 500 * time.Millisecond
	maxPullTimeout = 4 * time.Second
	// storeStep replaces gatewayStep for reads of the store, which take longer than pulls.
	storeStep = time.Second
	// smallReplicaBytes is the size up to which all daemons may read the store at once.
	smallReplicaBytes = 64 << 10
	// offerMaxAge is how long a peer counts as a source after its last report.
	offerMaxAge = 2 * time.Second
)

// offer is a peer that has changes which this daemon lacks.
type offer struct {
	position berylspoke.Position
	// remote is set for a peer in another region.
	remote     bool
	reportedAt time.Time
	// pulls counts the unanswered pulls from this peer.
	pulls int
}

// Puller decides when to pull the changes of one feed, and from which peer. At most one
// pull is waiting for its answer, and few copies of a change cross the link to a region:
// its gateways pull them, and the other daemons of the region pull from each other.
type Puller struct {
	offers map[berylspoke.VMID]*offer
	// behindSince is when the first offer of the missing changes arrived.
	behindSince time.Time
	// pulledAt is when the unanswered pull was sent, zero if there is none.
	pulledAt time.Time
	// pulls counts the pulls since the feed last advanced.
	pulls int
}

// Offer records that a peer has changes up to a position which this daemon lacks.
func (puller *Puller) Offer(now time.Time, from berylspoke.VMID, remote bool, position berylspoke.Position) {
	if puller.offers == nil {
		puller.offers = make(map[berylspoke.VMID]*offer)
	}
	if len(puller.offers) == 0 {
		puller.behindSince = now
	}
	found := puller.offers[from]
	if found == nil {
		found = new(offer)
		puller.offers[from] = found
	}
	found.position, found.remote, found.reportedAt = position, remote, now
}

// Advance records that the feed is complete up to a position.
func (puller *Puller) Advance(now time.Time, asOf berylspoke.Position) {
	for vm, offer := range puller.offers {
		if !offer.position.After(asOf) {
			delete(puller.offers, vm)
			continue
		}
		offer.pulls = 0
	}
	puller.behindSince, puller.pulledAt, puller.pulls = now, time.Time{}, 0
}

// Next returns the peer to pull from now, if there is one. The rank is that of this daemon
// among those of its region, the first of which are its gateways; the delay is how long to
// wait for the changes before the first pull.
func (puller *Puller) Next(now time.Time, rank int, delay time.Duration) (berylspoke.VMID, bool) {
	if len(puller.offers) == 0 || now.Sub(puller.behindSince) < delay || !puller.pulledAt.IsZero() && now.Sub(puller.pulledAt) < puller.timeout() {
		return "", false
	}
	remote := now.Sub(puller.behindSince) >= delay+remoteDelay(rank)
	best := berylspoke.VMID("")
	for vm, offer := range puller.offers {
		if now.Sub(offer.reportedAt) > offerMaxAge {
			delete(puller.offers, vm)
			continue
		}
		if (remote || !offer.remote) && (best == "" || puller.better(vm, best)) {
			best = vm
		}
	}
	if best == "" {
		return "", false
	}
	puller.pulledAt = now
	puller.pulls++
	puller.offers[best].pulls++
	return best, true
}

// better reports whether one peer is a better source than another: it has not been asked
// in vain, is in this region, has more changes, or has reported more recently.
func (puller *Puller) better(left, right berylspoke.VMID) bool {
	one, other := puller.offers[left], puller.offers[right]
	switch {
	case one.pulls != other.pulls:
		return one.pulls < other.pulls
	case one.remote != other.remote:
		return other.remote
	case one.position != other.position:
		return one.position.After(other.position)
	}
	return one.reportedAt.After(other.reportedAt)
}

// timeout returns how long the unanswered pull may take.
func (puller *Puller) timeout() time.Duration {
	return min(minPullTimeout<<min(puller.pulls-1, 8), maxPullTimeout)
}

// remoteDelay returns how long the daemon of a rank waits for a peer of its own region.
func remoteDelay(rank int) time.Duration { return gatewayStep * rung(rank) }

// StoreDelay returns how long the daemon of a rank in its region waits for its peers before
// it reads a replica of the given size from the store.
func StoreDelay(rank, bytes int) time.Duration {
	if bytes <= smallReplicaBytes {
		return 0
	}
	return storeStep * rung(rank)
}

// rung returns the step at which the daemon of a rank acts: the gateways at zero, and at each
// further step as many daemons as at all steps before.
func rung(rank int) time.Duration { return time.Duration(bits.Len(uint(rank / gateways))) }
