package scheduler

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/cluster"
)

// jobsWithinGuarantee returns the jobs that fit into their team's guaranteed resources together
// with the team's earlier unfinished jobs (fair share).
func (s *Scheduler) jobsWithinGuarantee() map[*cluster.Job]bool {
	if s.GuaranteedStartWithin == 0 {
		return nil
	}
	usageByTeam := map[string]cluster.ResourceUsage{}
	withinGuarantee := map[*cluster.Job]bool{}
	for _, j := range s.JobsByAge() {
		teamUsage := usageByTeam[j.Spec.Team]
		teamUsage.Cores += float64(j.Spec.TaskCount) * j.Spec.Cores
		teamUsage.Accelerators += float64(j.Spec.TaskCount) * j.Spec.Accelerators
		usageByTeam[j.Spec.Team] = teamUsage
		if team := s.Config.Team(j.Spec.Team); team != nil && teamUsage.Cores <= team.GuaranteedCPUs+cluster.ResourceTolerance && teamUsage.Accelerators <= team.GuaranteedGPUs+cluster.ResourceTolerance {
			withinGuarantee[j] = true
		}
	}
	return withinGuarantee
}

// exceedsGuarantee reports whether the job's team uses more than its guarantee, if the settings
// have a start objective for guaranteed work.
func (s *Scheduler) exceedsGuarantee(j *cluster.Job) bool {
	team, teamUsage := s.Config.Team(j.Spec.Team), s.TeamUsage[j.Spec.Team]
	return s.GuaranteedStartWithin > 0 && team != nil && teamUsage != nil &&
		(teamUsage.Cores > team.GuaranteedCPUs+cluster.ResourceTolerance || teamUsage.Accelerators > team.GuaranteedGPUs+cluster.ResourceTolerance)
}

// preemptAfterDivisor sets how long guaranteed work waits before preemption, as a fraction of its
// start objective. Short tasks end all the time, so most jobs start without it.
const preemptAfterDivisor = 4

// preemptForGuarantees frees capacity for waiting guaranteed work. It stops tasks that other
// teams run beyond their guarantee, provided that they checkpoint. A task is preempted at most
// once and only after running long enough for its start to count, so that borrowed capacity still
// does useful work. Without preemption, long tasks that borrowed a third of the cores made
// guaranteed work wait for minutes.
func (s *Scheduler) preemptForGuarantees() {
	if s.GuaranteedStartWithin == 0 || s.Clock.Now() < s.preemptedAt+s.HeartbeatInterval()/2 || !s.AllReconciled() {
		return
	}
	s.preemptedAt = s.Clock.Now()
	neededCores := map[*cluster.Job]float64{}
	withinGuarantee := s.guaranteedJobs
	for _, r := range s.PendingOrder {
		j := r.Job
		if withinGuarantee[j] && !j.Terminal && !j.FailsEverywhere && j.PendingTasks > 0 && (j.BlockedBy == cluster.WaitCapacity || j.BlockedBy == cluster.WaitImage) &&
			s.Clock.Now() > j.EligibleAt+s.GuaranteedStartWithin/preemptAfterDivisor {
			neededCores[j] = float64(j.PendingTasks) * j.Spec.Cores
		}
	}
	if len(neededCores) == 0 {
		return
	}
	coresBeingFreed := 0.0
	var victims []*cluster.TaskAttempt
	for _, m := range s.MachinesByName() {
		if !m.Schedulable() {
			continue
		}
		for _, r := range m.AttemptsInOrder {
			switch {
			case r.StopGrace != nil:
				coresBeingFreed += r.Job.Spec.Cores
			case r.Phase == cluster.AttemptRunning && r.Job.Spec.CheckpointIntervalSeconds > 0 && s.Clock.Now()-r.RunningSince >= cluster.MinCountedRun &&
				!r.Job.MovedTasks[r.TaskIndex] && !withinGuarantee[r.Job] && s.exceedsGuarantee(r.Job):
				victims = append(victims, r)
			}
		}
	}
	slices.SortStableFunc(victims, func(a, b *cluster.TaskAttempt) int {
		return cmp.Or(cmp.Compare(b.Job.Spec.PriorityRank(), a.Job.Spec.PriorityRank()), cmp.Compare(s.RemainingDuration(b), s.RemainingDuration(a)))
	})
	reclaimedCores := map[string]float64{} // by team that exceeds its guarantee
	for _, queued := range s.PendingOrder {
		j := queued.Job
		missingCores := neededCores[j]
		covered := min(missingCores, coresBeingFreed)
		missingCores, coresBeingFreed = missingCores-covered, coresBeingFreed-covered
		for _, withImage := range []bool{true, false} {
			for i, r := range victims {
				if missingCores <= cluster.ResourceTolerance {
					break
				}
				if r == nil || r.Machine.HasImage(j.Spec.Image) != withImage || r.Job.Spec.Team == j.Spec.Team || !cluster.Feasible(&j.Spec, r.Machine) ||
					s.RemainingDuration(r) < time.Duration(2*r.Job.Spec.CheckpointSaveSeconds*float64(time.Second))+s.HeartbeatInterval() {
					continue
				}
				team := r.Job.Spec.Team
				if s.TeamUsage[team].Cores-reclaimedCores[team] <= s.Config.Team(team).GuaranteedCPUs+cluster.ResourceTolerance {
					continue
				}
				reclaimedCores[team] += r.Job.Spec.Cores
				missingCores -= r.Job.Spec.Cores
				s.RescheduleAttempt(r, s.CheckpointGraceS(r))
				victims[i] = nil
			}
		}
	}
	if len(reclaimedCores) > 0 {
		s.Log.Info("tasks preempted for guaranteed work", "coresByTeam", reclaimedCores)
	}
}
