package controller

import (
	"maps"
	"slices"
	"time"

	"hitchdoor/internal/scheduler"

	"hitchdoor/internal/cluster"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
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

// tickRecovery advances the recovery, and steps down if the stored records can't be read in time.
func (l *leader) tickRecovery() {
	if !l.recordsLoaded && l.recovery.ReadingTimedOut(l.node.now) {
		l.node.stepDown("timeout reading stored records")
		return
	}
	if l.recovery.Completed() {
		return
	}
	for _, transition := range l.recovery.Advance(l.node.now, l.recoveryView()) {
		l.node.log.Info("recovery phase changed",
			"phase", transition.To, "after", transition.Duration, "timeout", transition.TimedOut,
			"machines", len(l.Machines), "mismatches", mismatchTotal(l.recovery.Counts()))
		l.SchedulingNeeded = true
		switch transition.To {
		case recovery.PhaseReconciling:
			l.noteUnresponsiveMachines()
		case recovery.PhasePacing:
			l.noteJobsNotRunning()
		}
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

// reportedTask is a task in a worker's heartbeat, with this leader's state of it.
type reportedTask struct {
	protocol.TaskStatus
	jobID   string
	index   int
	job     *cluster.Job         // nil: the job is not open
	attempt *cluster.TaskAttempt // the attempt at this task on this machine, whatever its number; nil: none
}

// isTracked reports whether this leader tracks the reported attempt on the machine.
func (x *reportedTask) isTracked() bool { return x.attempt != nil && x.attempt.Number == x.Attempt }

// lookUpReportedTask looks up the state of a task that a machine reports.
func (l *leader) lookUpReportedTask(machine *cluster.Machine, report protocol.TaskStatus) *reportedTask {
	task := &reportedTask{TaskStatus: report, attempt: machine.Attempts[report.TaskID]}
	var ok bool
	task.jobID, task.index, ok = cluster.ParseTaskKey(report.TaskID)
	if j := l.Jobs[task.jobID]; ok && j != nil && task.index < j.Spec.TaskCount {
		task.job = j
	}
	return task
}

// reportedTaskAction decides what to do with a reported task, and counts a mismatch if there is one.
func (l *leader) reportedTaskAction(machine *cluster.Machine, task *reportedTask, tokenAcknowledged bool) recovery.Action {
	facts := recovery.ReportedTask{JobState: l.reconciliationJobState(task.jobID, task.job),
		Exited: task.State == protocol.TaskExited, Completed: task.ExitReason == protocol.ExitDone,
		Tracked: task.isTracked(), TokenAcknowledged: tokenAcknowledged}
	if task.job != nil {
		currentAttempt := task.job.Attempts[task.index]
		facts.TrackedElsewhere = currentAttempt != nil && currentAttempt != task.attempt ||
			task.attempt != nil && !facts.Tracked
		facts.CompletionKnown = task.job.TaskState(task.index) == cluster.TaskDone
	}
	action, kind, differs := recovery.ReconcileTask(facts)
	if differs && (kind != recovery.JobNeverStored || l.node.jobReader.terminalJobsLoaded()) {
		l.noteMismatch(kind, machine.Name, task.TaskID)
	}
	return action
}

// reconciliationJobState is the state of a reported task's job, as the reconciliation needs it.
func (l *leader) reconciliationJobState(jobID string, job *cluster.Job) recovery.JobState {
	_, isTerminal := l.node.jobReader.terminalRecord(jobID)
	switch {
	case job != nil && job.Terminal || isTerminal || l.EndedJobs[jobID]:
		return recovery.JobStateTerminal
	case l.quarantine.unreadableJobs[jobID]:
		return recovery.JobStateQuarantined
	case job != nil:
		return recovery.JobStateOpen
	default:
		return recovery.JobStateUnknown
	}
}

// mayStopUnexpectedTask reports whether a task that should not be running may be stopped now. One
// whose job is terminal, or unknown, has the highest urgency.
func (l *leader) mayStopUnexpectedTask(job *cluster.Job) bool {
	if job == nil {
		return l.allowOperation(recovery.StopTask, recovery.CancelledWork, "")
	}
	return l.allowOperation(recovery.StopTask, urgencyOf(job), job.Spec.Team)
}

// noteOvercommitted counts a machine whose tasks use more cores than it has.
func (l *leader) noteOvercommitted(machine *cluster.Machine) {
	if machine.MachineType != nil && machine.UsedCores > machine.MachineType.Cores+cluster.ResourceTolerance {
		l.noteMismatch(recovery.MachineOvercommitted, machine.Name, "")
	}
}

// recoveryStatus is the state of recovery on this node, as operators see it.
func (n *Node) recoveryStatus() recovery.NodeStatus {
	status := recovery.NodeStatus{Node: n.cfg.Node, IsLeader: n.holdsLeaderLease()}
	if leaderPeer := n.leaderPeer(); leaderPeer != nil {
		status.LeaderName, status.Term = leaderPeer.name, leaderPeer.term
	}
	if status.IsLeader {
		current := n.leader
		status.LeaderName, status.Term = "", current.term
		status.Recovery = current.recovery.Status(n.now)
		status.Recovery.Term, status.Recovery.Paced = current.term,
			n.settings.PacedRecovery && len(current.Machines) >= n.settings.RecoveryMinMachines
		for _, record := range current.quarantine.recordsByKey() {
			status.Quarantined = append(status.Quarantined, record.status())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.unreadableTerminalRecords)) {
		status.Quarantined = append(status.Quarantined, n.unreadableTerminalRecords[id].status())
	}
	return status
}

// status describes a quarantined record to operators.
func (r *quarantinedRecord) status() recovery.QuarantinedRecord {
	return recovery.QuarantinedRecord{Key: r.key, Reason: r.reason, MaybeNewerVersion: r.fromNewerVersion}
}

// onRecoveryStatus answers an operator's request for the state of recovery.
func (n *Node) onRecoveryStatus(request Request) { n.reply(request.Origin, 200, 0, n.recoveryStatus()) }

// recoveryMetrics adds the metrics of recovery to a page.
func (n *Node) recoveryMetrics(page *metricsPage) {
	page.labelledGauge("recovery_mismatches", "Mismatches that this process has found in recoveries, by kind.", "kind",
		func(each func(label string, value float64)) {
			n.mismatches.ForEach(func(kind recovery.Mismatch, count int) { each(kind.String(), float64(count)) })
		})
	quarantined := len(n.unreadableTerminalRecords)
	if n.holdsLeaderLease() {
		current := n.leader
		quarantined += len(current.quarantine.records)
		page.gauge("recovery_phase",
			"The leader's phase of recovery: 0 reading, 1 collecting, 2 reconciling, 3 pacing, 4 normal.",
			float64(current.recovery.Phase()))
		budgets := current.recovery.Budgets(n.now)
		if len(budgets) > 0 {
			page.labelledGauge("recovery_budget", "Orders that may be given at once, by kind.", "order",
				func(each func(label string, value float64)) {
					for _, budget := range budgets {
						each(budget.Operation, budget.Remaining)
					}
				})
		}
	}
	page.gauge("records_set_aside", "Stored records that this node can't use.", float64(quarantined))
}

// mayReturnUnresponsive reports whether a machine without a heartbeat for so long may be returned.
func (l *leader) mayReturnUnresponsive(machine *cluster.Machine, silence time.Duration) bool {
	if machine.Reconciled {
		return silence > l.node.workerLease()*6/10
	}
	return l.recovery.MayReturnUnresponsive(silence)
}
