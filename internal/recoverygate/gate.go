// Package recoverygate applies the limits of a new leader's recovery to rentals and returns of machines
// and to commands to workers, and decides which jobs may be running on machines that have not reported yet.
package recoverygate

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/recovery"
)

// Gate applies the limits of a new leader's recovery to its decisions. It decides whether machines
// may be rented or returned to the cloud, how many commands may be sent to workers now, and which jobs
// may be running on unreconciled machines (tasks unknown to the leader may be running there). It owns
// the leader's recovery.Recovery and passes it views of the cluster state.
type Gate struct {
	state    *cluster.State
	recovery *recovery.Recovery
	// leaderRevision is the revision of the key-value store at which this leader wrote the leader
	// key. Records with a later revision were written in this leader's term.
	leaderRevision uint64
	// processMismatches counts the mismatches of all recoveries in this process, for the metrics.
	processMismatches *recovery.MismatchCounts
}

// New starts the recovery of a new leader. leaderRevision is the revision at which the leader key was
// written. Mismatches are also added to processMismatches.
func New(state *cluster.State, leaderRevision uint64, processMismatches *recovery.MismatchCounts) *Gate {
	return &Gate{
		state: state, recovery: recovery.New(RecoverySettings(state.Config, state.Settings), state.Clock.Now()),
		leaderRevision: leaderRevision, processMismatches: processMismatches,
	}
}

// RecoverySettings derives the intervals and limits of a recovery from a controller's settings.
func RecoverySettings(platform *config.Cluster, settings *config.Settings) recovery.Settings {
	return recovery.Settings{
		HeartbeatInterval: config.Seconds(platform.Workers.HeartbeatIntervalS),
		WorkerLease:       clock.WorkerLeaseTimeout(platform.WorkerLease()),
		Limits: recovery.Limits{
			RefillLeases: settings.RecoveryRefillLeases, ReplaceLeases: settings.RecoveryReplaceLeases,
		},
	}
}

// ReadingTimedOut reports whether reading the records has taken so long that this leader should step
// down and another one should try.
func (g *Gate) ReadingTimedOut() bool { return g.recovery.ReadingTimedOut(g.state.Clock.Now()) }

// Phase returns the current phase of the recovery.
func (g *Gate) Phase() recovery.Phase { return g.recovery.Phase() }

// Completed reports whether the recovery has reached recovery.PhaseNormal.
func (g *Gate) Completed() bool { return g.recovery.Completed() }

// Counts returns the mismatches that this leader has counted so far.
func (g *Gate) Counts() recovery.MismatchCounts { return g.recovery.Counts() }

// Budgets returns the current budgets, or nil if the recovery is completed.
func (g *Gate) Budgets() []recovery.Budget { return g.recovery.Budgets(g.state.Clock.Now()) }

// Status returns the state of the recovery for operators. term is this leader's term.
func (g *Gate) Status(term uint64) *recovery.Status {
	status := g.recovery.Status(g.state.Clock.Now())
	status.Term, status.Paced = term, g.appliesToFleet()
	return status
}

// Advance moves the recovery to the phase that the cluster state requires. recordsRead tells whether
// all stored records have been read.
func (g *Gate) Advance(recordsRead bool) {
	if g.recovery.Completed() {
		return
	}
	for _, transition := range g.recovery.Advance(g.state.Clock.Now(), g.view(recordsRead)) {
		g.onTransition(transition)
	}
}

// onTransition logs a phase transition, requests a scheduling pass, and counts the mismatches that
// become known with the transition.
func (g *Gate) onTransition(transition recovery.Transition) {
	// after is the duration of the phase that ended, and timeout tells whether it ended by its timeout
	// rather than by its condition.
	g.state.Log.Info("recovery phase changed",
		"phase", transition.To, "after", transition.Duration, "timeout", transition.TimedOut,
		"machines", len(g.state.Machines), "mismatches", mismatchTotal(g.recovery.Counts()))
	g.state.SchedulingNeeded = true
	switch transition.To {
	case recovery.PhaseReconciling:
		g.noteUnresponsiveMachines()
	case recovery.PhasePacing:
		g.noteJobsNotRunning()
	}
}

// view returns the summary of the cluster state that the recovery depends on.
func (g *Gate) view(recordsRead bool) recovery.View {
	totals := g.state.CurrentMachineTotals()
	return recovery.View{RecordsRead: recordsRead, InventoryIncomplete: g.state.InventoryIncomplete(),
		Machines: len(g.state.Machines), Unreconciled: totals.UnreconciledMachines,
		Cores: totals.TotalCores, LargestCores: totals.LargestMachineCores}
}

// mismatchTotal returns the number of mismatches of all kinds. It leaves out recovery.MatchesRecord, which
// is no mismatch.
func mismatchTotal(counts recovery.MismatchCounts) int {
	total := 0
	counts.ForEach(func(kind recovery.Mismatch, count int) {
		if kind != recovery.MatchesRecord {
			total += count
		}
	})
	return total
}

// NoteMismatch counts a mismatch for this leader, and for this process if it is new to the leader.
// subject is a task key, a job ID, or empty.
func (g *Gate) NoteMismatch(kind recovery.Mismatch, machine, subject string) {
	if g.recovery.NoteMismatch(g.state.Clock.Now(), kind, machine, subject) {
		g.processMismatches[kind]++
	}
}

