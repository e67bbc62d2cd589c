package controller

import (
	"hitchdoor/internal/cluster"
)

// tickRecovery advances the recovery, and steps down if the stored records can't be read in time.
func (l *leader) tickRecovery() {
	if !l.recordsLoaded && l.recovery.ReadingTimedOut() {
		l.node.stepDown("timeout reading stored records")
		return
	}
	l.recovery.Advance(l.recordsLoaded)
}

// MayRunUnreported reports whether tasks of a job may be running on machines that are not reconciled:
// they may run attempts that this leader does not know.
func (l *leader) MayRunUnreported(job *cluster.Job, totals *cluster.MachineTotals) bool {
	return l.recovery.MayRunUnreported(job, totals)
}
