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
func (s *slotUsage) takenSlots() int { return s.batchTasks + s.latencySensitiveTasks }

// schedulingPass is the state shared by all checks and placements of one pass.
type schedulingPass struct {
	slotUsage
	cluster.MachineTotals
	machines []*cluster.Machine // candidates of this pass
}

// newSchedulingPass returns a pass without machines, from the present totals.
func (s *Scheduler) newSchedulingPass(latencySensitiveDelayed bool) *schedulingPass {
	pass := &schedulingPass{MachineTotals: s.CurrentMachineTotals()}
	pass.slotUsage = slotUsage{totalSlots: pass.MachineTotals.Slots, batchTasks: s.ActiveTasks[0], latencySensitiveTasks: s.ActiveTasks[1], latencySensitiveDelayed: latencySensitiveDelayed}
	return pass
}

// scheduleQueue places tasks of the queued jobs on the machines of a pass. Within a rank,
// machines that already have the image come first: a fetch occupies cores without progress and
// may take as long as a task.
func (s *Scheduler) scheduleQueue(pass *schedulingPass) {
	for queue := s.PendingOrder; len(queue) > 0; {
		sameRank := 1
		for sameRank < len(queue) && queue[sameRank].Rank == queue[0].Rank {
			sameRank++
		}
		for _, mayFetch := range []bool{false, true} {
			for _, queued := range queue[:sameRank] {
				s.CandidatesExamined++
				if len(pass.machines) == 1 && !pass.machines[0].HasSpareCapacity() {
					return // the only machine of the pass is full
				}
				if j := queued.Job; j.PendingTasks > 0 && !j.Terminal {
					maxTasks := j.PendingTasks
					if queued.Rank == rankOverdue {
						maxTasks = j.Spec.TaskCount/cluster.OverdueTaskDivisor + 1 - len(j.Attempts)
					}
					previous := j.BlockedBy
					j.BlockedBy = s.scheduleJob(j, pass, mayFetch, maxTasks)
					s.Host.TraceBlocked(j, previous)
				}
			}
		}
		queue = queue[sameRank:]
	}
}

// scheduleJob starts as many tasks of a job as the checks allow, at most maxTasks, and returns
// the check that stopped it.
func (s *Scheduler) scheduleJob(j *cluster.Job, pass *schedulingPass, mayFetch bool, maxTasks int) cluster.WaitReason {
	if j.Quarantined {
		return cluster.WaitQuarantine
	}
	if s.Host.MayRunUnreported(j, &pass.MachineTotals) {
		return cluster.WaitReconciliation
	}
	if j.FailsEverywhere && s.OutlivesFailures(j) {
		j.FailsEverywhere, j.FailedProbes = false, 0
		s.Log.Info("job no longer fails everywhere", "job", j.Spec.ID)
	}
	if j.FailsEverywhere {
		if len(j.Attempts) > 0 || s.Clock.Now() < j.NextProbeAt {
			return cluster.WaitBackoff
		}
		maxTasks = 1
	}
	team := s.Config.Team(j.Spec.Team)
	teamUsage := s.TeamUsage[j.Spec.Team]
	if team == nil || teamUsage == nil {
		return cluster.WaitTeamQuota
	}
	var candidates *candidateHeap
	reason := cluster.WaitNone
	noneSkipped := true // no pending task has been skipped yet
	for index := j.FirstPendingTask; index < j.Spec.TaskCount; index++ {
		if j.PendingTasks == 0 || maxTasks <= 0 {
			return reason
		}
		if j.TaskState(index) != cluster.TaskPending {
			if noneSkipped {
				j.FirstPendingTask = index + 1 // avoids scanning up to 100,000 tasks again
			}
			continue
		}
		noneSkipped = false
		history := j.FailureHistories[index]
		if history != nil && s.Clock.Now() < history.RetryAfter {
			reason = cluster.WaitBackoff
			continue
		}
		if limit := s.checkLimits(j, pass, team, teamUsage); limit != cluster.WaitNone {
			return limit
		}
		avoidedMachine := ""
		if history != nil && s.Clock.Now() < history.AvoidUntil {
			avoidedMachine = history.AvoidedMachine
		}
		if candidates == nil {
			candidates = s.FindCandidates(j, pass.machines, mayFetch)
		}
		m := candidates.BestMachine(avoidedMachine)
		if m == nil {
			if avoidedMachine != "" {
				reason = cluster.WaitCapacity
				continue
			}
			if candidates.slowFetchExcluded {
				return cluster.WaitImage
			}
			return cluster.WaitCapacity
		}
		if m.Draining && m.DrainReason == cluster.SurplusCapacity {
			s.CancelDrain(m)
		}
		s.PlaceAttempt(&cluster.TaskAttempt{Job: j, TaskIndex: index, Number: s.Host.NextAttemptNumber(), Machine: m, Phase: cluster.AttemptAssigned, AssignedAt: s.Clock.Now()})
		candidates.rescore(m)
		maxTasks--
		if cluster.IsLatencySensitive(&j.Spec) {
			pass.latencySensitiveTasks++
		} else {
			pass.batchTasks++
		}
	}
	return reason
}

// checkLimits makes the three checks for one more task of a job, in order: scheduler slots, team
// quota, overall quota.
func (s *Scheduler) checkLimits(j *cluster.Job, pass *schedulingPass, team *config.Team, teamUsage *cluster.ResourceUsage) cluster.WaitReason {
	switch {
	case !s.hasFreeSlot(j, pass):
		return cluster.WaitSlots
	case team.MaxCPUs > 0 && teamUsage.Cores+pass.UnknownUsage.Cores+j.Spec.Cores > team.MaxCPUs+cluster.ResourceTolerance,
		team.MaxGPUs > 0 && teamUsage.Accelerators+pass.UnknownUsage.Accelerators+j.Spec.Accelerators > team.MaxGPUs+cluster.ResourceTolerance:
		return cluster.WaitTeamQuota
	case float64(pass.takenSlots()+1) > pass.totalSlots:
		return cluster.WaitOverallQuota
	}
	return cluster.WaitNone
}

// hasFreeSlot reports whether the job's class has a free scheduler slot. Batch work borrows the
// slots reserved for latency-sensitive work unless that is delayed.
func (s *Scheduler) hasFreeSlot(j *cluster.Job, pass *schedulingPass) bool {
	if cluster.IsLatencySensitive(&j.Spec) {
		return float64(pass.latencySensitiveTasks+1) <= pass.totalSlots
	}
	limit := pass.totalSlots
	if pass.latencySensitiveDelayed {
		limit *= s.Settings.BatchShare
	}
	return float64(pass.batchTasks+1) <= limit
}
