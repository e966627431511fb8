// Package berylfeed keeps a daemon's replica of the items that a platform's store
// publishes below one prefix.
//
// The replica is complete up to a revision. It advances by the changes that a watch
// returns, by a full list, or by what a peer knows beyond that revision. For each key
// the newest revision wins, so the three may arrive in any order and no key reverts to
// an older value. Removed keys are remembered, since a peer with an older replica would
// add them again.
//
// A Puller decides when changes are pulled from peers, so that few copies of them cross the
// link to a region. Currency tells as of when a replica is complete, which contact with the
// store alone does not.
//
// Items that disappear around an outage of the store may have lapsed only because
// their writers could not renew them. They are kept for a grace period in which
// writers that are alive write them again.
package berylfeed
