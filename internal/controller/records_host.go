package controller

import (
	"net/http"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/jobstore"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// recordsHost implements TransactionHost, LoaderHost, JobHost, QuarantineHost, JobWatchHost and Clock
// of package records for a leader.
type recordsHost struct{ leader *leader }

// Now returns the time of the current step.
func (h recordsHost) Now() clock.Instant { return h.leader.node.now }

// UnixMilli returns the wall-clock time of an instant in Unix milliseconds.
func (h recordsHost) UnixMilli(at clock.Instant) int64 {
	return h.leader.node.unixMilli(at)
}

// InstantFromUnixMilli converts a stored wall-clock time to an instant.
func (h recordsHost) InstantFromUnixMilli(milliseconds int64) clock.Instant {
	return h.leader.node.instantFromUnixMilli(milliseconds)
}

// WorkerLease returns the duration of the workers' lease.
func (h recordsHost) WorkerLease() time.Duration { return h.leader.node.workerLease() }

// CallStore sends a request to the key-value store and passes the response to onResponse, unless the
// term has ended by then.
func (h recordsHost) CallStore(method, path string, body any, onResponse func(storage.Response)) {
	node := h.leader.node
	node.storeCall(method, path, body, func(result CallResult) {
		if node.leader == h.leader {
			onResponse(storage.Response{Status: result.Status, Body: result.Body})
		}
	})
}

// WatchStore sends a long poll to the key-value store and passes its response to onResponse, unless
// the term has ended by then. The response does not affect whether the store is considered available.
func (h recordsHost) WatchStore(path string, timeout time.Duration, onResponse func(storage.Response)) {
	node := h.leader.node
	node.callService(TargetStore, http.MethodGet, path, nil, timeout, func(result CallResult) {
		if node.leader == h.leader {
			onResponse(storage.Response{Status: result.Status, Body: result.Body})
		}
	})
}

// RecordsLoaded reports whether all records that were stored at the start of the term are loaded.
func (h recordsHost) RecordsLoaded() bool { return h.leader.recordsLoaded }

// CallAfter calls a function after a delay, unless the term has ended by then.
func (h recordsHost) CallAfter(delay time.Duration, call func()) {
	l := h.leader
	l.delayedCalls = append(l.delayedCalls, delayedCall{l.node.now + delay, call})
}

// StepDown ends the leader's term.
func (h recordsHost) StepDown(reason string) { h.leader.node.stepDown(reason) }

// StoreUnavailable reports whether the key-value store is considered down.
func (h recordsHost) StoreUnavailable() bool { return h.leader.node.election.StoreUnavailable() }

// NewerVersionSeen reports whether a controller has written a higher protocol level than that of this
// version.
func (h recordsHost) NewerVersionSeen() bool { return h.leader.node.protocolLevels.newerVersionSeen() }

// MarkJobAccepted records that a job is known to have been accepted.
func (h recordsHost) MarkJobAccepted(jobID string) { h.leader.node.jobReader.RecordAccepted(jobID) }

// ReadTerminalRecord reads a job's terminal record. If there is one, jobReaderHost.TerminalRecordRead
// handles it.
func (h recordsHost) ReadTerminalRecord(jobID string) {
	h.leader.node.jobReader.ReadTerminalRecord(jobID, func(*storage.TerminalRecord, error) {})
}

// IsTerminal reports whether a job's terminal record is known.
func (h recordsHost) IsTerminal(jobID string) bool {
	_, isTerminal := h.leader.node.jobReader.TerminalRecord(jobID)
	return isTerminal
}

// LegacyLeaderPossible reports whether a controller of protocol level 0 may become leader.
func (h recordsHost) LegacyLeaderPossible() bool {
	return !h.leader.node.clusterSupports(protocolLevelDependencies)
}

// JobAdded is called after a job was added to the job table, and adds the job to the dependency graph
// too. If the leader had already loaded the records, the job is new, so it is also counted for admission
// and traced.
func (h recordsHost) JobAdded(job *cluster.Job) {
	l := h.leader
	l.dependencies.AddJob(job)
	if l.recordsLoaded {
		l.admission.CountAccepted(&job.Spec)
		l.node.traceStep(job.Spec.ID, stepLoaded, "")
	}
}

// CompletionPriority returns the priority with which a job's terminal record is written.
func (h recordsHost) CompletionPriority(job *cluster.Job) storage.Priority {
	return h.leader.dependencies.CompletionPriority(job)
}

// RelaxDeadlines recomputes the deadlines of the jobs on which a cancelled job depended, directly or
// indirectly.
func (h recordsHost) RelaxDeadlines(cancelled *cluster.Job) {
	h.leader.dependencies.RelaxDeadlines(cancelled)
}

// ForEachDependent visits all direct and indirect dependents of a job once.
func (h recordsHost) ForEachDependent(job *cluster.Job, visit func(dependent *cluster.Job)) {
	h.leader.dependencies.ForEachDependent(job, visit)
}

// TerminalRecordWritten traces the end of a job whose terminal record this leader has written, and
// caches the record.
func (h recordsHost) TerminalRecordWritten(job *cluster.Job, terminal storage.TerminalRecord) {
	l := h.leader
	l.node.traceStep(job.Spec.ID, stepTerminal, string(terminal.State)+" after "+l.jobAge(job))
	l.node.jobReader.CacheTerminalRecord(job.Spec.ID, terminal)
}

// JobEnded releases or cancels the dependents of a job with a durable terminal record and responds to
// the users who wait for its cancellation. writtenHere tells whether this leader has written the record.
func (h recordsHost) JobEnded(jobID string, terminal storage.TerminalRecord, writtenHere bool) {
	l := h.leader
	l.dependencies.ReleaseDependents(jobID, terminal, writtenHere)
	status := protocol.JobStatus{ID: jobID, State: terminal.State}
	if !writtenHere {
		status = jobstore.TerminalState(jobID, terminal)
	}
	for _, origin := range l.cancelWaiters[jobID] {
		l.node.replyJobStatus(origin, http.StatusOK, status)
	}
	delete(l.cancelWaiters, jobID)
}
