package coordination

import (
	"maps"
	"slices"
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
)

// newRecovery starts the recovery of a new leader.
func (n *Node) newRecovery() *recovery.Recovery { return recovery.New(n.recoverySettings(), n.now) }

// recoverySettings are the intervals and limits of a recovery, from the node's settings.
func (n *Node) recoverySettings() recovery.Settings {
	return recovery.Settings{
		Report: n.report(), Lease: leaseOver(n.lease()),
		Limits: recovery.Limits{Refill: n.set.RecoveryRefill, Replace: n.set.RecoveryReplace},
	}
}

// tickRecovery advances the recovery, and steps down if the stored records can't be read in time.
func (l *leadership) tickRecovery() {
	if !l.loaded && l.recovery.ReadingTooLong(l.n.now) {
		l.n.stepDown("timeout reading stored records")
		return
	}
	if l.recovery.Over() {
		return
	}
	for _, moved := range l.recovery.Advance(l.n.now, l.recoveryView()) {
		l.n.log.Info("recovery phase changed",
			"phase", moved.To, "after", moved.After, "timeout", moved.Bound,
			"machines", len(l.machines), "mismatches", mismatchTotal(l.recovery.Counts()))
		l.dirty = true
		switch moved.To {
		case recovery.Reconciling:
			l.noteSilentMachines()
		case recovery.Pacing:
			l.noteIdleJobs()
		}
	}
}

// recoveryView is the state of the cluster that the recovery depends on.
func (l *leadership) recoveryView() recovery.View {
	totals := l.currentTotals()
	return recovery.View{RecordsRead: l.loaded, NamesMissing: l.namesMissing(),
		Machines: len(l.machines), Unaccounted: totals.unaccounted,
		Cores: totals.held, LargestCores: totals.largest}
}

// mismatchTotal is the number of mismatches of all kinds. Tasks that are as stored don't count.
func mismatchTotal(counts recovery.Counts) int {
	total := 0
	counts.Each(func(kind recovery.Mismatch, count int) {
		if kind != recovery.AsStored {
			total += count
		}
	})
	return total
}

// noteMismatch counts a mismatch, for this leader and for this process.
func (l *leadership) note(kind recovery.Mismatch, machine, subject string) {
	if l.recovery.Note(l.n.now, kind, machine, subject) {
		l.n.mismatches[kind]++
	}
}

// noteUnresponsiveMachines counts, at the end of the collecting phase, the machines that have not
// sent a heartbeat.
func (l *leadership) noteSilentMachines() {
	for _, m := range l.held() {
		if !m.accounted && m.heard == never {
			l.note(recovery.MachineSilent, m.name, "")
		}
	}
}

// noteJobsNotRunning counts, once all machines are reconciled, the jobs of earlier leaders that no
// worker reports a task of.
func (l *leadership) noteIdleJobs() {
	for _, j := range l.byAge() {
		if j.version <= l.writer.LeaderVer && len(j.runs) == 0 && j.pending > 0 {
			l.note(recovery.JobNotRunning, "", j.spec.UID)
		}
	}
}

// limitedByRecovery reports whether the recovery limits what this leader does: it is enabled for
// fleets of this size and not completed. Small fleets are exempt: in a simulated day of 40
// machines, on which all controllers ended six times while their workers were cut off, delaying
// rentals reduced the jobs completed in time by a third.
func (l *leadership) restrained() bool {
	return l.n.set.Recovery && !l.recovery.Over() && len(l.machines) >= l.n.set.RecoveryFrom
}

// mayScaleOut reports whether machines may be rented.
func (l *leadership) mayRent() bool { return !l.restrained() || l.recovery.MayRent() }

// mayScaleIn reports whether machines may be returned because there are too many.
func (l *leadership) mayShrink() bool { return !l.restrained() || l.recovery.MayShrink() }

