package berylnode

// This file defines the reports to ledgers and their answers.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylroute"
	"berylspoke/core/berylshare"
)

const (
	// reportsPerSecond bounds the report messages of a daemon: with more
	// ledgers to tell, each is told less often.
	reportsPerSecond = 8
	// reportsPerMessage keeps a message within one datagram.
	reportsPerMessage = 24
)

// report tells the ledgers what was charged here. Organisations whose ledger is
// this daemon cost no message.
func (node *Node) report(now time.Time) {
	type due struct {
		service      *service
		organisation berylspoke.OrganisationID
	}
	byLedger := make(map[berylspoke.VMID][]due)
	for _, service := range node.services {
		for _, organisation := range service.queue.Due(now, node.options.Quantum) {
			ledger := berylroute.LedgerOf(organisation, node.table.Live())
			byLedger[ledger] = append(byLedger[ledger], due{service, organisation})
		}
	}
	interval := max(node.options.ReportEvery, time.Duration(len(byLedger))*time.Second/reportsPerSecond)
	for ledger, dues := range byLedger {
		if ledger != node.self.VM && now.Sub(node.reported[ledger]) < interval {
			continue
		}
		node.reported[ledger] = now
		for len(dues) > 0 {
			batch := dues[:min(len(dues), reportsPerMessage)]
			dues = dues[len(batch):]
			reports := berylshare.Reports{From: node.self}
			for _, item := range batch {
				reports.Reports = append(reports.Reports, item.service.queue.Report(now, item.service.id, item.organisation))
			}
			node.later(now, ledger, reports)
		}
	}
}

// sum merges the reports of an entry and answers it.
func (node *Node) sum(now time.Time, reports berylshare.Reports) {
	answer := berylshare.Totals{}
	for _, report := range reports.Reports {
		answer.Totals = append(answer.Totals, node.ledger.Report(now, reports.From, report))
	}
	node.later(now, reports.From.VM, answer)
}

func (node *Node) totals(totals berylshare.Totals) {
	for _, total := range totals.Totals {
		if service := node.services[total.Service]; service != nil {
			service.queue.ApplyTotal(total)
		}
	}
}
