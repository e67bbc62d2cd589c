package cluster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
)

// Slo is a service-level objective of a job class: jobs are to be complete, or to have started,
// within a time limit.
type Slo struct {
	Limit   time.Duration // since the job became eligible
	OnStart bool          // applies to the start instead of the completion
}

// objectives holds the service-level objectives of the settings, indexed for the scheduler.
type objectives struct {
	Slos                  map[string][]Slo   // by class, tightest first
	MinShare              map[string]float64 // by class, the lowest share of jobs that an objective demands
	GuaranteedStartWithin time.Duration      // objective for starting guaranteed work; 0: none
}

// newObjectives indexes the objectives of the settings. A class with objectives on completion
// is scheduled by those alone; its objectives on starting are dropped.
func newObjectives(cluster *config.Cluster) objectives {
	table := objectives{Slos: map[string][]Slo{}, MinShare: map[string]float64{}}
	for _, objective := range cluster.Objectives {
		class, within := objective.Class, config.Seconds(objective.WithinS)
		if objective.Kind == "guarantee" {
			table.GuaranteedStartWithin = within
		}
		if least, ok := table.MinShare[class]; class != "" && (!ok || objective.MinShare < least) {
			table.MinShare[class] = objective.MinShare
		}
		if objective.Kind == "finished" || objective.Kind == "wait" {
			table.Slos[class] = append(table.Slos[class], Slo{within, objective.Kind == "wait"})
		}
	}
	for class, slos := range table.Slos {
		if slices.ContainsFunc(slos, func(a Slo) bool { return !a.OnStart }) {
			slos = slices.DeleteFunc(slos, func(a Slo) bool { return a.OnStart })
		}
		slices.SortFunc(slos, func(a, b Slo) int { return cmp.Compare(a.Limit, b.Limit) })
		table.Slos[class] = slos
	}
	return table
}

// StartSLO returns the tightest start objective of the job's class, or 0 if the class is measured
// by completion or has no objective.
func (s *State) StartSLO(job *Job) time.Duration {
	if slos := s.Slos[job.Spec.Class]; len(slos) > 0 && slos[0].OnStart {
		return slos[0].Limit
	}
	return 0
}

// Due returns when the job should be complete: its deadline, or the first objective of its class
// that can still be met. A start objective applies only to classes without a completion
// objective; such jobs can wait for capacity on cheap machines.
//
// A job with dependents is due no later than their deadlines allow (LatestEnd).
func (s *State) Due(job *Job) clock.Instant { return s.DueFrom(job, job.EligibleAt) }

// DueFrom returns the due time of a job that becomes eligible at the given time.
func (s *State) DueFrom(job *Job, from clock.Instant) clock.Instant {
	return min(s.OwnDue(job, from), job.LatestEnd)
}

// OwnDue returns the due time by the job's own deadline or objectives. Without either, LatestEnd
// or a bound in proportion to the run time applies.
func (s *State) OwnDue(job *Job, from clock.Instant) clock.Instant {
	if job.Spec.DeadlineSeconds != nil {
		return job.AcceptedAt + config.Seconds(*job.Spec.DeadlineSeconds)
	}
	slos := s.Slos[job.Spec.Class]
	for i, objective := range slos {
		end := from + objective.Limit
		if objective.OnStart {
			end += s.ExpectedTaskDuration(job)
		}
		if i == len(slos)-1 || end-s.ExpectedTaskDuration(job) > s.Clock.Now() {
			return end
		}
	}
	if job.LatestEnd < clock.Forever {
		return job.LatestEnd
	}
	// Without an objective the wait is still bounded, in proportion to the run time.
	return from + min(4*s.ExpectedTaskDuration(job)+s.workerLease(), PlannedStartWithin+s.ExpectedTaskDuration(job))
}

// ExpectedTaskDuration returns the expected run time of one task: the user's estimate, corrected
// by the finished tasks of the job's class.
func (s *State) ExpectedTaskDuration(job *Job) time.Duration {
	bias := 0.0
	if durations := s.classes[job.Spec.Class]; durations != nil {
		bias = durations.logBias
	}
	return config.Seconds(max(job.Spec.EstimatedSeconds*math.Exp(bias), 1))
}

// classDurations holds the estimation error observed for a job class.
type classDurations struct {
	logBias float64 // mean of log(actual / estimated run time)
	samples float64 // weight of the mean, at most maxClassSamples
}

// RecordTaskDuration updates the correction of the job's class by a finished task.
func (s *State) RecordTaskDuration(job *Job, took time.Duration) {
	if took <= 0 || job.Spec.EstimatedSeconds <= 0 {
		return
	}
	durations := s.classes[job.Spec.Class]
	if durations == nil {
		durations = &classDurations{}
		s.classes[job.Spec.Class] = durations
	}
	durations.samples = min(durations.samples+1, maxClassSamples)
	durations.logBias += (math.Log(took.Seconds()/job.Spec.EstimatedSeconds) - durations.logBias) / durations.samples
}

// maxClassSamples is the number of finished tasks over which the correction averages.
const maxClassSamples = 60

// TooSoonToScaleOut reports whether a start objective leaves no time to rent a machine.
func (s *State) TooSoonToScaleOut(limit time.Duration) bool { return limit < 2*s.workerLease() }

// Large jobs yield while not all jobs can be in time, and late jobs come last. Still, every job
// must start within MaxStartDelay, however long a burst of small or latency-sensitive work lasts,
// and no class or team may starve another. So a job that has not started after OverdueAfter is
// overdue and starts ahead of all others, with a part of its tasks; and a job older than
// MaxStartDelay is ordered with the latency-sensitive work, by age.
const (
	MaxStartDelay      = 4 * time.Minute // limit of the protocol
	OverdueAfter       = MaxStartDelay * 3 / 8
	OverdueTaskDivisor = 8 // an overdue job starts one in this many of its tasks
)

// PlannedStartWithin is the time within which the plan lets every job start, even one without an
// SLO or with a longer one. It is well inside MaxStartDelay.
const PlannedStartWithin = MaxStartDelay * 3 / 5