// allowOperation reports whether an operation is within the recovery's budgets now, and takes it
// from its budget.
func (l *leadership) allowOrder(order recovery.Order, urgency recovery.Urgency, team string) bool {
	return !l.restrained() || l.recovery.Allow(l.n.now, order, urgency, team)
}

// allowedOperations is how many of count operations on machines are within the budget now. It takes
// them from the budget.
func (l *leadership) affordable(order recovery.Order, count int) int {
	for i := range count {
		if !l.allowOrder(order, recovery.Pressing, "") {
			return i
		}
	}
	return count
}

// urgencyOf is the urgency of operations on a job's tasks.
func urgencyOf(j *job) recovery.Urgency {
	switch {
	case j.gone:
		return recovery.Cancelled
	case j.rank() <= rankPressing:
		return recovery.Pressing
	default:
		return recovery.Ordinary
	}
}

// startsPerResponseDivisor bounds the tasks that one response starts while starts are paced: one per
// so many cores of the machine. The budget is then spread over more machines, and these send
// their next heartbeat as soon as the tasks start.
const startsPerAnswer = 4

// mayStartTask reports whether a response that starts some tasks already may start one more.
func (l *leadership) mayStart(r *run, already int) bool {
	if !l.restrained() {
		return true
	}
	if most := max(1, int(r.m.kind.Cores/startsPerAnswer)); already >= most {
		return false
	}
	return l.allowOrder(recovery.StartTask, urgencyOf(r.job), r.job.spec.Team)
}

// mayRunUnreported reports whether tasks of a job may be running on machines that are not reconciled.
// An earlier leader can't have started a job that was accepted after the leader key was written,
// nor one that depends on a job whose end this leader has written. Nor can a job be running there
// that may use none of those machines.
func (l *leadership) mayRunUnseen(j *job, totals *machineTotals) bool {
	if totals.complete || j.version > l.writer.LeaderVer || j.fresh {
		return false
	}
	if totals.anything {
		return true
	}
	for o := range totals.unknownOptions {
		// Only the constraints are checked: the sizes in the catalogue may have been different
		// when an earlier leader placed the job.
		if o.MayServe(&j.spec) {
			return true
		}
	}
	return false
}

// reportedTask is a task in a worker's heartbeat, with this leader's state of it.
type reportedTask struct {
	protocol.TaskReport
	jobID string
	index int
	job   *job // nil: the job is not open
	run   *run // the attempt at this task on this machine, whatever its number; nil: none
}

// isTracked reports whether this leader tracks the reported attempt on the machine.
func (x *reportedTask) followed() bool { return x.run != nil && x.run.attempt == x.Attempt }

// lookUpReportedTask looks up the state of a task that a machine reports.
func (l *leadership) reportedTask(m *machine, t protocol.TaskReport) *reportedTask {
	x := &reportedTask{TaskReport: t, run: m.runs[t.Task]}
	var ok bool
	x.jobID, x.index, ok = splitTask(t.Task)
	if j := l.jobs[x.jobID]; ok && j != nil && x.index < j.spec.Tasks {
		x.job = j
	}
	return x
}

// reportedTaskAction decides what to do with a reported task, and counts a mismatch if there is one.
func (l *leadership) judgeTask(m *machine, x *reportedTask, tokenShown bool) recovery.Action {
	facts := recovery.Task{Job: l.jobState(x.jobID, x.job),
		Exited: x.State == protocol.TaskExited, Done: x.Why == protocol.WhyDone,
		Followed: x.followed(), TokenShown: tokenShown}
	if x.job != nil {
		other := x.job.runs[x.index]
		facts.Elsewhere = other != nil && other != x.run ||
			x.run != nil && !facts.Followed
		facts.Finished = x.job.taskState(x.index) == taskDone
	}
	action, kind, differs := recovery.Decide(facts)
	if differs && (kind != recovery.JobNeverStored || l.n.finals.read) {
		l.note(kind, m.name, x.Task)
	}
	return action
}

