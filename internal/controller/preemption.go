package controller

import (
	"cmp"
	"slices"
	"time"
)

// jobsWithinGuarantee returns the jobs that fit into their team's guaranteed resources together
// with the team's earlier unfinished jobs (fair share).
func (s *scheduler) jobsWithinGuarantee() map[*job]bool {
	if s.guaranteedStartWithin == 0 {
		return nil
	}
	usageByTeam := map[string]resourceUsage{}
	withinGuarantee := map[*job]bool{}
	for _, j := range s.jobsByAge() {
		teamUsage := usageByTeam[j.spec.Team]
		teamUsage.cores += float64(j.spec.TaskCount) * j.spec.Cores
		teamUsage.accelerators += float64(j.spec.TaskCount) * j.spec.Accelerators
		usageByTeam[j.spec.Team] = teamUsage
		if team := s.cluster.Team(j.spec.Team); team != nil && teamUsage.cores <= team.GuaranteedCPUs+resourceTolerance && teamUsage.accelerators <= team.GuaranteedGPUs+resourceTolerance {
			withinGuarantee[j] = true
		}
	}
	return withinGuarantee
}

// exceedsGuarantee reports whether the job's team uses more than its guarantee, if the settings
// have a start objective for guaranteed work.
func (s *scheduler) exceedsGuarantee(j *job) bool {
	team, teamUsage := s.cluster.Team(j.spec.Team), s.teamUsage[j.spec.Team]
	return s.guaranteedStartWithin > 0 && team != nil && teamUsage != nil &&
		(teamUsage.cores > team.GuaranteedCPUs+resourceTolerance || teamUsage.accelerators > team.GuaranteedGPUs+resourceTolerance)
}

// preemptAfterDivisor sets how long guaranteed work waits before preemption, as a fraction of its
// start objective. Short tasks end all the time, so most jobs start without it.
const preemptAfterDivisor = 4

// preemptForGuarantees frees capacity for waiting guaranteed work. It stops tasks that other
// teams run beyond their guarantee, provided that they checkpoint. A task is preempted at most
// once and only after running long enough for its start to count, so that borrowed capacity still
// does useful work. Without preemption, long tasks that borrowed a third of the cores made
// guaranteed work wait for minutes.
func (s *scheduler) preemptForGuarantees() {
	if s.guaranteedStartWithin == 0 || s.clock.Now() < s.preemptedAt+s.heartbeatInterval()/2 || !s.allReconciled() {
		return
	}
	s.preemptedAt = s.clock.Now()
	neededCores := map[*job]float64{}
	withinGuarantee := s.guaranteedJobs
	for _, r := range s.pendingOrder {
		j := r.job
		if withinGuarantee[j] && !j.terminal && !j.failsEverywhere && j.pendingTasks > 0 && (j.blockedBy == waitCapacity || j.blockedBy == waitImage) &&
			s.clock.Now() > j.eligibleAt+s.guaranteedStartWithin/preemptAfterDivisor {
			neededCores[j] = float64(j.pendingTasks) * j.spec.Cores
		}
	}
	if len(neededCores) == 0 {
		return
	}
	coresBeingFreed := 0.0
	var victims []*taskAttempt
	for _, m := range s.machinesByName() {
		if !m.schedulable() {
			continue
		}
		for _, r := range m.attemptsInOrder {
			switch {
			case r.stopGrace != nil:
				coresBeingFreed += r.job.spec.Cores
			case r.phase == attemptRunning && r.job.spec.CheckpointIntervalSeconds > 0 && s.clock.Now()-r.runningSince >= minCountedRun &&
				!r.job.movedTasks[r.taskIndex] && !withinGuarantee[r.job] && s.exceedsGuarantee(r.job):
				victims = append(victims, r)
			}
		}
	}
	slices.SortStableFunc(victims, func(a, b *taskAttempt) int {
		return cmp.Or(cmp.Compare(b.job.spec.PriorityRank(), a.job.spec.PriorityRank()), cmp.Compare(s.remainingDuration(b), s.remainingDuration(a)))
	})
	reclaimedCores := map[string]float64{} // by team that exceeds its guarantee
	for _, queued := range s.pendingOrder {
		j := queued.job
		missingCores := neededCores[j]
		covered := min(missingCores, coresBeingFreed)
		missingCores, coresBeingFreed = missingCores-covered, coresBeingFreed-covered
		for _, withImage := range []bool{true, false} {
			for i, r := range victims {
				if missingCores <= resourceTolerance {
					break
				}
				if r == nil || r.machine.hasImage(j.spec.Image) != withImage || r.job.spec.Team == j.spec.Team || !feasible(&j.spec, r.machine) ||
					s.remainingDuration(r) < time.Duration(2*r.job.spec.CheckpointSaveSeconds*float64(time.Second))+s.heartbeatInterval() {
					continue
				}
				team := r.job.spec.Team
				if s.teamUsage[team].cores-reclaimedCores[team] <= s.cluster.Team(team).GuaranteedCPUs+resourceTolerance {
					continue
				}
				reclaimedCores[team] += r.job.spec.Cores
				missingCores -= r.job.spec.Cores
				s.rescheduleAttempt(r, s.checkpointGraceS(r))
				victims[i] = nil
			}
		}
	}
	if len(reclaimedCores) > 0 {
		s.log.Info("tasks preempted for guaranteed work", "coresByTeam", reclaimedCores)
	}
}
