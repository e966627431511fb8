package berylnode

// This file defines the exchange of reports and totals with ledgers.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylroute"
	"berylspoke/core/berylshare"
)

const (
	// reportsPerSecond bounds the report messages of a daemon. With more ledgers to
	// report to, each gets reports less often.
	reportsPerSecond = 8
	// reportsPerMessage bounds a message to the size of one datagram.
	reportsPerMessage = 24
)

// sendReports reports the charges made here to the ledgers. Organisations whose ledger is
// this daemon need no message to a peer.
func (node *Node) sendReports(now time.Time) {
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
	for ledger, items := range byLedger {
		if ledger != node.self.VM && now.Sub(node.reportedAt[ledger]) < interval {
			continue
		}
		node.reportedAt[ledger] = now
		for len(items) > 0 {
			batch := items[:min(len(items), reportsPerMessage)]
			items = items[len(batch):]
			reports := berylshare.Reports{From: node.self}
			for _, item := range batch {
				reports.Reports = append(reports.Reports, item.service.queue.Report(now, item.service.id, item.organisation))
			}
			node.deferSend(now, ledger, reports)
		}
	}
}

// handleReports merges the reports of an entry daemon and answers with the totals.
func (node *Node) handleReports(now time.Time, reports berylshare.Reports) {
	answer := berylshare.Totals{}
	for _, report := range reports.Reports {
		answer.Totals = append(answer.Totals, node.ledger.Report(now, reports.From, report))
	}
	node.deferSend(now, reports.From.VM, answer)
}

func (node *Node) handleTotals(totals berylshare.Totals) {
	for _, total := range totals.Totals {
		if service := node.services[total.Service]; service != nil {
			service.queue.ApplyTotal(total)
		}
	}
}
