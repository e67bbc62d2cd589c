// Package dependency maintains the DAG of the open jobs and the jobs on which they depend. It releases
// or cancels dependent jobs, and propagates deadlines and priority ranks from jobs to their
// dependencies. It performs no I/O and stores nothing.
package dependency

import (
	"slices"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Graph is the DAG of the open jobs and the jobs on which they depend.
//
// A job is not scheduled until the completion of each of its dependencies is durable, because the
// next leader may not know what only this leader has observed. Only stored records decide: a job
// is cancelled once the terminal record of one of its dependencies states a cancellation. No other
// record is needed for that, and a new leader continues from the same records.
type Graph struct {
	state      *cluster.State
	host       Host
	Dependents map[string][]*cluster.Job // jobs that wait for a dependency, by the dependency's id

	Lookups        map[string]clock.Instant // when to read the outcome of a dependency that is not an open job, by id
	lookupInterval time.Duration            // minimum time between two lookups of one dependency
}

// Host provides what the dependency graph needs from the leader.
type Host interface {
	// TerminalRecord returns the terminal record of a job, if it is known.
	TerminalRecord(jobID string) (storage.TerminalRecord, bool)
	// InstantFromUnixMilli converts a stored wall clock time to an instant.
	InstantFromUnixMilli(unixMilli int64) clock.Instant
	// JobReleased notifies the leader that a job without pending dependencies may be scheduled from now on.
	JobReleased(job *cluster.Job)
	// CancelJob is called for a job with a cancelled dependency. It responds to the users who wait for
	// the job's cancellation, and ends the job as cancelled unless it is already terminal.
	CancelJob(job *cluster.Job)
	// MayLookUp takes one read from the budget for lookups. It reports false if the budget is used up
	// or the key-value store is unavailable.
	MayLookUp() bool
	// ReadTerminalRecord reads a job's terminal record and passes it to onRead, or nil if there is
	// none. If the read fails, ok is false. onRead is not called once the leader's term has ended.
	ReadTerminalRecord(jobID string, onRead func(ok bool, terminal *storage.TerminalRecord))
	// LoadOpenJob reads the record of an open job and adds the job to the open jobs, if the record
	// exists.
	LoadOpenJob(jobID string)
}

// New returns a graph for the jobs of a cluster state. The graph is empty until AddJob is called.
func New(state *cluster.State, host Host, lookupInterval time.Duration) *Graph {
	return &Graph{
		state: state, host: host, Dependents: map[string][]*cluster.Job{},
		Lookups: map[string]clock.Instant{}, lookupInterval: lookupInterval,
	}
}

// AddJob registers an open job with its dependencies and updates their deadlines and ranks. The job
// is cancelled if a dependency is known to be cancelled, and released if no dependency is pending.
func (g *Graph) AddJob(job *cluster.Job) {
	id, cancelled := job.Spec.ID, false
	for _, dependencyID := range job.Spec.Dependencies {
		if terminal, ended := g.host.TerminalRecord(dependencyID); ended {
			cancelled = cancelled || terminal.State == protocol.JobCancelled
			job.EligibleAt = max(job.EligibleAt, g.endedAt(terminal))
			continue
		}
		cancelled = g.addPendingDependency(job, dependencyID) || cancelled
	}
	delete(g.Lookups, id)
	g.tightenDeadlines(g.Dependents[id]...)
	switch {
	case cancelled:
		g.cancelWithDependents(job)
	case job.PendingDependencies == 0:
		g.releaseJob(job)
	default:
		g.tightenDeadlines(job)
	}
}

// addPendingDependency registers a job with a dependency whose terminal record is not known. It
// reports whether the dependency is nevertheless known to be cancelled.
func (g *Graph) addPendingDependency(job *cluster.Job, dependencyID string) (cancelled bool) {
	job.PendingDependencies++
	g.Dependents[dependencyID] = append(g.Dependents[dependencyID], job)
	dependency := g.state.Jobs[dependencyID]
	if dependency == nil {
		// The dependency's record may arrive with the next page of records or through the watch,
		// or the dependency may be terminal.
		g.Lookups[dependencyID] = g.state.Clock.Now()
		return false
	}
	// Another controller may already have read that this dependency, or one on which it depends in
	// turn, is cancelled.
	job.CompletionUncertain = job.CompletionUncertain ||
		(dependency.CompletionUncertain && (dependency.Cancelled || !dependency.Terminal))
	return dependency.DependencyCancelled
}

// endedAt returns when the job of a terminal record ended, but at most the current time.
func (g *Graph) endedAt(terminal storage.TerminalRecord) clock.Instant {
	return min(g.host.InstantFromUnixMilli(terminal.EndedAtMillis), g.state.Clock.Now())
}

// releaseJob makes a job without pending dependencies available for scheduling. A job that allows no machine is
// never scheduled: it must neither get machines nor hold other jobs back.
func (g *Graph) releaseJob(job *cluster.Job) {
	if job.Spec.AllowsNoMachine() {
		job.BlockedBy = cluster.WaitCapacity
		g.state.Log.Warn("job allows no machine type, so none of its tasks starts", "job", job.Spec.ID)
		return
	}
	g.state.RunnableJobs[job.Spec.ID] = job
	job.PendingSince = g.state.Clock.Now()
	g.state.SchedulingNeeded = true
	g.host.JobReleased(job)
}

// ReleaseDependents processes the durable terminal record of a job. Its dependents are cancelled if
// the job was cancelled; otherwise those without another pending dependency are released.
// writtenHere states whether this leader has written the record.
func (g *Graph) ReleaseDependents(jobID string, terminal storage.TerminalRecord, writtenHere bool) {
	dependents := g.Dependents[jobID]
	delete(g.Dependents, jobID)
	delete(g.Lookups, jobID)
	for _, dependent := range dependents {
		switch {
		case dependent.Terminal:
		case terminal.State == protocol.JobCancelled:
			g.cancelWithDependents(dependent)
		default:
			g.completeDependency(dependent, terminal, writtenHere)
		}
	}
}

// completeDependency records the completion of one dependency of a job, and releases the job if that
// was its last pending dependency.
func (g *Graph) completeDependency(job *cluster.Job, terminal storage.TerminalRecord, writtenHere bool) {
	job.EligibleAt = max(job.EligibleAt, g.endedAt(terminal))
	job.ReleasedThisTerm = job.ReleasedThisTerm || writtenHere
	job.PendingDependencies--
	if job.PendingDependencies == 0 {
		g.releaseJob(job)
	}
}

// cancelWithDependents cancels a job and all its direct and indirect dependents because one of the
// job's dependencies is cancelled. That cancellation is already durable, so users are notified at
// once, and the terminal records of the cancelled jobs are written with low priority.
func (g *Graph) cancelWithDependents(job *cluster.Job) {
	var cancelled []*cluster.Job
	for queue := []*cluster.Job{job}; len(queue) > 0; queue = queue[1:] {
		next := queue[0]
		if next.DependencyCancelled {
			continue
		}
		next.DependencyCancelled = true
		cancelled = append(cancelled, next)
		g.host.CancelJob(next)
		queue = append(queue, g.Dependents[next.Spec.ID]...)
	}
	g.RelaxDeadlines(cancelled...)
}

// ForEachDependent calls visit once for each direct and indirect dependent of a job.
func (g *Graph) ForEachDependent(job *cluster.Job, visit func(*cluster.Job)) {
	seen := map[*cluster.Job]bool{}
	for queue := slices.Clone(g.Dependents[job.Spec.ID]); len(queue) > 0; queue = queue[1:] {
		dependent := queue[0]
		if seen[dependent] {
			continue
		}
		seen[dependent] = true
		visit(dependent)
		queue = append(queue, g.Dependents[dependent.Spec.ID]...)
	}
}

// SoonReleasedDependents returns the jobs whose last pending dependency is the given job, if that
// job is expected to end within the horizon (the boot time of a machine). Machines and images can
// then be prepared for them in advance.
func (g *Graph) SoonReleasedDependents(job *cluster.Job, horizon time.Duration) []*cluster.Job {
	dependents := g.Dependents[job.Spec.ID]
	if len(dependents) == 0 || job.PendingTasks > 0 {
		return nil
	}
	expected := g.state.ExpectedTaskDuration(job)
	for _, attempt := range job.Attempts {
		// An attempt that exceeds its expected duration may end at any time; the estimate of its
		// remaining duration never falls below expected/8.
		if g.state.RemainingOfExpected(attempt, expected) > max(horizon, expected/8) {
			return nil
		}
	}
	return slices.DeleteFunc(slices.Clone(dependents), func(dependent *cluster.Job) bool {
		return dependent.Terminal || dependent.PendingDependencies > 1 || dependent.Spec.AllowsNoMachine()
	})
}

// CompletionPriority returns the priority with which a job's terminal record is written. It matters
// only while writes are throttled.
func (g *Graph) CompletionPriority(job *cluster.Job) storage.Priority {
	switch {
	case job.DependencyCancelled:
		return storage.PriorityLow // the cancellation follows from records already stored
	case job.Cancelled:
		return storage.PriorityCancellation
	case len(g.Dependents[job.Spec.ID]) > 0:
		return storage.PriorityDependency
	}
	return storage.PriorityNormal
}
