package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/cluster"

	"hitchdoor/internal/clock"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// A job with dependencies takes no part in scheduling until the completion of each is durable,
// because the next leader may not know what only this leader has observed. The stored records
// alone decide: a job is cancelled once the terminal record of any job that it depends on says
// so. Nothing more has to be written, and a new leader continues from the same records.

// addDependencies registers a new job with its dependencies and updates their deadlines and
// ranks.
func (l *leader) addDependencies(j *cluster.Job) {
	cancelled := false
	for _, id := range j.Spec.Dependencies {
		if final, ended := l.node.jobReader.terminalRecord(id); ended {
			cancelled = cancelled || final.State == protocol.JobCancelled
			j.EligibleAt = max(j.EligibleAt, min(l.node.instantFromUnixMilli(final.EndedAtMillis), l.node.now))
			continue
		}
		j.PendingDependencies++
		l.Dependents[id] = append(l.Dependents[id], j)
		if dependency := l.Jobs[id]; dependency != nil {
			cancelled = cancelled || dependency.DependencyCancelled
			// The cancellation of the dependency, or of one before it, may have been read by another
			// controller.
			j.CompletionUncertain = j.CompletionUncertain || (dependency.CompletionUncertain && (dependency.Cancelled || !dependency.Terminal))
		} else {
			// The record may follow with the next page or the watch, or the job may be terminal.
			l.dependencyLookups[id] = l.node.now
		}
	}
	delete(l.dependencyLookups, j.Spec.ID)
	l.tightenDeadlines(l.Dependents[j.Spec.ID]...)
	switch {
	case cancelled:
		l.cancelWithDependents(j)
	case j.PendingDependencies == 0:
		l.releaseJob(j)
	default:
		l.tightenDeadlines(j)
	}
}

// releaseJob makes a job without pending dependencies available to scheduling.
func (l *leader) releaseJob(j *cluster.Job) {
	l.RunnableJobs[j.Spec.ID] = j
	j.PendingSince = l.node.now
	l.SchedulingNeeded = true
	if l.recordsLoaded {
		l.autoscaler.recordArrival(j)
	}
}

// soonReleasedDependents returns the jobs for which this is the last pending dependency, if it
// should end within the horizon (the boot time of a machine), so that capacity and images can be
// prepared.
func (l *leader) soonReleasedDependents(j *cluster.Job, horizon time.Duration) []*cluster.Job {
	dependents := l.Dependents[j.Spec.ID]
	if len(dependents) == 0 || j.PendingTasks > 0 {
		return nil
	}
	expected := l.ExpectedTaskDuration(j)
	for _, r := range j.Attempts {
		if l.RemainingOfExpected(r, expected) > max(horizon, expected/8) { // an overdue attempt may end at any time
			return nil
		}
	}
	return slices.DeleteFunc(slices.Clone(dependents), func(dependent *cluster.Job) bool { return dependent.Terminal || dependent.PendingDependencies > 1 })
}

// releaseDependents processes the durable terminal record of a job: its dependents are cancelled
// or released. writtenHere reports whether this leader has written the record.
func (l *leader) releaseDependents(id string, final storage.TerminalRecord, writtenHere bool) {
	dependents := l.Dependents[id]
	delete(l.Dependents, id)
	delete(l.dependencyLookups, id)
	for _, dependent := range dependents {
		switch {
		case dependent.Terminal:
		case final.State == protocol.JobCancelled:
			l.cancelWithDependents(dependent)
		default:
			dependent.EligibleAt = max(dependent.EligibleAt, min(l.node.instantFromUnixMilli(final.EndedAtMillis), l.node.now))
			dependent.ReleasedThisTerm = dependent.ReleasedThisTerm || writtenHere
			if dependent.PendingDependencies--; dependent.PendingDependencies == 0 {
				l.releaseJob(dependent)
			}
		}
	}
}

// cancelWithDependents cancels a job and all its dependents because a dependency is cancelled.
// That cancellation is already durable, so users are notified at once; the terminal records of
// the jobs are written with low priority.
func (l *leader) cancelWithDependents(j *cluster.Job) {
	var cancelled []*cluster.Job
	for queue := []*cluster.Job{j}; len(queue) > 0; queue = queue[1:] {
		next := queue[0]
		if next.DependencyCancelled {
			continue
		}
		next.DependencyCancelled = true
		cancelled = append(cancelled, next)
		for _, origin := range l.cancelWaiters[next.Spec.ID] {
			l.node.reply(origin, 200, 0, next.State())
		}
		delete(l.cancelWaiters, next.Spec.ID)
		if !next.Terminal {
			l.finishJob(next, protocol.JobCancelled)
		}
		queue = append(queue, l.Dependents[next.Spec.ID]...)
	}
	l.relaxDeadlines(cancelled...)
}

// forEachDependent visits all direct and indirect dependents of a job once.
func (l *leader) forEachDependent(j *cluster.Job, visit func(*cluster.Job)) {
	seen := map[*cluster.Job]bool{}
	for queue := slices.Clone(l.Dependents[j.Spec.ID]); len(queue) > 0; queue = queue[1:] {
		if dependent := queue[0]; !seen[dependent] {
			seen[dependent] = true
			visit(dependent)
			queue = append(queue, l.Dependents[dependent.Spec.ID]...)
		}
	}
}

