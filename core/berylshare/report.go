package berylshare

// This file defines the reports from queues to ledgers and the totals sent in answer.

import (
	"container/heap"
	"sort"
	"time"

	"berylspoke"
)

// Report is the cumulative charge of one organisation at one entry daemon.
type Report struct {
	Service      berylspoke.ServiceID
	Organisation berylspoke.OrganisationID
	Generation   uint32
	Sequence     uint32
	Weight       berylspoke.Weight
	// Counter is the total that the process charged. Acknowledged is the part of it that
	// a ledger has already answered, with the tag Base.
	Counter, Acknowledged berylspoke.Tokens
	Base                  berylspoke.Tag
	// Floor is the highest tag that the process raised the organisation to.
	Floor berylspoke.Tag
}

// Total is a ledger's answer to a report.
type Total struct {
	Service      berylspoke.ServiceID
	Organisation berylspoke.OrganisationID
	// Counter is the part of the entry daemon's counter that Tag includes.
	Counter berylspoke.Tokens
	Tag     berylspoke.Tag
}

// Reports carries the reports of one entry daemon to one ledger.
type Reports struct {
	From    berylspoke.Process
	Reports []Report
}

// PeerMessage implements berylspoke.Message.
func (Reports) PeerMessage() {}

// Totals carries a ledger's answers to one entry daemon.
type Totals struct {
	Totals []Total
}

// PeerMessage implements berylspoke.Message.
func (Totals) PeerMessage() {}

var (
	_ berylspoke.Message = Reports{}
	_ berylspoke.Message = Totals{}
)

// refreshAfter is the age at which the tag of a backlogged organisation is requested
// again, since other entry daemons may have charged it.
const refreshAfter = 2 * time.Second

// Due lists the organisations to report: those whose charge here changed by at least a
// quantum since the last report, and backlogged ones whose tag is older than refreshAfter.
func (queue *Queue) Due(now time.Time, quantum berylspoke.Tokens) []berylspoke.OrganisationID {
	if queue.options.Policy != FleetFair {
		return nil
	}
	var due []berylspoke.OrganisationID
	for _, account := range queue.backlog {
		if now.Sub(account.reportedAt) >= refreshAfter {
			due = append(due, account.organisation)
		}
	}
	for id, account := range queue.dirty {
		charged := account.counter - account.reported
		refreshed := account.heapIndex >= 0 && now.Sub(account.reportedAt) >= refreshAfter
		if !refreshed && (charged >= quantum || -charged >= quantum) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	return due
}

// Report returns the report of one organisation and records it as sent.
func (queue *Queue) Report(now time.Time, service berylspoke.ServiceID, id berylspoke.OrganisationID) Report {
	account := queue.account(id, 0)
	account.sequence++
	account.reported = account.counter
	account.reportedAt = now
	delete(queue.dirty, id)
	return Report{
		Service: service, Organisation: id, Generation: account.generation, Sequence: account.sequence,
		Weight: account.weight, Counter: account.counter, Acknowledged: account.acknowledged,
		Base: account.base, Floor: account.floor,
	}
}

// ApplyTotal merges a ledger's answer. An answer sent before the ledger received the last
// raised tag must not lower it again, hence the floor.
func (queue *Queue) ApplyTotal(total Total) {
	account := queue.accounts[total.Organisation]
	if account == nil {
		return
	}
	account.base, account.acknowledged = total.Tag, total.Counter
	account.base += max(0, account.floor-account.fleetTag())
	account.lower(queue.virtualTime + queue.options.Lead + account.weight.Normalise(max(account.reserved, 0)))
	if account.heapIndex >= 0 {
		heap.Fix(&queue.backlog, account.heapIndex)
	}
}

// OrganisationState is the state of an organisation as the dump shows it.
type OrganisationState struct {
	Organisation berylspoke.OrganisationID `json:"organisation"`
	Waiting      int                       `json:"waiting"`
	Running      int                       `json:"running"`
	Charged      berylspoke.Tokens         `json:"charged"`
	Tag          berylspoke.Tag            `json:"tag"`
}

// Organisations returns the state of each organisation that has an account, sorted by ID.
func (queue *Queue) Organisations() []OrganisationState {
	var shares []OrganisationState
	for id, account := range queue.accounts {
		shares = append(shares, OrganisationState{id, len(account.waiting), account.running, account.counter, account.tag()})
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].Organisation < shares[j].Organisation })
	return shares
}
