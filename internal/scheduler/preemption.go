package scheduler

import (
	"cmp"
	"slices"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
)

// jobsWithinGuarantee returns the guaranteed work: the jobs that, together with the team's earlier
// unfinished jobs, fit into the resources that the settings guarantee to their team (fair share). It
// returns nil if the settings have no start objective for guaranteed work.
func (s *Scheduler) jobsWithinGuarantee() map[*cluster.Job]bool {
	if s.GuaranteedStartWithin == 0 {
		return nil
	}
	usageByTeam := map[string]cluster.ResourceUsage{}
	withinGuarantee := map[*cluster.Job]bool{}
	for _, job := range s.JobsByAge() {
		teamUsage := usageByTeam[job.Spec.Team]
		teamUsage.Cores += float64(job.Spec.TaskCount) * job.Spec.Cores
		teamUsage.Accelerators += float64(job.Spec.TaskCount) * job.Spec.Accelerators
		usageByTeam[job.Spec.Team] = teamUsage
		if team := s.Config.Team(job.Spec.Team); team != nil && !usageExceedsGuarantee(&teamUsage, team) {
			withinGuarantee[job] = true
		}
	}
	return withinGuarantee
}

// teamExceedsGuarantee reports whether the job's team uses more than its guarantee. It is false if the
// settings have no start objective for guaranteed work.
func (s *Scheduler) teamExceedsGuarantee(job *cluster.Job) bool {
	team, teamUsage := s.Config.Team(job.Spec.Team), s.TeamUsage[job.Spec.Team]
	return s.GuaranteedStartWithin > 0 && team != nil && teamUsage != nil && usageExceedsGuarantee(teamUsage, team)
}

// usageExceedsGuarantee reports whether a team's usage of cores or accelerators exceeds its guarantee.
func usageExceedsGuarantee(usage *cluster.ResourceUsage, team *config.Team) bool {
	return usage.Cores > team.GuaranteedCPUs+cluster.ResourceTolerance ||
		usage.Accelerators > team.GuaranteedGPUs+cluster.ResourceTolerance
}

// preemptAfterDivisor delays preemption until guaranteed work has waited for 1/preemptAfterDivisor of
// its start objective. Short tasks end all the time, so most jobs start earlier without preemption.
const preemptAfterDivisor = 4

// preemptForGuarantees frees capacity for waiting guaranteed work. It stops tasks of teams that exceed
// their guarantee, provided that the tasks checkpoint. A task is preempted at most once, and only after
// it has run long enough for its start to count, so that borrowed capacity still does useful work.
// Without preemption, long tasks that borrowed a third of the cores made guaranteed work wait for
// minutes.
func (s *Scheduler) preemptForGuarantees() {
	now := s.Clock.Now()
	if s.GuaranteedStartWithin == 0 || now < s.preemptionTriedAt+s.HeartbeatInterval()/2 || !s.AllReconciled() {
		return
	}
	s.preemptionTriedAt = now
	neededCores := s.coresNeededWithinGuarantees()
	if len(neededCores) == 0 {
		return
	}
	victims, coresBeingFreed := s.preemptibleAttempts()
	reclaimedCores := map[string]float64{} // by team that exceeds its guarantee
	for _, queued := range s.PendingOrder {
		missingCores := neededCores[queued.Job]
		covered := min(missingCores, coresBeingFreed)
		coresBeingFreed -= covered
		s.preemptFor(queued.Job, missingCores-covered, victims, reclaimedCores)
	}
	if len(reclaimedCores) > 0 {
		s.Log.Info("tasks preempted for guaranteed work", "coresByTeam", reclaimedCores)
	}
}

