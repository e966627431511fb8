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
	// base contains. Base is the tag as the ledger last told it, floor the
	// highest tag that a lift demanded.
	counter, synced berylspoke.Tokens
	base, floor     berylspoke.Tag
	// clamp is not positive: it keeps an organisation that was served elsewhere
	// within the lead bound here.
	clamp    berylspoke.Tag
	sequence uint32
	reported berylspoke.Tokens
	told     time.Time
	// life tells this account from an earlier one of the same organisation
	// that the queue forgot; its counter started from zero again.
	life    uint32
	touched time.Time

	place int
}

// fleet returns the tag in the whole fleet.
func (account *account) fleet() berylspoke.Tag {
	return account.base + account.weight.Normalise(account.counter-account.synced)
}

// tag returns the tag that counts at this entry.
func (account *account) tag() berylspoke.Tag { return account.fleet() + account.clamp }

// length returns the waiting requests, and some more, for each unit of weight.
func (account *account) length(more int) float64 {
	return float64(len(account.waiting)+more) / float64(max(account.weight, 1))
}

// lift raises the tag to at least the floor.
func (account *account) lift(floor berylspoke.Tag) {
	missing := floor - account.tag()
	if missing <= 0 {
		return
	}
	unclamped := min(missing, -account.clamp)
	account.clamp += unclamped
	account.base += missing - unclamped
	account.floor = max(account.floor, account.fleet())
}

// lower reduces the tag at this entry to at most the ceiling, for good: a
// reduction that was taken back as the ceiling rises would keep the
// organisation ahead of all others for as long as its sum is.
func (account *account) lower(ceiling berylspoke.Tag) {
	account.clamp = min(account.clamp, ceiling-account.fleet())
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
