package berylshare

// This file defines the reports of a queue to ledgers and their answers.

import (
	"container/heap"
	"sort"
	"time"

	"berylspoke"
)

// Report is one entry's cumulative charge of one organisation.
type Report struct {
	Service      berylspoke.ServiceID
	Organisation berylspoke.OrganisationID
	Life         uint32
	Sequence     uint32
	Weight       berylspoke.Weight
	// Counter is all that the process charged; Acknowledged is the part that
	// some ledger has already answered for, with the tag Base.
	Counter, Acknowledged berylspoke.Tokens
	Base                  berylspoke.Tag
	// Floor is the highest tag to which the process lifted the organisation.
	Floor berylspoke.Tag
}

// Total is a ledger's answer to a report.
type Total struct {
	Service      berylspoke.ServiceID
	Organisation berylspoke.OrganisationID
	// Counter is the reported counter that Tag contains.
	Counter berylspoke.Tokens
	Tag     berylspoke.Tag
}

// Reports carries the reports of one entry to one ledger.
type Reports struct {
	From    berylspoke.Process
	Reports []Report
}

// PeerMessage implements berylspoke.Message.
func (Reports) PeerMessage() {}

// Totals carries a ledger's answers to one entry.
type Totals struct {
	Totals []Total
}

// PeerMessage implements berylspoke.Message.
func (Totals) PeerMessage() {}

var (
	_ berylspoke.Message = Reports{}
	_ berylspoke.Message = Totals{}
)

// refreshAfter is the age at which a backlogged organisation's tag is asked
// for anew, since others may charge it.
const refreshAfter = 2 * time.Second

// Due lists the organisations to report: those charged by a quantum here since
// the last report, and backlogged ones whose tag is old.
func (queue *Queue) Due(now time.Time, quantum berylspoke.Tokens) []berylspoke.OrganisationID {
	if queue.options.Policy != FleetFair {
		return nil
	}
	var due []berylspoke.OrganisationID
	for _, account := range queue.backlog {
		if now.Sub(account.told) >= refreshAfter {
			due = append(due, account.organisation)
		}
	}
	for id, account := range queue.dirty {
		charged := account.counter - account.reported
		refreshed := account.place >= 0 && now.Sub(account.told) >= refreshAfter
		if !refreshed && (charged >= quantum || -charged >= quantum) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	return due
}

// Report returns the report of one organisation.
func (queue *Queue) Report(now time.Time, service berylspoke.ServiceID, id berylspoke.OrganisationID) Report {
	account := queue.account(id, 0)
	account.sequence++
	account.reported = account.counter
	account.told = now
	delete(queue.dirty, id)
	return Report{
		Service: service, Organisation: id, Life: account.life, Sequence: account.sequence,
		Weight: account.weight, Counter: account.counter, Acknowledged: account.synced,
		Base: account.base, Floor: account.floor,
	}
}

// Take merges a ledger's answer. An answer that left before the last lift
// arrived at the ledger must not undo it, hence the floor.
func (queue *Queue) Take(total Total) {
	account := queue.accounts[total.Organisation]
	if account == nil {
		return
	}
	account.base, account.synced = total.Tag, total.Counter
	account.base += max(0, account.floor-account.fleet())
	account.lower(queue.time + queue.options.Lead + account.weight.Normalise(max(account.reserved, 0)))
	if account.place >= 0 {
		heap.Fix(&queue.backlog, account.place)
	}
}

// Share is an organisation's state for the dump.
type Share struct {
	Organisation berylspoke.OrganisationID `json:"organisation"`
	Waiting      int                       `json:"waiting"`
	Running      int                       `json:"running"`
	Charged      berylspoke.Tokens         `json:"charged"`
	Tag          berylspoke.Tag            `json:"tag"`
}

// Shares lists the organisations with work or charges, by id.
func (queue *Queue) Shares() []Share {
	var shares []Share
	for id, account := range queue.accounts {
		shares = append(shares, Share{id, len(account.waiting), account.running, account.counter, account.tag()})
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].Organisation < shares[j].Organisation })
	return shares
}