// coresNeededWithinGuarantees returns the cores that the pending tasks of jobs within their team's
// guarantee need. It includes only jobs that lack capacity and have waited for longer than
// 1/preemptAfterDivisor of their start objective.
func (s *Scheduler) coresNeededWithinGuarantees() map[*cluster.Job]float64 {
	needed := map[*cluster.Job]float64{}
	for _, queued := range s.PendingOrder {
		job := queued.Job
		if !s.guaranteedJobs[job] || job.Terminal || job.FailsEverywhere || job.PendingTasks == 0 {
			continue
		}
		lacksCapacity := job.BlockedBy == cluster.WaitCapacity || job.BlockedBy == cluster.WaitImage
		if lacksCapacity && s.Clock.Now() > job.EligibleAt+s.GuaranteedStartWithin/preemptAfterDivisor {
			needed[job] = float64(job.PendingTasks) * job.Spec.Cores
		}
	}
	return needed
}

// preemptibleAttempts returns the attempts that may be preempted, those with the lowest priority first
// and among them those with the longest remaining duration. It also returns the number of cores that
// attempts already being stopped will free.
func (s *Scheduler) preemptibleAttempts() (victims []*cluster.TaskAttempt, coresBeingFreed float64) {
	for _, machine := range s.MachinesByName() {
		if !machine.Schedulable() {
			continue
		}
		for _, attempt := range machine.AttemptsInOrder {
			switch {
			case attempt.StopGrace != nil:
				coresBeingFreed += attempt.Job.Spec.Cores
			case s.preemptible(attempt):
				victims = append(victims, attempt)
			}
		}
	}
	slices.SortStableFunc(victims, func(a, b *cluster.TaskAttempt) int {
		return cmp.Or(cmp.Compare(b.Job.Spec.PriorityRank(), a.Job.Spec.PriorityRank()),
			cmp.Compare(s.RemainingDuration(b), s.RemainingDuration(a)))
	})
	return victims, coresBeingFreed
}

// preemptible reports whether an attempt may be preempted for guaranteed work of another team.
func (s *Scheduler) preemptible(attempt *cluster.TaskAttempt) bool {
	job := attempt.Job
	if attempt.Phase != cluster.AttemptRunning || job.Spec.CheckpointIntervalSeconds <= 0 {
		return false
	}
	return s.Clock.Now()-attempt.RunningSince >= cluster.MinCountedRun && !job.RescheduledTasks[attempt.TaskIndex] &&
		!s.guaranteedJobs[job] && s.teamExceedsGuarantee(job)
}

// preemptFor preempts victims until they cover the missing cores of a job, starting with those on
// machines that have the job's image. It sets the elements of preempted victims to nil and adds their
// cores to reclaimedCores by team.
func (s *Scheduler) preemptFor(
	job *cluster.Job, missingCores float64, victims []*cluster.TaskAttempt, reclaimedCores map[string]float64,
) {
	for _, withImage := range []bool{true, false} {
		for i, victim := range victims {
			if missingCores <= cluster.ResourceTolerance {
				return
			}
			if victim == nil || victim.Machine.HasImage(job.Spec.Image) != withImage || !s.makesRoom(victim, job) {
				continue
			}
			team := victim.Job.Spec.Team
			guaranteedCores := s.Config.Team(team).GuaranteedCPUs + cluster.ResourceTolerance
			if s.TeamUsage[team].Cores-reclaimedCores[team] <= guaranteedCores {
				continue // the team is back within its guarantee
			}
			reclaimedCores[team] += victim.Job.Spec.Cores
			missingCores -= victim.Job.Spec.Cores
			s.RescheduleAttempt(victim, s.CheckpointGrace(victim).Seconds())
			victims[i] = nil
		}
	}
}

// makesRoom reports whether a job of another team can use the capacity of a victim, and whether
// preemption frees that capacity before the victim is expected to end.
func (s *Scheduler) makesRoom(victim *cluster.TaskAttempt, job *cluster.Job) bool {
	if victim.Job.Spec.Team == job.Spec.Team || !cluster.Feasible(&job.Spec, victim.Machine) {
		return false
	}
	return s.RemainingDuration(victim) >= s.CheckpointGrace(victim)
}
