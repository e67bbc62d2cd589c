package dependency

import (
	"math"
	"slices"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
)

// tightenDeadlines propagates deadlines and ranks (lower is more urgent) from the given jobs to their
// direct and indirect dependencies. A job is due when the expected durations of the longest path of
// dependents up to a deadline (the critical path) leave no spare time. The spare time of a pipeline is
// therefore counted once, and not once per job.
func (g *Graph) tightenDeadlines(jobs ...*cluster.Job) {
	if len(jobs) == 0 {
		return
	}
	pullRate := g.state.ImagePullRate()
	for queue := slices.Clone(jobs); len(queue) > 0; queue = queue[1:] {
		dependent := queue[0]
		if dependent.Terminal {
			continue
		}
		latestStart, rank := g.latestStart(dependent, pullRate), dependent.EffectiveRank()
		for _, id := range dependent.Spec.Dependencies {
			dependency := g.state.Jobs[id]
			if dependency == nil || dependency.Terminal ||
				(latestStart >= dependency.LatestEnd && rank >= dependency.InheritedRank) {
				continue
			}
			dependency.LatestEnd = min(dependency.LatestEnd, latestStart)
			dependency.InheritedRank = min(dependency.InheritedRank, rank)
			g.state.SchedulingNeeded = true
			queue = append(queue, dependency)
		}
	}
}

// latestStart returns the time by which the dependencies of a job must be complete for the job to
// meet its own deadline and those of its dependents. It is clock.Forever if there is no deadline.
func (g *Graph) latestStart(job *cluster.Job, pullRate cluster.ImagePullRate) clock.Instant {
	latestEnd := job.LatestEnd
	if job.Spec.DeadlineSeconds != nil {
		latestEnd = min(latestEnd, g.state.OwnDue(job, job.EligibleAt))
	}
	if latestEnd == clock.Forever {
		return clock.Forever
	}
	return max(latestEnd-g.ExpectedJobDuration(job, pullRate), clock.Never) // a long path can't overflow
}

// RelaxDeadlines recomputes LatestEnd and InheritedRank of the jobs on which the cancelled jobs
// depended directly or indirectly.
func (g *Graph) RelaxDeadlines(cancelledJobs ...*cluster.Job) {
	var relaxed []*cluster.Job
	for queue := slices.Clone(cancelledJobs); len(queue) > 0; queue = queue[1:] {
		for _, id := range queue[0].Spec.Dependencies {
			dependency := g.state.Jobs[id]
			if dependency == nil || dependency.Terminal ||
				(dependency.LatestEnd == clock.Forever && dependency.InheritedRank == math.MaxInt) {
				continue
			}
			dependency.LatestEnd, dependency.InheritedRank = clock.Forever, math.MaxInt
			relaxed = append(relaxed, dependency)
			queue = append(queue, dependency)
		}
	}
	var dependents []*cluster.Job
	for _, dependency := range relaxed {
		dependents = append(dependents, g.Dependents[dependency.Spec.ID]...)
	}
	g.tightenDeadlines(dependents...)
}

// ExpectedJobDuration returns the expected time from the completion of a job's last dependency to
// the completion of the job itself: the run time of its longest task, the image pull, and two
// heartbeats, one that carries the start command and one that reports the end.
func (g *Graph) ExpectedJobDuration(job *cluster.Job, pullRate cluster.ImagePullRate) time.Duration {
	longestTaskFactor := math.Exp(taskDurationLogDeviation * math.Sqrt(2*math.Log(float64(job.Spec.TaskCount))))
	longestTask := config.Seconds(longestTaskFactor * g.state.ExpectedTaskDuration(job).Seconds())
	return longestTask + pullRate.PullDuration(job.Spec.ImageGB) + 2*g.state.HeartbeatInterval()
}

// taskDurationLogDeviation is the standard deviation of the logarithm of a task's run time within
// one job. It determines by how much the longest task of a job exceeds the expected run time.
const taskDurationLogDeviation = 0.25
