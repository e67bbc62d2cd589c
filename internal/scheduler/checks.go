package scheduler

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
)

// slotUsage counts the scheduler slots of all machines that are up, and the slots that tasks occupy, by
// kind of work: batch, and latency-sensitive (priorities prod and urgent).
type slotUsage struct {
	totalSlots                        float64
	batchSlots, latencySensitiveSlots float64
	latencySensitiveDelayed           bool // batch tasks must not borrow slots; see withinSlotLimit
}

// takenSlots returns the number of slots that tasks of both kinds of work occupy.
func (u *slotUsage) takenSlots() float64 { return u.batchSlots + u.latencySensitiveSlots }

// schedulingPass holds what all checks and placements of one scheduling pass share.
type schedulingPass struct {
	slotUsage
	cluster.MachineTotals
	machines []*cluster.Machine // machines on which the pass may place tasks
}

// newSchedulingPass returns a pass with the current machine totals. The caller adds the machines.
func (s *Scheduler) newSchedulingPass(latencySensitiveDelayed bool) *schedulingPass {
	pass := &schedulingPass{MachineTotals: s.CurrentMachineTotals()}
	pass.slotUsage = slotUsage{
		totalSlots: pass.MachineTotals.Slots, batchSlots: s.UsedSlots[0].Slots(),
		latencySensitiveSlots:   s.UsedSlots[1].Slots(),
		latencySensitiveDelayed: latencySensitiveDelayed,
	}
	return pass
}

// scheduleQueue places tasks of the queued jobs on the machines of a pass. For each rank, it tries the
// machines that already have the job's image first: pulling an image occupies cores without progress
// and may take as long as a task.
func (s *Scheduler) scheduleQueue(pass *schedulingPass) {
	for queue := s.PendingOrder; len(queue) > 0; {
		sameRank := queue[:firstRankSize(queue)]
		for _, mayPull := range []bool{false, true} {
			if !s.scheduleRank(sameRank, pass, mayPull) {
				return
			}
		}
		queue = queue[len(sameRank):]
	}
}

// firstRankSize returns the number of jobs at the head of a non-empty queue that share a rank.
func firstRankSize(queue []QueuedJob) int {
	count := 1
	for count < len(queue) && queue[count].Rank == queue[0].Rank {
		count++
	}
	return count
}

// scheduleRank places tasks of jobs that share a rank. It returns false, which ends the pass, if the
// pass has only one machine and that machine is full.
func (s *Scheduler) scheduleRank(sameRank []QueuedJob, pass *schedulingPass, mayPull bool) bool {
	for _, queued := range sameRank {
		s.CandidatesExamined++
		if len(pass.machines) == 1 && !s.mayHaveRoom(pass.machines[0]) {
			return false
		}
		job := queued.Job
		if job.PendingTasks == 0 || job.Terminal {
			continue
		}
		maxTasks := job.PendingTasks
		if queued.Rank == rankOverdue {
			maxTasks = job.Spec.TaskCount/cluster.OverdueTaskDivisor + 1 - len(job.Attempts)
		}
		previous := job.BlockedBy
		job.BlockedBy = s.scheduleJob(job, pass, mayPull, maxTasks)
		s.Host.TraceBlocked(job, previous)
	}
	return true
}

// jobPlacement holds what the placements of one job's tasks in a pass share.
type jobPlacement struct {
	job        *cluster.Job
	pass       *schedulingPass
	team       *config.Team
	teamUsage  *cluster.ResourceUsage
	taskSlots  float64 // scheduler slots that one task occupies
	mayPull    bool
	candidates *candidateHeap // nil until the first task passes the checks
}

// scheduleJob places as many pending tasks of a job as the checks allow, at most maxTasks. It returns
// the last check that failed, or WaitNone.
func (s *Scheduler) scheduleJob(
	job *cluster.Job, pass *schedulingPass, mayPull bool, maxTasks int,
) cluster.WaitReason {
	if reason := s.checkJob(job, pass); reason != cluster.WaitNone {
		return reason
	}
	if job.FailsEverywhere {
		maxTasks = 1 // a single task probes whether the job still fails
	}
	placement := jobPlacement{job: job, pass: pass, mayPull: mayPull, taskSlots: s.TaskSlots(&job.Spec).Slots(),
		team: s.Config.Team(job.Spec.Team), teamUsage: s.TeamUsage[job.Spec.Team]}
	reason := cluster.WaitNone
	noneSkipped := true // all tasks with a lower index are active or done
	for index := job.FirstPendingTask; index < job.Spec.TaskCount; index++ {
		if job.PendingTasks == 0 || maxTasks <= 0 {
			return reason
		}
		if job.TaskState(index) != cluster.TaskPending {
			if noneSkipped {
				job.FirstPendingTask = index + 1 // later passes need not scan up to 100,000 tasks again
			}
			continue
		}
		noneSkipped = false
		outcome := s.scheduleTask(&placement, index)
		switch {
		case outcome.stopsJob:
			return outcome.reason
		case outcome.reason != cluster.WaitNone:
			reason = outcome.reason
		default:
			maxTasks--
		}
	}
	return reason
}

// checkJob makes the checks that have the same outcome for all tasks of a job. It returns the first
// check that fails, or WaitNone.
func (s *Scheduler) checkJob(job *cluster.Job, pass *schedulingPass) cluster.WaitReason {
	if job.Quarantined {
		return cluster.WaitQuarantine
	}
	if s.Host.MayRunUnreported(job, &pass.MachineTotals) {
		return cluster.WaitReconciliation
	}
	if job.FailsEverywhere && s.RunsPastFailurePoint(job) {
		job.FailsEverywhere, job.FailedProbes = false, 0
		s.Log.Info("a task has run longer than the failed ones, retrying all tasks of the job", "job", job.Spec.ID)
	}
	if job.FailsEverywhere && (len(job.Attempts) > 0 || s.Clock.Now() < job.NextProbeAt) {
		return cluster.WaitBackoff
	}
	if s.Config.Team(job.Spec.Team) == nil || s.TeamUsage[job.Spec.Team] == nil {
		return cluster.WaitTeamQuota
	}
	return cluster.WaitNone
}

