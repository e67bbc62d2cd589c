package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/scheduler"
)

// newRecovery starts the recovery of a new leader.
func (n *Node) newRecovery() *recovery.Recovery { return recovery.New(n.recoverySettings(), n.now) }

// recoverySettings are the intervals and limits of a recovery, from the node's settings.
func (n *Node) recoverySettings() recovery.Settings {
	return recovery.Settings{
		HeartbeatInterval: n.heartbeatInterval(), WorkerLease: clock.WorkerLeaseTimeout(n.workerLease()),
		Limits: recovery.Limits{RefillLeases: n.settings.RecoveryRefillLeases, ReplaceLeases: n.settings.RecoveryReplaceLeases},
	}
}

// recoveryView is the state of the cluster that the recovery depends on.
func (l *leader) recoveryView() recovery.View {
	totals := l.CurrentMachineTotals()
	return recovery.View{RecordsRead: l.recordsLoaded, InventoryIncomplete: l.InventoryIncomplete(),
		Machines: len(l.Machines), Unreconciled: totals.UnreconciledMachines,
		Cores: totals.TotalCores, LargestCores: totals.LargestMachineCores}
}

// mismatchTotal is the number of mismatches of all kinds. Tasks that are as stored don't count.
func mismatchTotal(counts recovery.MismatchCounts) int {
	total := 0
	counts.ForEach(func(kind recovery.Mismatch, count int) {
		if kind != recovery.MatchesRecord {
			total += count
		}
	})
	return total
}

// noteMismatch counts a mismatch, for this leader and for this process.
func (l *leader) noteMismatch(kind recovery.Mismatch, machine, subject string) {
	if l.recovery.NoteMismatch(l.node.now, kind, machine, subject) {
		l.node.mismatches[kind]++
	}
}

// noteUnresponsiveMachines counts, at the end of the collecting phase, the machines that have not
// sent a heartbeat.
func (l *leader) noteUnresponsiveMachines() {
	for _, m := range l.MachinesByName() {
		if !m.Reconciled && m.LastHeartbeat == clock.Never {
			l.noteMismatch(recovery.MachineUnresponsive, m.Name, "")
		}
	}
}

// noteJobsNotRunning counts, once all machines are reconciled, the jobs of earlier leaders that no
// worker reports a task of.
func (l *leader) noteJobsNotRunning() {
	for _, j := range l.JobsByAge() {
		if j.RecordVersion <= l.writer.LeaderRevision && len(j.Attempts) == 0 && j.PendingTasks > 0 {
			l.noteMismatch(recovery.JobNotRunning, "", j.Spec.ID)
		}
	}
}

// noteOvercommitted counts a machine whose tasks use more cores than it has.
func (l *leader) noteOvercommitted(machine *cluster.Machine) {
	if machine.MachineType != nil && machine.UsedCores > machine.MachineType.Cores+cluster.ResourceTolerance {
		l.noteMismatch(recovery.MachineOvercommitted, machine.Name, "")
	}
}

// limitedByRecovery reports whether the recovery limits what this leader does: it is enabled for
// fleets of this size and not completed. Small fleets are exempt: in a simulated day of 40
// machines, on which all controllers ended six times while their workers were cut off, delaying
// rentals reduced the jobs completed in time by a third.
func (l *leader) limitedByRecovery() bool {
	return l.node.settings.PacedRecovery && !l.recovery.Completed() && len(l.Machines) >= l.node.settings.RecoveryMinMachines
}

// mayScaleOut reports whether machines may be rented.
func (l *leader) mayScaleOut() bool { return !l.limitedByRecovery() || l.recovery.MayScaleOut() }

// mayScaleIn reports whether machines may be returned because there are too many.
func (l *leader) mayScaleIn() bool { return !l.limitedByRecovery() || l.recovery.MayScaleIn() }

// allowOperation reports whether an operation is within the recovery's budgets now, and takes it
// from its budget.
func (l *leader) allowOperation(operation recovery.Operation, urgency recovery.Urgency, team string) bool {
	return !l.limitedByRecovery() || l.recovery.Allow(l.node.now, operation, urgency, team)
}

// allowedOperations is how many of count operations on machines are within the budget now. It takes
// them from the budget.
func (l *leader) allowedOperations(operation recovery.Operation, count int) int {
	for i := range count {
		if !l.allowOperation(operation, recovery.LatencySensitive, "") {
			return i
		}
	}
	return count
}

// urgencyOf is the urgency of operations on a job's tasks.
func urgencyOf(job *cluster.Job) recovery.Urgency {
	switch {
	case job.Terminal:
		return recovery.CancelledWork
	case job.EffectiveRank() <= scheduler.RankLatencySensitive:
		return recovery.LatencySensitive
	default:
		return recovery.OrdinaryWork
	}
}

// startsPerResponseDivisor bounds the tasks that one response starts while starts are paced: one per
// so many cores of the machine. The budget is then spread over more machines, and these send
// their next heartbeat as soon as the tasks start.
const startsPerResponseDivisor = 4

// mayStartTask reports whether a response that starts some tasks already may start one more.
func (l *leader) mayStartTask(attempt *cluster.TaskAttempt, startedCount int) bool {
	if !l.limitedByRecovery() {
		return true
	}
	if maxStarts := max(1, int(attempt.Machine.MachineType.Cores/startsPerResponseDivisor)); startedCount >= maxStarts {
		return false
	}
	return l.allowOperation(recovery.StartTask, urgencyOf(attempt.Job), attempt.Job.Spec.Team)
}

// mayStopUnexpectedTask reports whether a task that should not be running may be stopped now. One
// whose job is terminal, or unknown, has the highest urgency.
func (l *leader) mayStopUnexpectedTask(job *cluster.Job) bool {
	if job == nil {
		return l.allowOperation(recovery.StopTask, recovery.CancelledWork, "")
	}
	return l.allowOperation(recovery.StopTask, urgencyOf(job), job.Spec.Team)
}

// MayRunUnreported reports whether tasks of a job may be running on machines that are not reconciled.
// An earlier leader can't have started a job that was accepted after the leader key was written,
// nor one that depends on a job whose end this leader has written. Nor can a job be running there
// that may use none of those machines.
func (l *leader) MayRunUnreported(job *cluster.Job, totals *cluster.MachineTotals) bool {
	if totals.AllReconciled || job.RecordVersion > l.writer.LeaderRevision || job.ReleasedThisTerm {
		return false
	}
	if totals.UnreconciledTypeUnknown {
		return true
	}
	for option := range totals.UnreconciledOptions {
		// Only the constraints are checked: the sizes in the catalogue may have been different
		// when an earlier leader placed the job.
		if option.MatchesConstraints(&job.Spec) {
			return true
		}
	}
	return false
}

// mayReturnUnresponsive reports whether a machine without a heartbeat for so long may be returned.
func (l *leader) mayReturnUnresponsive(machine *cluster.Machine, silence time.Duration) bool {
	if machine.Reconciled {
		return silence > l.node.workerLease()*6/10
	}
	return l.recovery.MayReturnUnresponsive(silence)
}
