package berylshare

// This file defines the reports of a queue to ledgers and their answers.

import (
	"container/heap"
	"sort"

	"berylspoke"
)

// Report is one entry's cumulative charge of one organisation.
type Report struct {
	Service      berylspoke.ServiceID
	Organisation berylspoke.OrganisationID
	Life         uint32
	Sequence     uint32
	// Counter is all that the process charged; Acknowledged is the part that
	// some ledger has already answered for.
	Counter, Acknowledged berylspoke.Tokens
}

// Total is a ledger's answer to a report.
type Total struct {
	Service      berylspoke.ServiceID
	Organisation berylspoke.OrganisationID
	Epoch        uint64
	Counter      berylspoke.Tokens
	Total        berylspoke.Tokens
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

// Due lists the organisations whose report may matter: the backlogged ones,
// since others may be charged elsewhere, and those charged by a quantum here.
func (queue *Queue) Due(quantum berylspoke.Tokens) []berylspoke.OrganisationID {
	if queue.options.Policy != FleetFair {
		return nil
	}
	var due []berylspoke.OrganisationID
	for _, account := range queue.backlog {
		due = append(due, account.organisation)
	}
	for id, account := range queue.dirty {
		charged := account.counter - account.reported
		if account.place < 0 && (charged >= quantum || -charged >= quantum) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	return due
}

// Report returns the report of one organisation.
func (queue *Queue) Report(service berylspoke.ServiceID, id berylspoke.OrganisationID) Report {
	account := queue.account(id, 0)
	account.sequence++
	account.reported = account.counter
	delete(queue.dirty, id)
	return Report{
		Service: service, Organisation: id, Life: account.life, Sequence: account.sequence,
		Counter: account.counter, Acknowledged: account.synced,
	}
}

// Take merges a ledger's answer.
//
// A ledger that restarted, or another daemon that became the ledger, sums from
// its own start, which shows itself as another epoch. The tag stays as it was
// then, and only the sum's later growth counts.
func (queue *Queue) Take(total Total) {
	account := queue.accounts[total.Organisation]
	if account == nil {
		return
	}
	before := account.tag()
	account.total, account.synced = total.Total, total.Counter
	if total.Epoch != account.epoch {
		account.epoch = total.Epoch
		account.shift += before - account.tag()
	}
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
