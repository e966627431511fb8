// Package berylfeed keeps a daemon's copy of the items that a platform's store
// publishes below one prefix.
//
// The model: the copy is complete up to a revision. It moves forward by the
// changes that a watch returns, by a full list, or by what a peer knows beyond
// that revision; the newest revision of each key wins, so the order in which
// the three arrive does not matter and no key ever goes back. Removed keys are
// remembered, or a peer with an older copy would bring them back.
//
// Items that vanish around an outage of the store may have lapsed only because
// their writers could not renew them. They stay for a grace in which their
// writers, if alive, write them again.
package berylfeed