// relaxDeadlines recomputes LatestEnd and InheritedRank of the jobs on which cancelled jobs
// depended.
func (l *leader) relaxDeadlines(jobs ...*cluster.Job) {
	var relaxed, dependents []*cluster.Job
	for queue := slices.Clone(jobs); len(queue) > 0; queue = queue[1:] {
		for _, id := range queue[0].Spec.Dependencies {
			if dependency := l.Jobs[id]; dependency != nil && !dependency.Terminal && (dependency.LatestEnd != clock.Forever || dependency.InheritedRank != math.MaxInt) {
				dependency.LatestEnd, dependency.InheritedRank = clock.Forever, math.MaxInt
				relaxed, queue = append(relaxed, dependency), append(queue, dependency)
			}
		}
	}
	for _, dependency := range relaxed {
		dependents = append(dependents, l.Dependents[dependency.Spec.ID]...)
	}
	l.tightenDeadlines(dependents...)
}

// completionPriority returns the write priority of a job's terminal record, which matters when
// writes are throttled.
func (l *leader) completionPriority(j *cluster.Job) storage.Priority {
	switch {
	case j.DependencyCancelled:
		return storage.PriorityLow // it follows from records already stored
	case j.Cancelled:
		return storage.PriorityCancellation
	case len(l.Dependents[j.Spec.ID]) > 0:
		return storage.PriorityDependency
	}
	return storage.PriorityNormal
}

// tightenDeadlines propagates deadlines and ranks from the given jobs to their direct and
// indirect dependencies. A job is due when the longest path from it to a deadline (the critical
// path) leaves no more time, so the slack of a pipeline is counted only once.
func (l *leader) tightenDeadlines(jobs ...*cluster.Job) {
	if len(jobs) == 0 {
		return
	}
	pullRate := l.ImagePullRate()
	for queue := slices.Clone(jobs); len(queue) > 0; queue = queue[1:] {
		dependent := queue[0]
		if dependent.Terminal {
			continue
		}
		latestStart := dependent.LatestEnd
		if dependent.Spec.DeadlineSeconds != nil {
			latestStart = min(latestStart, l.OwnDue(dependent, dependent.EligibleAt))
		}
		if latestStart < clock.Forever {
			latestStart -= l.expectedJobDuration(dependent, pullRate)
		}
		for _, id := range dependent.Spec.Dependencies {
			dependency := l.Jobs[id]
			if dependency == nil || dependency.Terminal || (latestStart >= dependency.LatestEnd && dependent.EffectiveRank() >= dependency.InheritedRank) {
				continue
			}
			dependency.LatestEnd, dependency.InheritedRank = min(dependency.LatestEnd, latestStart), min(dependency.InheritedRank, dependent.EffectiveRank())
			l.SchedulingNeeded = true
			queue = append(queue, dependency)
		}
	}
}

// expectedJobDuration returns the expected time from the completion of a job's last dependency to
// its own: its longest task, the image fetch, and the two heartbeats that carry the start and the
// end.
func (l *leader) expectedJobDuration(j *cluster.Job, pullRate cluster.ImagePullRate) time.Duration {
	longestTaskFactor := math.Exp(taskDurationLogDeviation * math.Sqrt(2*math.Log(float64(j.Spec.TaskCount))))
	return time.Duration(longestTaskFactor*float64(l.ExpectedTaskDuration(j))) + pullRate.PullDuration(j.Spec.ImageGB) + 2*l.node.heartbeatInterval()
}

// taskDurationLogDeviation is the standard deviation of the logarithms of the run times of a
// job's tasks.
const taskDurationLogDeviation = 0.25

// tickDependencyLookups reads the state of dependencies that are not in the job table.
func (l *leader) tickDependencyLookups() {
	for _, id := range slices.Sorted(maps.Keys(l.dependencyLookups)) {
		switch lookupAt := l.dependencyLookups[id]; {
		case l.Jobs[id] != nil || l.Dependents[id] == nil:
			delete(l.dependencyLookups, id)
		case l.node.now >= lookupAt && !l.node.election.storeUnavailable() && l.lookupBudget.Take(l.node.now, 1):
			l.dependencyLookups[id] = l.node.now + l.node.workerLease()/pollsPerLease
			l.lookUpDependency(id)
		}
	}
}

// lookUpDependency reads the terminal record of a dependency, or its open record if there is
// none. If neither is found, the job moved from one to the other between the reads, and a later
// lookup finds it.
func (l *leader) lookUpDependency(id string) {
	n := l.node
	n.jobReader.readTerminalRecord(id, func(ok bool, final *storage.TerminalRecord) {
		switch {
		case n.leader != l:
		case final != nil:
			l.releaseDependents(id, *final, false)
		case ok:
			n.storeCall("GET", "/store/"+storage.JobKey(id), nil, func(r CallResult) {
				var item storage.Item
				if n.leader == l && r.Status == 200 && json.Unmarshal(r.Body, &item) == nil {
					l.adoptStoredJob(id, item)
				}
			})
		}
	})
}