// reconciliationJobState is the state of a reported task's job, as the reconciliation needs it.
func (l *leadership) jobState(id string, j *job) recovery.JobState {
	_, over := l.n.finals.byID[id]
	switch {
	case j != nil && j.gone || over || l.over[id]:
		return recovery.JobOver
	case l.quarantine.jobs[id]:
		return recovery.JobUnread
	case j != nil:
		return recovery.JobAccepted
	default:
		return recovery.JobUnknown
	}
}

// mayStopUnexpectedTask reports whether a task that should not be running may be stopped now. One
// whose job is terminal, or unknown, has the highest urgency.
func (l *leadership) mayStopUnknown(j *job) bool {
	if j == nil {
		return l.allowOrder(recovery.StopTask, recovery.Cancelled, "")
	}
	return l.allowOrder(recovery.StopTask, urgencyOf(j), j.spec.Team)
}

// noteOvercommitted counts a machine whose tasks use more cores than it has.
func (l *leadership) noteOverCommitted(m *machine) {
	if m.kind != nil && m.cores > m.kind.Cores+slack {
		l.note(recovery.OverCommitted, m.name, "")
	}
}

// recoveryStatus is the state of recovery on this node, as operators see it.
func (n *Node) recoveryStatus() recovery.NodeStatus {
	s := recovery.NodeStatus{Node: n.cfg.Node, Leads: n.authority()}
	if leader := n.leaderPeer(); leader != nil {
		s.Follows, s.Term = leader.name, leader.term
	}
	if s.Leads {
		l := n.lead
		s.Follows, s.Term = "", l.term
		s.Recovery = l.recovery.Status(n.now)
		s.Recovery.Term, s.Recovery.Paced = l.term,
			n.set.Recovery && len(l.machines) >= n.set.RecoveryFrom
		for _, record := range l.quarantine.list() {
			s.SetAside = append(s.SetAside, record.status())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.unreadFinals)) {
		s.SetAside = append(s.SetAside, n.unreadFinals[id].status())
	}
	return s
}

// status describes a quarantined record to operators.
func (r *damagedRecord) status() recovery.Record {
	return recovery.Record{Key: r.key, Reason: r.reason, Newer: r.newer}
}

// onRecoveryStatus answers an operator's request for the state of recovery.
func (n *Node) onRecovery(r Request) { n.reply(r.Origin, 200, 0, n.recoveryStatus()) }

// recoveryMetrics adds the metrics of recovery to a page.
func (n *Node) recoveryMetrics(p *metricsPage) {
	p.labelled("recovery_mismatches", "Mismatches that this process has found in recoveries, by kind.", "kind",
		func(each func(label string, value float64)) {
			n.mismatches.Each(func(kind recovery.Mismatch, count int) { each(kind.String(), float64(count)) })
		})
	setAside := len(n.unreadFinals)
	if n.authority() {
		l := n.lead
		setAside += len(l.quarantine.records)
		p.gauge("recovery_phase",
			"The leader's phase of recovery: 0 reading, 1 collecting, 2 reconciling, 3 pacing, 4 normal.",
			float64(l.recovery.Phase()))
		budgets := l.recovery.Budgets(n.now)
		if len(budgets) > 0 {
			p.labelled("recovery_budget", "Orders that may be given at once, by kind.", "order",
				func(each func(label string, value float64)) {
					for _, b := range budgets {
						each(b.Order, b.Left)
					}
				})
		}
	}
	p.gauge("records_set_aside", "Stored records that this node can't use.", float64(setAside))
}

// mayReturnUnresponsive reports whether a machine without a heartbeat for so long may be returned.
func (l *leadership) silenceAllows(m *machine, silence time.Duration) bool {
	if m.accounted {
		return silence > l.n.lease()*6/10
	}
	return l.recovery.MayReturnSilent(silence)
}
