package controller

import (
	"net/http"

	"maps"
	"slices"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/statuspage"
)

// tickRecovery advances the recovery, and steps down if the stored records can't be read in time.
func (l *leader) tickRecovery() {
	if !l.recordsLoaded && l.recovery.ReadingTimedOut() {
		l.node.stepDown("timeout reading stored records")
		return
	}
	l.recovery.Advance(l.recordsLoaded)
}

// MayRunUnreported reports whether tasks of a job may be running on machines that are not reconciled.
func (l *leader) MayRunUnreported(job *cluster.Job, totals *cluster.MachineTotals) bool {
	return l.recovery.MayRunUnreported(job, totals)
}

// recoveryStatus is the state of recovery on this node, as operators see it.
func (n *Node) recoveryStatus() recovery.NodeStatus {
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
	return status
}

// onRecoveryStatus answers an operator's request for the state of recovery.
func (n *Node) onRecoveryStatus(request Request) {
	n.reply(request.Origin, http.StatusOK, 0, n.recoveryStatus())
}

// recoveryMetrics adds the metrics of recovery to a page.
func (n *Node) recoveryMetrics(page *statuspage.MetricsPage) {
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
