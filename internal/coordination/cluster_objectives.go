package coordination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/config"
)

// slo is a service-level objective of a job class: jobs are to be complete, or to have started,
// within a time limit.
type aim struct {
	within time.Duration // since the job became eligible
	start  bool          // applies to the start instead of the completion
}

// objectives holds the service-level objectives of the settings, indexed for the scheduler.
type objectives struct {
	aims        map[string][]aim   // by class, tightest first
	shares      map[string]float64 // by class, the lowest share of jobs that an objective demands
	startWithin time.Duration      // objective for starting guaranteed work; 0: none
}

// newObjectives indexes the objectives of the settings. A class with objectives on completion
// is scheduled by those alone; its objectives on starting are dropped.
func newObjectives(c *config.Cluster) objectives {
	o := objectives{aims: map[string][]aim{}, shares: map[string]float64{}}
	for _, objective := range c.Objectives {
		class, within := objective.Class, config.Seconds(objective.WithinS)
		if objective.Kind == "guarantee" {
			o.startWithin = within
		}
		if least, ok := o.shares[class]; class != "" && (!ok || objective.Share < least) {
			o.shares[class] = objective.Share
		}
		if objective.Kind == "finished" || objective.Kind == "wait" {
			o.aims[class] = append(o.aims[class], aim{within, objective.Kind == "wait"})
		}
	}
	for class, aims := range o.aims {
		if slices.ContainsFunc(aims, func(a aim) bool { return !a.start }) {
			aims = slices.DeleteFunc(aims, func(a aim) bool { return a.start })
		}
		slices.SortFunc(aims, func(a, b aim) int { return cmp.Compare(a.within, b.within) })
		o.aims[class] = aims
	}
	return o
}

// startSLO returns the tightest start objective of the job's class, or 0 if the class is measured
// by completion or has no objective.
func (s *clusterState) startAim(j *job) time.Duration {
	if aims := s.aims[j.spec.Class]; len(aims) > 0 && aims[0].start {
		return aims[0].within
	}
	return 0
}

// due returns when the job should be complete: its deadline, or the first objective of its class
// that can still be met. A start objective applies only to classes without a completion
// objective; such jobs can wait for capacity on cheap machines.
//
// A job with dependents is due no later than their deadlines allow (latestEnd).
func (s *clusterState) due(j *job) Instant { return s.dueFrom(j, j.from) }

// dueFrom returns the due time of a job that becomes eligible at the given time.
func (s *clusterState) dueFrom(j *job, from Instant) Instant { return min(s.ownDue(j, from), j.endBy) }

// ownDue returns the due time by the job's own deadline or objectives. Without either, latestEnd
// or a bound in proportion to the run time applies.
func (s *clusterState) ownDue(j *job, from Instant) Instant {
	if j.spec.DeadlineS != nil {
		return j.at + config.Seconds(*j.spec.DeadlineS)
	}
	aims := s.aims[j.spec.Class]
	for i, a := range aims {
		end := from + a.within
		if a.start {
			end += s.expected(j)
		}
		if i == len(aims)-1 || end-s.expected(j) > s.clock.Now() {
			return end
		}
	}
	if j.endBy < forever {
		return j.endBy
	}
	// Without an objective the wait is still bounded, in proportion to the run time.
	return from + min(4*s.expected(j)+s.lease(), planBegin+s.expected(j))
}

// expectedTaskDuration returns the expected run time of one task: the user's estimate, corrected
// by the finished tasks of the job's class.
func (s *clusterState) expected(j *job) time.Duration {
	bias := 0.0
	if c := s.classes[j.spec.Class]; c != nil {
		bias = c.bias
	}
	return config.Seconds(max(j.spec.EstimateS*math.Exp(bias), 1))
}

// classDurations holds the estimation error observed for a job class.
type class struct {
	bias  float64 // mean of log(actual / estimated run time)
	count float64 // weight of the mean, at most maxClassSamples
}

// recordTaskDuration updates the correction of the job's class by a finished task.
func (s *clusterState) learn(j *job, took time.Duration) {
	if took <= 0 || j.spec.EstimateS <= 0 {
		return
	}
	c := s.classes[j.spec.Class]
	if c == nil {
		c = &class{}
		s.classes[j.spec.Class] = c
	}
	c.count = min(c.count+1, classMemory)
	c.bias += (math.Log(took.Seconds()/j.spec.EstimateS) - c.bias) / c.count
}

// maxClassSamples is the number of finished tasks over which the correction averages.
const classMemory = 60

// tooSoonToScaleOut reports whether a start objective leaves no time to rent a machine.
func (s *clusterState) tooSoonToRent(within time.Duration) bool { return within < 2*s.lease() }

// Large jobs yield while not all jobs can be in time, and late jobs come last. Still, every job
// must start within maxStartDelay, however long a burst of small or latency-sensitive work lasts,
// and no class or team may starve another. So a job that has not started after overdueAfter is
// overdue and starts ahead of all others, with a part of its tasks; and a job older than
// maxStartDelay is ordered with the latency-sensitive work, by age.
const (
	mustBegin   = 4 * time.Minute // limit of the protocol
	beginsAfter = mustBegin * 3 / 8
	beginShare  = 8 // an overdue job starts one in this many of its tasks
)

// plannedStartWithin is the time within which the plan lets every job start, even one without an
// SLO or with a longer one. It is well inside maxStartDelay.
const planBegin = mustBegin * 3 / 5
