package scheduler

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
)

// jobsWithinGuarantee returns the jobs that fit into their team's guaranteed resources together
// with the team's earlier unfinished jobs (fair share).
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

// teamExceedsGuarantee reports whether the job's team uses more than its guarantee, if the settings
// have a start objective for guaranteed work.
func (s *Scheduler) teamExceedsGuarantee(job *cluster.Job) bool {
	team, teamUsage := s.Config.Team(job.Spec.Team), s.TeamUsage[job.Spec.Team]
	return s.GuaranteedStartWithin > 0 && team != nil && teamUsage != nil && usageExceedsGuarantee(teamUsage, team)
}

// usageExceedsGuarantee reports whether a usage exceeds the guarantee of a team.
func usageExceedsGuarantee(usage *cluster.ResourceUsage, team *config.Team) bool {
	return usage.Cores > team.GuaranteedCPUs+cluster.ResourceTolerance ||
		usage.Accelerators > team.GuaranteedGPUs+cluster.ResourceTolerance
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

// coresNeededWithinGuarantees returns the cores that jobs within their team's guarantee lack after
// waiting for a part of their start objective.
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

// preemptibleAttempts returns the attempts that may be preempted, lowest priority first and then by
// longest remaining duration, and the cores that attempts already being stopped will free.
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

// preemptFor preempts victims until the missing cores of a job are covered, on machines with the
// job's image first. It sets the victims that it preempts to nil and adds up the cores reclaimed
// from each team.
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
			s.RescheduleAttempt(victim, s.CheckpointGraceS(victim))
			victims[i] = nil
		}
	}
}

// makesRoom reports whether preempting a victim makes room for a job of another team, and earlier
// than its own end would.
func (s *Scheduler) makesRoom(victim *cluster.TaskAttempt, job *cluster.Job) bool {
	if victim.Job.Spec.Team == job.Spec.Team || !cluster.Feasible(&job.Spec, victim.Machine) {
		return false
	}
	preemption := time.Duration(2*victim.Job.Spec.CheckpointSaveSeconds*float64(time.Second)) + s.HeartbeatInterval()
	return s.RemainingDuration(victim) >= preemption
}
