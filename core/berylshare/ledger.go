package berylshare

// This file defines the ledger that sums the service received by each organisation.

import (
	"time"

	"berylspoke"
)

// reportTimeout is the time without reports after which a ledger drops an organisation.
// The next report restores its tag.
const reportTimeout = 2 * time.Minute

type ledgerKey struct {
	service      berylspoke.ServiceID
	organisation berylspoke.OrganisationID
}

// contribution is the part of an organisation's service that one entry daemon reported.
type contribution struct {
	incarnation berylspoke.Incarnation
	generation  uint32
	sequence    uint32
	counter     berylspoke.Tokens
}

type ledgerAccount struct {
	tag           berylspoke.Tag
	contributions map[berylspoke.VMID]*contribution
	lastReport    time.Time
}

// Ledger sums the service of the organisations assigned to one daemon.
type Ledger struct {
	accounts map[ledgerKey]*ledgerAccount
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[ledgerKey]*ledgerAccount)} }

// Len returns the number of organisations held.
func (ledger *Ledger) Len() int { return len(ledger.accounts) }

// Report merges a report and returns the organisation's total.
//
// Reports may be lost, duplicated or reordered: counters are cumulative, so only the
// report with the highest sequence number counts. The first report of an entry daemon is
// merged from its acknowledged counter and the tag that goes with it, because an earlier
// ledger already summed the service up to that counter.
func (ledger *Ledger) Report(now time.Time, from berylspoke.Process, report Report) Total {
	key := ledgerKey{report.Service, report.Organisation}
	account := ledger.accounts[key]
	if account == nil {
		account = &ledgerAccount{contributions: make(map[berylspoke.VMID]*contribution)}
		ledger.accounts[key] = account
	}
	account.lastReport = now
	contrib := account.contributions[from.VM]
	if contrib == nil || contrib.incarnation != from.Incarnation || contrib.generation < report.Generation {
		contrib = &contribution{incarnation: from.Incarnation, generation: report.Generation, counter: report.Acknowledged}
		account.contributions[from.VM] = contrib
		account.tag = max(account.tag, report.Base)
	}
	if report.Generation == contrib.generation && report.Sequence > contrib.sequence {
		account.tag += report.Weight.Normalise(report.Counter - contrib.counter)
		contrib.sequence, contrib.counter = report.Sequence, report.Counter
	}
	account.tag = max(account.tag, report.Floor)
	return Total{report.Service, report.Organisation, contrib.counter, account.tag}
}

// Forget drops the organisations that had no report for longer than reportTimeout.
func (ledger *Ledger) Forget(now time.Time) {
	for key, account := range ledger.accounts {
		if now.Sub(account.lastReport) > reportTimeout {
			delete(ledger.accounts, key)
		}
	}
}
