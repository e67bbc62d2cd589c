// Package dependency owns the DAG of the open jobs and the jobs on which they depend: which jobs are
// released or cancelled, and the deadlines and ranks along it. It does no I/O and stores nothing.
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
// A job with dependencies takes no part in scheduling until the completion of each is durable,
// because the next leader may not know what only this leader has observed. The stored records
// alone decide: a job is cancelled once the terminal record of any job that it depends on says
// so. Nothing more has to be written, and a new leader continues from the same records.
type Graph struct {
	state      *cluster.State
	host       Host
	Dependents map[string][]*cluster.Job // jobs with a pending dependency, by the dependency's id

	Lookups        map[string]clock.Instant // dependencies that are not open here: when to read their outcome
	lookupInterval time.Duration            // pause between two lookups of one dependency
}

// Host is what the dependency graph needs from the leader.
type Host interface {
	// TerminalRecord returns the terminal record of a job, if it is known.
	TerminalRecord(jobID string) (storage.TerminalRecord, bool)
	// InstantFromUnixMilli converts a stored wall clock time to an instant.
	InstantFromUnixMilli(unixMilli int64) clock.Instant
	// JobReleased handles a job that has become available to scheduling.
	JobReleased(job *cluster.Job)
	// CancelJob answers the users who wait for the cancellation of a job, and finishes the job as
	// cancelled unless it is terminal.
	CancelJob(job *cluster.Job)
	// MayLookUp takes one read from the budget of lookups. It reports false if none is left or the
	// key-value store is unavailable.
	MayLookUp() bool
	// ReadTerminalRecord reads a job's terminal record. The callback gets nil if there is none. It is
	// not called if the term of the leader has ended.
	ReadTerminalRecord(jobID string, onRead func(ok bool, terminal *storage.TerminalRecord))
	// LoadOpenJob reads the record of an open job, if there is one, and adds it to the open jobs.
	LoadOpenJob(jobID string)
}

// New returns an empty graph of a cluster state.
func New(state *cluster.State, host Host, lookupInterval time.Duration) *Graph {
	return &Graph{
		state: state, host: host, Dependents: map[string][]*cluster.Job{},
		Lookups: map[string]clock.Instant{}, lookupInterval: lookupInterval,
	}
}

// AddJob registers a new job with its dependencies and updates their deadlines and ranks.
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
// reports whether the dependency is known to be cancelled all the same.
func (g *Graph) addPendingDependency(job *cluster.Job, dependencyID string) (cancelled bool) {
	job.PendingDependencies++
	g.Dependents[dependencyID] = append(g.Dependents[dependencyID], job)
	dependency := g.state.Jobs[dependencyID]
	if dependency == nil {
		// The record may follow with the next page or the watch, or the job may be terminal.
		g.Lookups[dependencyID] = g.state.Clock.Now()
		return false
	}
	// The cancellation of the dependency, or of one before it, may have been read by another
	// controller.
	job.CompletionUncertain = job.CompletionUncertain ||
		(dependency.CompletionUncertain && (dependency.Cancelled || !dependency.Terminal))
	return dependency.DependencyCancelled
}

// endedAt returns when a job with this terminal record ended, but no later than now.
func (g *Graph) endedAt(terminal storage.TerminalRecord) clock.Instant {
	return min(g.host.InstantFromUnixMilli(terminal.EndedAtMillis), g.state.Clock.Now())
}

// releaseJob makes a job without pending dependencies available to scheduling.
func (g *Graph) releaseJob(job *cluster.Job) {
	g.state.RunnableJobs[job.Spec.ID] = job
	job.PendingSince = g.state.Clock.Now()
	g.state.SchedulingNeeded = true
	g.host.JobReleased(job)
}

// ReleaseDependents processes the durable terminal record of a job: its dependents are cancelled
// or released. writtenHere reports whether this leader has written the record.
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

// completeDependency processes the completion of one dependency of a job, which is released if it
// was the last.
func (g *Graph) completeDependency(job *cluster.Job, terminal storage.TerminalRecord, writtenHere bool) {
	job.EligibleAt = max(job.EligibleAt, g.endedAt(terminal))
	job.ReleasedThisTerm = job.ReleasedThisTerm || writtenHere
	job.PendingDependencies--
	if job.PendingDependencies == 0 {
		g.releaseJob(job)
	}
}

// cancelWithDependents cancels a job and all its dependents because a dependency is cancelled.
// That cancellation is already durable, so users are notified at once; the terminal records of
// the jobs are written with low priority.
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

// ForEachDependent visits all direct and indirect dependents of a job once.
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

// SoonReleasedDependents returns the jobs for which this is the last pending dependency, if it
// should end within the horizon (the boot time of a machine), so that capacity and images can be
// prepared.
func (g *Graph) SoonReleasedDependents(job *cluster.Job, horizon time.Duration) []*cluster.Job {
	dependents := g.Dependents[job.Spec.ID]
	if len(dependents) == 0 || job.PendingTasks > 0 {
		return nil
	}
	expected := g.state.ExpectedTaskDuration(job)
	for _, attempt := range job.Attempts {
		// An overdue attempt may end at any time.
		if g.state.RemainingOfExpected(attempt, expected) > max(horizon, expected/8) {
			return nil
		}
	}
	return slices.DeleteFunc(slices.Clone(dependents), func(dependent *cluster.Job) bool {
		return dependent.Terminal || dependent.PendingDependencies > 1
	})
}

// CompletionPriority returns the write priority of a job's terminal record, which matters when
// writes are throttled.
func (g *Graph) CompletionPriority(job *cluster.Job) storage.Priority {
	switch {
	case job.DependencyCancelled:
		return storage.PriorityLow // it follows from records already stored
	case job.Cancelled:
		return storage.PriorityCancellation
	case len(g.Dependents[job.Spec.ID]) > 0:
		return storage.PriorityDependency
	}
	return storage.PriorityNormal
}