// taskOutcome is the result of scheduling one task: reason is WaitNone if the task was placed, and
// otherwise the check that failed.
type taskOutcome struct {
	reason   cluster.WaitReason
	stopsJob bool // the job's other tasks would fail the same check
}

// scheduleTask checks and places one pending task.
func (s *Scheduler) scheduleTask(placement *jobPlacement, index int) taskOutcome {
	job := placement.job
	history := job.FailureHistories[index]
	if history != nil && s.Clock.Now() < history.RetryAfter {
		return taskOutcome{reason: cluster.WaitBackoff}
	}
	if limit := s.checkLimits(placement); limit != cluster.WaitNone {
		return taskOutcome{reason: limit, stopsJob: true}
	}
	avoidedMachine := ""
	if history != nil && s.Clock.Now() < history.AvoidUntil {
		avoidedMachine = history.AvoidedMachine
	}
	if placement.candidates == nil {
		placement.candidates = s.FindCandidates(job, placement.pass.machines, placement.mayPull)
	}
	machine := placement.candidates.BestMachine(avoidedMachine)
	switch {
	case machine != nil:
		s.placeTask(placement, index, machine)
		return taskOutcome{}
	case avoidedMachine != "":
		return taskOutcome{reason: cluster.WaitCapacity}
	case placement.candidates.slowPullExcluded:
		return taskOutcome{reason: cluster.WaitImage, stopsJob: true}
	default:
		return taskOutcome{reason: cluster.WaitCapacity, stopsJob: true}
	}
}

// placeTask places a task on a machine and counts it in the pass. If the machine is draining because it
// is surplus, the drain is cancelled.
func (s *Scheduler) placeTask(placement *jobPlacement, index int, machine *cluster.Machine) {
	if machine.Draining && machine.DrainReason == cluster.SurplusCapacity {
		s.CancelDrain(machine)
	}
	if machine.Unhealthy {
		machine.ProbedAt = s.Clock.Now()
	}
	s.PlaceAttempt(&cluster.TaskAttempt{
		Job: placement.job, TaskIndex: index, Number: s.Host.NextAttemptNumber(), Machine: machine,
		Phase: cluster.AttemptAssigned, AssignedAt: s.Clock.Now(),
	})
	placement.candidates.rescore(machine)
	if cluster.IsLatencySensitive(&placement.job.Spec) {
		placement.pass.latencySensitiveSlots += placement.taskSlots
	} else {
		placement.pass.batchSlots += placement.taskSlots
	}
}

// checkLimits checks whether the limits allow one more task of a job, in this order: scheduler slots,
// team quota, overall quota. It returns the first limit that does not, or WaitNone.
//
// The slots and the overall quota hold work back until slots become free, but no longer than until the job
// has been pending for maxPendingBesideRoom. From then on, only the team's quota and the room on the machines
// hold it back.
func (s *Scheduler) checkLimits(placement *jobPlacement) cluster.WaitReason {
	needsSlots := !s.pendingTooLong(placement.job)
	switch {
	case needsSlots && !s.withinSlotLimit(placement):
		return cluster.WaitSlots
	case exceedsTeamQuota(placement):
		return cluster.WaitTeamQuota
	case needsSlots && exceedsSlots(placement, placement.pass.takenSlots(), placement.pass.totalSlots):
		return cluster.WaitOverallQuota
	}
	return cluster.WaitNone
}

// exceedsSlots reports whether one more task of the job would take more slots than the limit, in addition to
// those that are taken.
func exceedsSlots(placement *jobPlacement, taken, limit float64) bool {
	return taken+placement.taskSlots > limit+cluster.ResourceTolerance
}

// exceedsTeamQuota reports whether one more task of the job would exceed its team's quota. All resources
// that attempts unknown to this leader may use are added to the team's usage. A quota of 0 means no limit.
func exceedsTeamQuota(placement *jobPlacement) bool {
	team, used, unknown := placement.team, placement.teamUsage, &placement.pass.UnknownUsage
	spec := &placement.job.Spec
	cores := used.Cores + unknown.Cores + spec.Cores
	accelerators := used.Accelerators + unknown.Accelerators + spec.Accelerators
	return team.MaxCPUs > 0 && cores > team.MaxCPUs+cluster.ResourceTolerance ||
		team.MaxGPUs > 0 && accelerators > team.MaxGPUs+cluster.ResourceTolerance
}

// withinSlotLimit reports whether one more task of the job keeps its kind of work, batch or
// latency-sensitive, within that kind's limit. Either kind may take all slots, except that batch work is
// limited to the share BatchShare while latency-sensitive work is delayed. Tasks of the other kind are
// not counted here: the caller compares the tasks of both kinds with the total.
func (s *Scheduler) withinSlotLimit(placement *jobPlacement) bool {
	pass := placement.pass
	if cluster.IsLatencySensitive(&placement.job.Spec) {
		return !exceedsSlots(placement, pass.latencySensitiveSlots, pass.totalSlots)
	}
	limit := pass.totalSlots
	if pass.latencySensitiveDelayed {
		limit *= s.Settings.BatchShare
	}
	return !exceedsSlots(placement, pass.batchSlots, limit)
}
