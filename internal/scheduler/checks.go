package scheduler

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
)

// slotUsage counts the scheduler slots of all machines that are up, and the taken ones by class
// of work: batch, and latency-sensitive (priorities prod and urgent).
type slotUsage struct {
	totalSlots                        float64
	batchTasks, latencySensitiveTasks int
	latencySensitiveDelayed           bool
}

// takenSlots returns the number of slots in use by both classes.
func (u *slotUsage) takenSlots() int { return u.batchTasks + u.latencySensitiveTasks }

// schedulingPass is the state shared by all checks and placements of one pass.
type schedulingPass struct {
	slotUsage
	cluster.MachineTotals
	machines []*cluster.Machine // candidates of this pass
}

// newSchedulingPass returns a pass without machines, from the current machine totals.
func (s *Scheduler) newSchedulingPass(latencySensitiveDelayed bool) *schedulingPass {
	pass := &schedulingPass{MachineTotals: s.CurrentMachineTotals()}
	pass.slotUsage = slotUsage{
		totalSlots: pass.MachineTotals.Slots, batchTasks: s.ActiveTasks[0], latencySensitiveTasks: s.ActiveTasks[1],
		latencySensitiveDelayed: latencySensitiveDelayed,
	}
	return pass
}

// scheduleQueue places tasks of the queued jobs on the machines of a pass. Within a rank,
// machines that already have the image come first: a fetch occupies cores without progress and
// may take as long as a task.
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

// firstRankSize returns how many jobs at the head of a queue share a rank.
func firstRankSize(queue []QueuedJob) int {
	count := 1
	for count < len(queue) && queue[count].Rank == queue[0].Rank {
		count++
	}
	return count
}

// scheduleRank places tasks of jobs that share a rank, and reports whether the pass may still have
// room: it has none once its only machine is full.
func (s *Scheduler) scheduleRank(sameRank []QueuedJob, pass *schedulingPass, mayPull bool) bool {
	for _, queued := range sameRank {
		s.CandidatesExamined++
		if len(pass.machines) == 1 && !pass.machines[0].HasSpareCapacity() {
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

// jobPlacement is the placement of one job's tasks in a pass.
type jobPlacement struct {
	job        *cluster.Job
	pass       *schedulingPass
	team       *config.Team
	teamUsage  *cluster.ResourceUsage
	mayPull    bool
	candidates *candidateHeap // nil until the first task passes the checks
}

// scheduleJob starts as many tasks of a job as the checks allow, at most maxTasks, and returns
// the check that stopped it.
func (s *Scheduler) scheduleJob(
	job *cluster.Job, pass *schedulingPass, mayPull bool, maxTasks int,
) cluster.WaitReason {
	if reason := s.checkJob(job, pass); reason != cluster.WaitNone {
		return reason
	}
	if job.FailsEverywhere {
		maxTasks = 1 // one task probes whether the job still fails
	}
	placement := jobPlacement{job: job, pass: pass, mayPull: mayPull,
		team: s.Config.Team(job.Spec.Team), teamUsage: s.TeamUsage[job.Spec.Team]}
	reason := cluster.WaitNone
	noneSkipped := true // no pending task has been skipped yet
	for index := job.FirstPendingTask; index < job.Spec.TaskCount; index++ {
		if job.PendingTasks == 0 || maxTasks <= 0 {
			return reason
		}
		if job.TaskState(index) != cluster.TaskPending {
			if noneSkipped {
				job.FirstPendingTask = index + 1 // avoids scanning up to 100,000 tasks again
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

// checkJob makes the checks that hold for all tasks of a job alike, before those of each task.
func (s *Scheduler) checkJob(job *cluster.Job, pass *schedulingPass) cluster.WaitReason {
	if job.Quarantined {
		return cluster.WaitQuarantine
	}
	if s.Host.MayRunUnreported(job, &pass.MachineTotals) {
		return cluster.WaitReconciliation
	}
	if job.FailsEverywhere && s.RunsPastFailurePoint(job) {
		job.FailsEverywhere, job.FailedProbes = false, 0
		s.Log.Info("job no longer fails everywhere", "job", job.Spec.ID)
	}
	if job.FailsEverywhere && (len(job.Attempts) > 0 || s.Clock.Now() < job.NextProbeAt) {
		return cluster.WaitBackoff
	}
	if s.Config.Team(job.Spec.Team) == nil || s.TeamUsage[job.Spec.Team] == nil {
		return cluster.WaitTeamQuota
	}
	return cluster.WaitNone
}

// taskOutcome is what became of one task in a pass: it was placed, or reason says why not.
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

// placeTask places a task on a machine and counts it in the pass.
func (s *Scheduler) placeTask(placement *jobPlacement, index int, machine *cluster.Machine) {
	if machine.Draining && machine.DrainReason == cluster.SurplusCapacity {
		s.CancelDrain(machine)
	}
	s.PlaceAttempt(&cluster.TaskAttempt{
		Job: placement.job, TaskIndex: index, Number: s.Host.NextAttemptNumber(), Machine: machine,
		Phase: cluster.AttemptAssigned, AssignedAt: s.Clock.Now(),
	})
	placement.candidates.rescore(machine)
	if cluster.IsLatencySensitive(&placement.job.Spec) {
		placement.pass.latencySensitiveTasks++
	} else {
		placement.pass.batchTasks++
	}
}

// checkLimits makes the three checks for one more task of a job, in order: scheduler slots, team
// quota, overall quota.
func (s *Scheduler) checkLimits(placement *jobPlacement) cluster.WaitReason {
	pass := placement.pass
	switch {
	case !s.hasFreeSlot(placement.job, pass):
		return cluster.WaitSlots
	case exceedsTeamQuota(placement):
		return cluster.WaitTeamQuota
	case float64(pass.takenSlots()+1) > pass.totalSlots:
		return cluster.WaitOverallQuota
	}
	return cluster.WaitNone
}

// exceedsTeamQuota reports whether one more task of the job would exceed its team's quota, with all
// that may be in use unknown to this leader. A quota of 0 is none.
func exceedsTeamQuota(placement *jobPlacement) bool {
	team, used, unknown := placement.team, placement.teamUsage, &placement.pass.UnknownUsage
	spec := &placement.job.Spec
	cores := used.Cores + unknown.Cores + spec.Cores
	accelerators := used.Accelerators + unknown.Accelerators + spec.Accelerators
	return team.MaxCPUs > 0 && cores > team.MaxCPUs+cluster.ResourceTolerance ||
		team.MaxGPUs > 0 && accelerators > team.MaxGPUs+cluster.ResourceTolerance
}

// hasFreeSlot reports whether the job's class has a free scheduler slot. Batch work borrows the
// slots reserved for latency-sensitive work unless that is delayed.
func (s *Scheduler) hasFreeSlot(job *cluster.Job, pass *schedulingPass) bool {
	if cluster.IsLatencySensitive(&job.Spec) {
		return float64(pass.latencySensitiveTasks+1) <= pass.totalSlots
	}
	limit := pass.totalSlots
	if pass.latencySensitiveDelayed {
		limit *= s.Settings.BatchShare
	}
	return float64(pass.batchTasks+1) <= limit
}
