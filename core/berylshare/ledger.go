package berylshare

// This file defines the ledger that sums the service of organisations.

import (
	"time"

	"berylspoke"
)

// forgetAfter is the silence after which a ledger drops an organisation; the
// next report brings its tag along.
const forgetAfter = 2 * time.Minute

type ledgerKey struct {
	service      berylspoke.ServiceID
	organisation berylspoke.OrganisationID
}

type contribution struct {
	incarnation berylspoke.Incarnation
	life        uint32
	sequence    uint32
	counter     berylspoke.Tokens
}

type ledgerAccount struct {
	tag           berylspoke.Tag
	contributions map[berylspoke.VMID]*contribution
	heard         time.Time
}

// Ledger sums the service of the organisations placed on one daemon.
type Ledger struct {
	accounts map[ledgerKey]*ledgerAccount
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[ledgerKey]*ledgerAccount)} }

// Len returns the number of organisations held.
func (ledger *Ledger) Len() int { return len(ledger.accounts) }

// Report merges one report and returns the answer.
//
// Reports may be lost, doubled or overtaken: counters are cumulative, so only
// the newest by sequence counts. An entry heard for the first time is taken at
// its acknowledged counter and the tag that went with it, because an earlier
// ledger summed that part.
func (ledger *Ledger) Report(now time.Time, from berylspoke.Process, report Report) Total {
	key := ledgerKey{report.Service, report.Organisation}
	account := ledger.accounts[key]
	if account == nil {
		account = &ledgerAccount{contributions: make(map[berylspoke.VMID]*contribution)}
		ledger.accounts[key] = account
	}
	account.heard = now
	part := account.contributions[from.VM]
	if part == nil || part.incarnation != from.Incarnation || part.life < report.Life {
		part = &contribution{incarnation: from.Incarnation, life: report.Life, counter: report.Acknowledged}
		account.contributions[from.VM] = part
		account.tag = max(account.tag, report.Base)
	}
	if report.Life == part.life && report.Sequence > part.sequence {
		account.tag += report.Weight.Normalise(report.Counter - part.counter)
		part.sequence, part.counter = report.Sequence, report.Counter
	}
	account.tag = max(account.tag, report.Floor)
	return Total{report.Service, report.Organisation, part.counter, account.tag}
}

// Forget drops the organisations that no entry reported for long.
func (ledger *Ledger) Forget(now time.Time) {
	for key, account := range ledger.accounts {
		if now.Sub(account.heard) > forgetAfter {
			delete(ledger.accounts, key)
		}
	}
}
