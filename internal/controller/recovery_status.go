package controller

import (
	"maps"
	"net/http"
	"slices"

	"hitchdoor/internal/recovery"
	"hitchdoor/internal/statuspage"
)

// recovery returns the HTTP status and the body of the recovery page: the state of the recovery, if
// this node leads, and the quarantined records, which this node can't use.
func (p statusPages) recovery(Request) (int, any) {
	n := p.node
	status := recovery.NodeStatus{Node: n.cfg.Node, IsLeader: n.holdsLeaderLease()}
	if leaderPeer := n.leaderPeer(); leaderPeer != nil {
		status.LeaderName, status.Term = leaderPeer.Name, leaderPeer.Term
	}
	if status.IsLeader {
		current := n.leader
		status.LeaderName, status.Term = "", current.term
		status.Recovery = current.recovery.Status(current.term)
		for _, record := range current.quarantine.RecordsByKey() {
			status.Quarantined = append(status.Quarantined, record.Status())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.unreadableTerminalRecords)) {
		status.Quarantined = append(status.Quarantined, n.unreadableTerminalRecords[id].Status())
	}
	return http.StatusOK, status
}

// recoveryMetrics adds the metrics of the recovery and of quarantined records to a page.
func (p statusPages) recoveryMetrics(page *statuspage.MetricsPage) {
	n := p.node
	page.LabelledGauge("recovery_mismatches", "Mismatches that this process has found in recoveries, by kind.", "kind",
		func(each func(label string, value float64)) {
			n.mismatches.ForEach(func(kind recovery.Mismatch, count int) { each(kind.String(), float64(count)) })
		})
	quarantined := len(n.unreadableTerminalRecords)
	if n.holdsLeaderLease() {
		current := n.leader
		quarantined += current.quarantine.RecordCount()
		page.Gauge("recovery_phase",
			"The leader's phase of recovery: 0 reading, 1 collecting, 2 reconciling, 3 pacing, 4 normal.",
			float64(current.recovery.Phase()))
		budgets := current.recovery.Budgets()
		if len(budgets) > 0 {
			page.LabelledGauge("recovery_budget", "Orders that may be given at once, by kind.", "order",
				func(each func(label string, value float64)) {
					for _, budget := range budgets {
						each(budget.Operation, budget.Remaining)
					}
				})
		}
	}
	page.Gauge("records_set_aside", "Stored records that this node can't use.", float64(quarantined))
}