// noteUnresponsiveMachines counts the machines that have not sent a heartbeat as mismatches. It is
// called at the end of the collecting phase.
func (g *Gate) noteUnresponsiveMachines() {
	for _, machine := range g.state.MachinesByName() {
		if !machine.Reconciled && machine.LastHeartbeat == clock.Never {
			g.NoteMismatch(recovery.MachineUnresponsive, machine.Name, "")
		}
	}
}

// noteJobsNotRunning counts the jobs of earlier terms of which no worker reports a task as
// mismatches. It is called when the reconciling phase has ended.
func (g *Gate) noteJobsNotRunning() {
	for _, job := range g.state.JobsByAge() {
		if job.RecordRevision <= g.leaderRevision && len(job.Attempts) == 0 && job.PendingTasks > 0 {
			g.NoteMismatch(recovery.JobNotRunning, "", job.Spec.ID)
		}
	}
}

// Limited reports whether the recovery limits the operations of this leader. It does so until it is
// completed, if it applies to this fleet.
func (g *Gate) Limited() bool { return !g.recovery.Completed() && g.appliesToFleet() }

// appliesToFleet reports whether a recovery limits the leader of a fleet of the current size. Small
// fleets are exempt: in a simulated day of 40 machines, in which all controllers ended six times
// while their workers were cut off, delayed rentals reduced the jobs completed in time by a third.
func (g *Gate) appliesToFleet() bool {
	return g.state.Settings.PacedRecovery && len(g.state.Machines) >= g.state.Settings.RecoveryMinMachines
}

// MayScaleOut reports whether the recovery allows machines to be rented.
func (g *Gate) MayScaleOut() bool { return !g.Limited() || g.recovery.MayScaleOut() }

// MayScaleIn reports whether the recovery allows surplus machines to be returned to the cloud.
func (g *Gate) MayScaleIn() bool { return !g.Limited() || g.recovery.MayScaleIn() }

// MayReturnUnresponsive reports whether a machine that has sent no heartbeat for the duration of silence
// may be returned to the cloud.
func (g *Gate) MayReturnUnresponsive(machine *cluster.Machine, silence time.Duration) bool {
	if machine.Reconciled {
		return silence > g.state.Config.WorkerLease()*6/10
	}
	return g.recovery.MayReturnUnresponsive(silence)
}

// allowOperation reports whether an operation is within its budget now. If so, it takes the operation
// from the budget. team is empty for operations that belong to no team.
func (g *Gate) allowOperation(operation recovery.Operation, urgency recovery.Urgency, team string) bool {
	return !g.Limited() || g.recovery.Allow(g.state.Clock.Now(), operation, urgency, team)
}

// AllowedOperations returns how many of count rentals or returns of machines are within the budget now,
// and takes those from the budget.
func (g *Gate) AllowedOperations(operation recovery.Operation, count int) int {
	for i := range count {
		if !g.allowOperation(operation, recovery.LatencySensitive, "") {
			return i
		}
	}
	return count
}

// RefundOperations refunds count operations that were taken from the budget but not carried out.
func (g *Gate) RefundOperations(operation recovery.Operation, count int) {
	g.recovery.RefundOperations(g.state.Clock.Now(), operation, count)
}

// startsPerResponseDivisor is the number of machine cores for which one response may start one task
// while starts are paced. The bound spreads the budget over more machines, and each machine sends its
// next heartbeat as soon as its tasks start.
const startsPerResponseDivisor = 4

// MayStartTask reports whether a response that already starts startedCount tasks may also start
// attempt. If so, it takes the start from the budget.
func (g *Gate) MayStartTask(attempt *cluster.TaskAttempt, startedCount int) bool {
	if !g.Limited() {
		return true
	}
	if maxStarts := max(1, int(attempt.Machine.MachineType.Cores/startsPerResponseDivisor)); startedCount >= maxStarts {
		return false
	}
	return g.allowOperation(recovery.StartTask, urgencyOf(attempt.Job), attempt.Job.Spec.Team)
}

// MayStopTask reports whether a task of a job may be stopped now. If so, it takes the stop from the
// budget. job is nil if the job is not open. No task of such a job should be running, so stopping it has
// the highest urgency.
func (g *Gate) MayStopTask(job *cluster.Job) bool {
	if job == nil {
		return g.allowOperation(recovery.StopTask, recovery.CancelledWork, "")
	}
	return g.allowOperation(recovery.StopTask, urgencyOf(job), job.Spec.Team)
}

// urgencyOf returns the urgency of operations on a job's tasks.
func urgencyOf(job *cluster.Job) recovery.Urgency {
	switch {
	case job.Terminal:
		return recovery.CancelledWork
	case job.EffectiveRank() <= cluster.RankLatencySensitive:
		return recovery.LatencySensitive
	default:
		return recovery.OrdinaryWork
	}
}

// MayRunUnreported reports whether tasks of a job may be running on unreconciled machines. An earlier
// leader can't have started a job that was accepted after the leader key was written, or one that
// depends on a job whose terminal record this leader has written. A job can't be running on those
// machines either if its constraints exclude all of them.
func (g *Gate) MayRunUnreported(job *cluster.Job, totals *cluster.MachineTotals) bool {
	if totals.AllReconciled || job.RecordRevision > g.leaderRevision || job.ReleasedThisTerm {
		return false
	}
	if totals.UnreconciledTypeUnknown || job.Spec.AllowsNoMachine() {
		return true // an earlier version may have started tasks of a job that allows no machine
	}
	for offering := range totals.UnreconciledOfferings {
		// Only the constraints are checked, because the sizes in the catalog may have been
		// different when an earlier leader placed the job.
		if offering.MatchesConstraints(&job.Spec) {
			return true
		}
	}
	return false
}
