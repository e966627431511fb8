package berylshare

// This file defines the account of one organisation at one entry.

import (
	"container/heap"
	"time"

	"berylspoke"
)

// account holds one organisation's waiting requests and what it was charged.
type account struct {
	organisation berylspoke.OrganisationID
	weight       berylspoke.Weight
	waiting      []Waiting
	running      int
	reserved     berylspoke.Tokens
	estimator    estimator

	// counter is all that this process charged; synced is the part of it that
	// total contains; total is the fleet's sum as the ledger last told it.
	counter, synced, total berylspoke.Tokens
	shift                  berylspoke.Tag
	epoch                  uint64
	sequence               uint32
	reported               berylspoke.Tokens
	// life tells this account from an earlier one of the same organisation
	// that the queue forgot; its counter started from zero again.
	life    uint32
	touched time.Time

	place int
}

func (account *account) tag() berylspoke.Tag {
	return account.weight.Normalise(account.total+account.counter-account.synced) + account.shift
}

// lift raises the tag to at least the floor.
func (account *account) lift(floor berylspoke.Tag) {
	if tag := account.tag(); tag < floor {
		account.shift += floor - tag
	}
}

// lower reduces the tag to at most the ceiling.
func (account *account) lower(ceiling berylspoke.Tag) {
	if tag := account.tag(); tag > ceiling {
		account.shift -= tag - ceiling
	}
}

// accountHeap orders the backlogged accounts by tag, then by id.
type accountHeap []*account

var _ heap.Interface = (*accountHeap)(nil)

func (accounts accountHeap) Len() int { return len(accounts) }

func (accounts accountHeap) Less(i, j int) bool {
	left, right := accounts[i].tag(), accounts[j].tag()
	return left < right || left == right && accounts[i].organisation < accounts[j].organisation
}

func (accounts accountHeap) Swap(i, j int) {
	accounts[i], accounts[j] = accounts[j], accounts[i]
	accounts[i].place, accounts[j].place = i, j
}

func (accounts *accountHeap) Push(item any) {
	added := item.(*account)
	added.place = len(*accounts)
	*accounts = append(*accounts, added)
}

func (accounts *accountHeap) Pop() any {
	old := *accounts
	last := old[len(old)-1]
	last.place = -1
	*accounts = old[:len(old)-1]
	return last
}
