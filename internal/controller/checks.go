package controller

import "hitchdoor/internal/config"

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
	machineTotals
	machines []*machine // candidates of this pass
}

// newSchedulingPass returns a pass without machines, from the present totals.
func (s *scheduler) newSchedulingPass(latencySensitiveDelayed bool) *schedulingPass {
	pass := &schedulingPass{machineTotals: s.currentMachineTotals()}
	pass.slotUsage = slotUsage{totalSlots: pass.machineTotals.slots, batchTasks: s.activeTasks[0], latencySensitiveTasks: s.activeTasks[1], latencySensitiveDelayed: latencySensitiveDelayed}
	return pass
}

// scheduleQueue places tasks of the queued jobs on the machines of a pass. Within a rank,
// machines that already have the image come first: a fetch occupies cores without progress and
// may take as long as a task.
func (s *scheduler) scheduleQueue(pass *schedulingPass) {
	for queue := s.pendingOrder; len(queue) > 0; {
		sameRank := 1
		for sameRank < len(queue) && queue[sameRank].rank == queue[0].rank {
			sameRank++
		}
		for _, mayFetch := range []bool{false, true} {
			for _, queued := range queue[:sameRank] {
				s.candidatesExamined++
				if len(pass.machines) == 1 && !pass.machines[0].hasSpareCapacity() {
					return // the only machine of the pass is full
				}
				if j := queued.job; j.pendingTasks > 0 && !j.terminal {
					maxTasks := j.pendingTasks
					if queued.rank == rankOverdue {
						maxTasks = j.spec.TaskCount/overdueTaskDivisor + 1 - len(j.attempts)
					}
					previous := j.blockedBy
					j.blockedBy = s.scheduleJob(j, pass, mayFetch, maxTasks)
					s.host.traceBlocked(j, previous)
				}
			}
		}
		queue = queue[sameRank:]
	}
}

// scheduleJob starts as many tasks of a job as the checks allow, at most maxTasks, and returns
// the check that stopped it.
func (s *scheduler) scheduleJob(j *job, pass *schedulingPass, mayFetch bool, maxTasks int) waitReason {
	if j.quarantined {
		return waitQuarantine
	}
	if s.host.mayRunUnreported(j, &pass.machineTotals) {
		return waitReconciliation
	}
	if j.failsEverywhere && s.outlivesFailures(j) {
		j.failsEverywhere, j.failedProbes = false, 0
		s.log.Info("job no longer fails everywhere", "job", j.spec.ID)
	}
	if j.failsEverywhere {
		if len(j.attempts) > 0 || s.clock.Now() < j.nextProbeAt {
			return waitBackoff
		}
		maxTasks = 1
	}
	team := s.cluster.Team(j.spec.Team)
	teamUsage := s.teamUsage[j.spec.Team]
	if team == nil || teamUsage == nil {
		return waitTeamQuota
	}
	var candidates *candidateHeap
	reason := waitNone
	noneSkipped := true // no pending task has been skipped yet
	for index := j.firstPendingTask; index < j.spec.TaskCount; index++ {
		if j.pendingTasks == 0 || maxTasks <= 0 {
			return reason
		}
		if j.taskState(index) != taskPending {
			if noneSkipped {
				j.firstPendingTask = index + 1 // avoids scanning up to 100,000 tasks again
			}
			continue
		}
		noneSkipped = false
		history := j.failureHistories[index]
		if history != nil && s.clock.Now() < history.retryAfter {
			reason = waitBackoff
			continue
		}
		if limit := s.checkLimits(j, pass, team, teamUsage); limit != waitNone {
			return limit
		}
		avoidedMachine := ""
		if history != nil && s.clock.Now() < history.avoidUntil {
			avoidedMachine = history.avoidedMachine
		}
		if candidates == nil {
			candidates = s.findCandidates(j, pass.machines, mayFetch)
		}
		m := candidates.bestMachine(avoidedMachine)
		if m == nil {
			if avoidedMachine != "" {
				reason = waitCapacity
				continue
			}
			if candidates.slowFetchExcluded {
				return waitImage
			}
			return waitCapacity
		}
		if m.draining && m.drainReason == surplusCapacity {
			s.cancelDrain(m)
		}
		s.placeAttempt(&taskAttempt{job: j, taskIndex: index, number: s.host.nextAttemptNumber(), machine: m, phase: attemptAssigned, assignedAt: s.clock.Now()})
		candidates.rescore(m)
		maxTasks--
		if isLatencySensitive(&j.spec) {
			pass.latencySensitiveTasks++
		} else {
			pass.batchTasks++
		}
	}
	return reason
}

// checkLimits makes the three checks for one more task of a job, in order: scheduler slots, team
// quota, overall quota.
func (s *scheduler) checkLimits(j *job, pass *schedulingPass, team *config.Team, teamUsage *resourceUsage) waitReason {
	switch {
	case !s.hasFreeSlot(j, pass):
		return waitSlots
	case team.MaxCPUs > 0 && teamUsage.cores+pass.unknownUsage.cores+j.spec.Cores > team.MaxCPUs+resourceTolerance,
		team.MaxGPUs > 0 && teamUsage.accelerators+pass.unknownUsage.accelerators+j.spec.Accelerators > team.MaxGPUs+resourceTolerance:
		return waitTeamQuota
	case float64(pass.takenSlots()+1) > pass.totalSlots:
		return waitOverallQuota
	}
	return waitNone
}

// hasFreeSlot reports whether the job's class has a free scheduler slot. Batch work borrows the
// slots reserved for latency-sensitive work unless that is delayed.
func (s *scheduler) hasFreeSlot(j *job, pass *schedulingPass) bool {
	if isLatencySensitive(&j.spec) {
		return float64(pass.latencySensitiveTasks+1) <= pass.totalSlots
	}
	limit := pass.totalSlots
	if pass.latencySensitiveDelayed {
		limit *= s.settings.BatchShare
	}
	return float64(pass.batchTasks+1) <= limit
}
