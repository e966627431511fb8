// Package berylfeed keeps a daemon's replica of the items that a platform's store
// publishes below one prefix.
//
// The replica is complete up to a position. It advances by the changes that a watch
// returns, by a full list, or by what a peer knows beyond that position. For each key
// the latest position wins, so the three may arrive in any order and no key reverts to
// an older value. Removed keys are remembered, since a peer with an older replica would
// add them again.
//
// The store may return from an older copy of itself, which begins an era with revisions of
// its own. A replica enters an era only by a full list, of the store or of a peer that has
// one, as nothing tells where the copy departs from what the replica holds.
//
// By the store's order the copy is newer than what was lost, so across eras the order of the
// writers decides: a value that is later by it is carried over until the store holds it again,
// and an item that its writer's run had removed is withheld until it is written again.
//
// A Puller decides when changes are pulled from peers, so that few copies of them cross the
// link to a region. Currency tells as of when a replica is complete, which contact with the
// store alone does not.
//
// Items that disappear around an outage of the store may have lapsed only because
// their writers could not renew them. They are kept for a grace period in which
// writers that are alive write them again.
package berylfeed
