package controller

import (
	"net/http"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/storage"
)

// This file handles the users' requests about jobs on the leader.

// onUserRequest handles a user's request on the leader. Until the records are loaded, the leader
// answers queries from the key-value store, accepts submissions and rejects cancellations.
func (l *leader) onUserRequest(request Request) {
	n := l.node
	if !l.recordsLoaded && request.Kind != protocol.RequestSubmit {
		if request.Kind == protocol.RequestQuery {
			n.replyToQueryFromStore(request, l)
			return
		}
		n.reject(request, rejection.LeaderLoading)
		return
	}
	switch request.Kind {
	case protocol.RequestSubmit:
		if job := l.Jobs[request.Job.ID]; job != nil {
			l.replyJobState(request, job)
			return
		}
		n.submissions.submit(request, l)
	case protocol.RequestQuery:
		if job := l.Jobs[request.JobID]; job != nil {
			l.replyJobState(request, job)
			return
		}
		n.replyToQueryFromStore(request, l)
	case protocol.RequestCancel:
		l.onCancel(request)
	}
}

// replyJobState replies with a job's state. Once the transaction of the terminal record has been
// sent, another controller may have read the record and notified a user although this leader has
// no response from the key-value store yet. In this case the state in memory may be stale, so the
// state is read from the store.
//
// The state in memory may also be stale for a job with unresolved dependencies: a dependency may have
// been cancelled, and an earlier leader may have reported the job as cancelled to a user.
func (l *leader) replyJobState(request Request, job *cluster.Job) {
	if !job.DependencyCancelled && (job.CompletionUncertain || l.dependencies.MayBeCancelled(job)) {
		l.node.replyFromStore(request, l, retryLater)
		return
	}
	l.node.replyJobStatus(request.Origin, http.StatusOK, job.State())
}

// onCancel handles a user's cancellation of a job. If the job is not in the job table, onCancel reads
// its record.
func (l *leader) onCancel(request Request) {
	n := l.node
	if job := l.Jobs[request.JobID]; job != nil {
		l.cancelJob(job, request)
		return
	}
	if !protocol.ValidJobID(request.JobID) {
		n.reply(request.Origin, http.StatusNotFound, 0, nil)
		return
	}
	n.jobReader.ReadJob(request.JobID, func(open *storage.Item, terminal *storage.TerminalRecord, err error) {
		switch {
		case err != nil:
			n.rejectUnreadable(request, err)
		case n.leader != l || !n.holdsLeaderLease():
			n.reject(request, rejection.TermEnded)
		case terminal != nil:
			status := protocol.JobStatus{ID: request.JobID, State: terminal.State}
			n.replyJobStatus(request.Origin, http.StatusOK, status)
		case open != nil:
			if job := l.adoptStoredJob(request.JobID, *open); job != nil {
				l.cancelJob(job, request)
				return
			}
			n.reject(request, l.adoptionFailure(request.JobID))
		default:
			n.replyUnknownJob(request)
		}
	})
}

// adoptionFailure returns why an open record was not added to the job table: it can't be read, or the job has
// ended since it was read.
func (l *leader) adoptionFailure(jobID string) rejection.Reason {
	if l.quarantine.IsUnreadableJob(jobID) {
		return rejection.UnreadableRecord
	}
	return rejection.Deferred
}

// cancelJob stops a job at once and replies when the cancellation is durable. While the key-value
// store is unavailable, it tells the user to retry; the cancellation remains in effect.
func (l *leader) cancelJob(job *cluster.Job, request Request) {
	if job.DependencyCancelled {
		l.node.replyJobStatus(request.Origin, http.StatusOK, job.State())
		return
	}
	if !job.Terminal {
		l.jobRecords.Finish(job, protocol.JobCancelled)
	}
	if l.node.election.StoreUnavailable() {
		l.node.reject(request, rejection.StoreUnavailable)
		return
	}
	waiters := append(l.cancelWaiters[job.Spec.ID], request.Origin)
	if len(waiters) > l.node.maxPendingRequests() {
		l.node.rejectOrigin(protocol.RequestCancel, waiters[0], rejection.WaitersLimit)
		waiters = waiters[1:]
	}
	l.cancelWaiters[job.Spec.ID] = waiters
}
