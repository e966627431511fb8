package berylshare

// This file defines the account of one organisation at one entry daemon.

import (
	"container/heap"
	"time"

	"berylspoke"
)

// account holds one organisation's waiting requests and its charges.
type account struct {
	organisation berylspoke.OrganisationID
	weight       berylspoke.Weight
	waiting      []QueuedRequest
	running      int
	reserved     berylspoke.Tokens
	estimator    estimator

	// counter is the total that this process charged, and acknowledged the part of it that
	// includes. base is the tag that the ledger last reported, and floor the highest tag
	// that the account was raised to.
	counter, acknowledged berylspoke.Tokens
	base, floor           berylspoke.Tag
	// clamp is zero or negative. It is added to the fleet-wide tag to keep an organisation
	// that was served at other entry daemons within the lead bound of this one.
	clamp      berylspoke.Tag
	sequence   uint32
	reported   berylspoke.Tokens
	reportedAt time.Time
	// generation distinguishes this account from earlier ones of the same organisation
	// that the queue dropped: each starts its counter at zero.
	generation  uint32
	lastArrival time.Time

	// heapIndex is the index in the backlog, or -1 if no request waits.
	heapIndex int
}

// fleetTag returns the fleet-wide tag.
func (account *account) fleetTag() berylspoke.Tag {
	return account.base + account.weight.Normalise(account.counter-account.acknowledged)
}

// tag returns the tag that orders the backlog of this entry daemon.
func (account *account) tag() berylspoke.Tag { return account.fleetTag() + account.clamp }

// waitingPerWeight returns the number of waiting requests plus extra, divided by the
// weight.
func (account *account) waitingPerWeight(extra int) float64 {
	return float64(len(account.waiting)+extra) / float64(max(account.weight, 1))
}

// raise raises the tag to at least floor.
func (account *account) raise(floor berylspoke.Tag) {
	missing := floor - account.tag()
	if missing <= 0 {
		return
	}
	unclamped := min(missing, -account.clamp)
	account.clamp += unclamped
	account.base += missing - unclamped
	account.floor = max(account.floor, account.fleetTag())
}

// lower reduces the tag at this entry daemon to at most ceiling. The reduction is
// permanent: undoing it as the ceiling rises would keep the organisation at the ceiling,
// and so behind all others, for as long as its fleet-wide tag exceeds theirs.
func (account *account) lower(ceiling berylspoke.Tag) {
	account.clamp = min(account.clamp, ceiling-account.fleetTag())
}

// accountHeap is a heap of the backlogged accounts, ordered by tag and then by ID.
type accountHeap []*account

var _ heap.Interface = (*accountHeap)(nil)

func (accounts accountHeap) Len() int { return len(accounts) }

func (accounts accountHeap) Less(i, j int) bool {
	left, right := accounts[i].tag(), accounts[j].tag()
	return left < right || left == right && accounts[i].organisation < accounts[j].organisation
}

func (accounts accountHeap) Swap(i, j int) {
	accounts[i], accounts[j] = accounts[j], accounts[i]
	accounts[i].heapIndex, accounts[j].heapIndex = i, j
}

func (accounts *accountHeap) Push(item any) {
	added := item.(*account)
	added.heapIndex = len(*accounts)
	*accounts = append(*accounts, added)
}

func (accounts *accountHeap) Pop() any {
	old := *accounts
	last := old[len(old)-1]
	last.heapIndex = -1
	*accounts = old[:len(old)-1]
	return last
}
