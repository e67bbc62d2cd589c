package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/config"
)

// slo is a service-level objective of a job class: jobs are to be complete, or to have started,
// within a time limit.
type slo struct {
	limit   time.Duration // since the job became eligible
	onStart bool          // applies to the start instead of the completion
}

// objectives holds the service-level objectives of the settings, indexed for the scheduler.
type objectives struct {
	slos                  map[string][]slo   // by class, tightest first
	minShare              map[string]float64 // by class, the lowest share of jobs that an objective demands
	guaranteedStartWithin time.Duration      // objective for starting guaranteed work; 0: none
}

// newObjectives indexes the objectives of the settings. A class with objectives on completion
// is scheduled by those alone; its objectives on starting are dropped.
func newObjectives(cluster *config.Cluster) objectives {
	table := objectives{slos: map[string][]slo{}, minShare: map[string]float64{}}
	for _, objective := range cluster.Objectives {
		class, within := objective.Class, config.Seconds(objective.WithinS)
		if objective.Kind == "guarantee" {
			table.guaranteedStartWithin = within
		}
		if least, ok := table.minShare[class]; class != "" && (!ok || objective.MinShare < least) {
			table.minShare[class] = objective.MinShare
		}
		if objective.Kind == "finished" || objective.Kind == "wait" {
			table.slos[class] = append(table.slos[class], slo{within, objective.Kind == "wait"})
		}
	}
	for class, slos := range table.slos {
		if slices.ContainsFunc(slos, func(a slo) bool { return !a.onStart }) {
			slos = slices.DeleteFunc(slos, func(a slo) bool { return a.onStart })
		}
		slices.SortFunc(slos, func(a, b slo) int { return cmp.Compare(a.limit, b.limit) })
		table.slos[class] = slos
	}
	return table
}

// startSLO returns the tightest start objective of the job's class, or 0 if the class is measured
// by completion or has no objective.
func (s *clusterState) startSLO(j *job) time.Duration {
	if slos := s.slos[j.spec.Class]; len(slos) > 0 && slos[0].onStart {
		return slos[0].limit
	}
	return 0
}

// due returns when the job should be complete: its deadline, or the first objective of its class
// that can still be met. A start objective applies only to classes without a completion
// objective; such jobs can wait for capacity on cheap machines.
//
// A job with dependents is due no later than their deadlines allow (latestEnd).
func (s *clusterState) due(j *job) clock.Instant { return s.dueFrom(j, j.eligibleAt) }

// dueFrom returns the due time of a job that becomes eligible at the given time.
func (s *clusterState) dueFrom(j *job, from clock.Instant) clock.Instant {
	return min(s.ownDue(j, from), j.latestEnd)
}

// ownDue returns the due time by the job's own deadline or objectives. Without either, latestEnd
// or a bound in proportion to the run time applies.
func (s *clusterState) ownDue(j *job, from clock.Instant) clock.Instant {
	if j.spec.DeadlineSeconds != nil {
		return j.acceptedAt + config.Seconds(*j.spec.DeadlineSeconds)
	}
	slos := s.slos[j.spec.Class]
	for i, objective := range slos {
		end := from + objective.limit
		if objective.onStart {
			end += s.expectedTaskDuration(j)
		}
		if i == len(slos)-1 || end-s.expectedTaskDuration(j) > s.clock.Now() {
			return end
		}
	}
	if j.latestEnd < clock.Forever {
		return j.latestEnd
	}
	// Without an objective the wait is still bounded, in proportion to the run time.
	return from + min(4*s.expectedTaskDuration(j)+s.workerLease(), plannedStartWithin+s.expectedTaskDuration(j))
}

// expectedTaskDuration returns the expected run time of one task: the user's estimate, corrected
// by the finished tasks of the job's class.
func (s *clusterState) expectedTaskDuration(j *job) time.Duration {
	bias := 0.0
	if durations := s.classes[j.spec.Class]; durations != nil {
		bias = durations.logBias
	}
	return config.Seconds(max(j.spec.EstimatedSeconds*math.Exp(bias), 1))
}

// classDurations holds the estimation error observed for a job class.
type classDurations struct {
	logBias float64 // mean of log(actual / estimated run time)
	samples float64 // weight of the mean, at most maxClassSamples
}

// recordTaskDuration updates the correction of the job's class by a finished task.
func (s *clusterState) recordTaskDuration(j *job, took time.Duration) {
	if took <= 0 || j.spec.EstimatedSeconds <= 0 {
		return
	}
	durations := s.classes[j.spec.Class]
	if durations == nil {
		durations = &classDurations{}
		s.classes[j.spec.Class] = durations
	}
	durations.samples = min(durations.samples+1, maxClassSamples)
	durations.logBias += (math.Log(took.Seconds()/j.spec.EstimatedSeconds) - durations.logBias) / durations.samples
}

// maxClassSamples is the number of finished tasks over which the correction averages.
const maxClassSamples = 60

// tooSoonToScaleOut reports whether a start objective leaves no time to rent a machine.
func (s *clusterState) tooSoonToScaleOut(limit time.Duration) bool { return limit < 2*s.workerLease() }

// Large jobs yield while not all jobs can be in time, and late jobs come last. Still, every job
// must start within maxStartDelay, however long a burst of small or latency-sensitive work lasts,
// and no class or team may starve another. So a job that has not started after overdueAfter is
// overdue and starts ahead of all others, with a part of its tasks; and a job older than
// maxStartDelay is ordered with the latency-sensitive work, by age.
const (
	maxStartDelay      = 4 * time.Minute // limit of the protocol
	overdueAfter       = maxStartDelay * 3 / 8
	overdueTaskDivisor = 8 // an overdue job starts one in this many of its tasks
)

// plannedStartWithin is the time within which the plan lets every job start, even one without an
// SLO or with a longer one. It is well inside maxStartDelay.
const plannedStartWithin = maxStartDelay * 3 / 5
