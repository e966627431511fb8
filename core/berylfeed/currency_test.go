package berylfeed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

// replica is a feed of targets with its currency, of a daemon that reads the store or
// hears of it from others. The feed of the configuration stays empty.
type replica struct {
	feeds    [Count]*Feed
	contacts Contacts
	currency Currency
}

func newReplica(origin uint32) *replica {
	return &replica{feeds: [Count]*Feed{New(sequenceOf), New(sequenceOf)}, contacts: NewContacts(origin)}
}

func (replica *replica) targets() *Feed { return replica.feeds[Targets] }

// answered records an answer of the store.
func (replica *replica) answered(now time.Time) {
	replica.currency.Confirm(Targets, now)
	replica.currency.Claim(replica.contacts.RecordOwn(now), now, replica.claimPositions(), replica.feeds)
	replica.currency.Advance(replica.feeds)
}

func (replica *replica) claimPositions() []berylspoke.Position {
	return []berylspoke.Position{{}, replica.targets().ClaimPosition()}
}

// report passes the newest contact on to another replica.
func (replica *replica) report(now time.Time, to *replica) {
	id, at := replica.currency.Newest()
	if id == 0 {
		return
	}
	at = to.contacts.Receive(now, Contact{ID: id, Age: now.Sub(at)})
	to.currency.Claim(id, at, replica.claimPositions(), to.feeds)
}

// Guards against a replica that is taken for complete although it lacks a change: daemons
// list, watch and pull in any order, a list hides which keys were removed before it, and the
// store returns from older copies.
func TestReplicaIsAsCompleteAsItsCurrencyTells(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		store := new(history)
		var written []time.Time
		var returned time.Time
		replicas := []*replica{newReplica(1), newReplica(2), newReplica(3)}
		for range 60 {
			now = now.Add(time.Millisecond)
			one := replicas[rapid.IntRange(0, 2).Draw(t, "replica")]
			other := replicas[rapid.IntRange(0, 2).Draw(t, "peer")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				store.write(string(rune('a'+rapid.IntRange(0, 3).Draw(t, "key"))), rapid.Bool().Draw(t, "deleted"))
				written = append(written, now)
			case 2:
				if one.targets().Known() && one.targets().AsOf().Era == store.era {
					one.targets().ApplyChanges(now, store.after(one.targets().AsOf().Revision), store.asOf())
					one.answered(now)
				}
			case 3:
				one.targets().Replace(now, store.list(), store.asOf())
				one.answered(now)
			case 4:
				if delta, newer := other.targets().Since(now, Targets, one.targets().AsOf()); newer {
					one.targets().Merge(now, delta)
					one.currency.Advance(one.feeds)
				}
			case 5:
				other.report(now, one)
			case 6:
				store.returnFrom(berylspoke.Revision(rapid.IntRange(0, len(store.changes)).Draw(t, "copy")))
				written, returned = written[:len(store.changes)], now
			}
			for _, replica := range replicas {
				requireComplete(t, now, replica, store, written)
				if replica.currency.CompleteAsOf(Targets).After(returned) {
					require.Equal(t, store.era, replica.targets().AsOf().Era, "complete as of a time after the return, without what it brought")
				}
			}
		}
	})
}

// requireComplete checks that a replica holds what the store held at the time as of which
// it is said to be complete, or something newer. After a return of the store, what the copy
// lacks may still be in its grace period.
func requireComplete(t *rapid.T, now time.Time, replica *replica, store *history, written []time.Time) {
	asOf := replica.currency.CompleteAsOf(Targets)
	if store.era > 0 {
		now = now.Add(Grace)
	}
	items, _ := replica.targets().Items(now)
	held := make(map[string]berylspoke.Revision)
	for _, item := range items {
		held[item.Key] = item.Position.Revision
	}
	for i, change := range store.changes {
		if written[i].After(asOf) {
			break
		}
		revision, present := held[change.Key]
		if present {
			require.GreaterOrEqual(t, revision, change.Position.Revision, "key %s", change.Key)
		} else {
			require.GreaterOrEqual(t, replica.targets().AsOf().Revision, change.Position.Revision, "key %s", change.Key)
		}
	}
}
