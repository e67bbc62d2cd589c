package controller

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Handling of users' requests about jobs by the leader.

// onUserRequest serves a user's request as the leader.
func (l *leader) onUserRequest(r Request) {
	n := l.node
	if !l.recordsLoaded && r.Kind != protocol.RequestSubmit {
		if r.Kind == protocol.RequestQuery {
			n.answerQueryFromStore(r, l)
			return
		}
		n.replyUnavailable(r.Origin)
		return
	}
	switch r.Kind {
	case protocol.RequestSubmit:
		if j := l.Jobs[r.Job.ID]; j != nil {
			l.answerJobState(r, j)
			return
		}
		n.submitToStore(r, l)
	case protocol.RequestQuery:
		if j := l.Jobs[r.JobID]; j != nil {
			l.answerJobState(r, j)
			return
		}
		n.answerQueryFromStore(r, l)
	case protocol.RequestCancel:
		l.onCancel(r)
	}
}

// answerJobState replies with a job's state. Once the transaction of the terminal record has been
// sent, another controller may have read the record and notified a user although this leader has
// no response yet. The state is then read from the key-value store, as the state in memory may be
// stale.
//
// The same holds for a job with unresolved dependencies: one may be cancelled, and an earlier
// leader may have reported that.
func (l *leader) answerJobState(r Request, j *cluster.Job) {
	if !j.DependencyCancelled && (j.CompletionUncertain || l.dependencies.MayBeCancelled(j)) {
		l.node.answerFromStore(r, l, retryLater)
		return
	}
	l.node.reply(r.Origin, 200, 0, j.State())
}

// onCancel serves a cancellation, also of a job that is not in the job table.
func (l *leader) onCancel(r Request) {
	n := l.node
	if j := l.Jobs[r.JobID]; j != nil {
		l.cancelJob(j, r.Origin)
		return
	}
	if !protocol.ValidJobID(r.JobID) {
		n.reply(r.Origin, 404, 0, nil)
		return
	}
	n.jobReader.ReadJob(r.JobID, func(ok bool, open *storage.Item, final *storage.TerminalRecord) {
		switch {
		case !ok || n.leader != l || !n.holdsLeaderLease():
			n.replyUnavailable(r.Origin)
		case final != nil:
			n.reply(r.Origin, 200, 0, protocol.JobStatus{ID: r.JobID, State: final.State})
		case open != nil:
			if j := l.adoptStoredJob(r.JobID, *open); j != nil {
				l.cancelJob(j, r.Origin)
				return
			}
			n.replyUnavailable(r.Origin)
		default:
			n.reply(r.Origin, 404, 0, nil)
		}
	})
}

// cancelJob stops a job at once and replies when the cancellation is durable. While the key-value
// store is unavailable the user is told to retry; the cancellation remains in effect.
func (l *leader) cancelJob(j *cluster.Job, origin Origin) {
	if j.DependencyCancelled {
		l.node.reply(origin, 200, 0, j.State())
		return
	}
	if !j.Terminal {
		l.jobRecords.Finish(j, protocol.JobCancelled)
	}
	if l.node.election.StoreUnavailable() {
		l.node.replyUnavailable(origin)
		return
	}
	waiters := append(l.cancelWaiters[j.Spec.ID], origin)
	if len(waiters) > l.node.maxPendingRequests() {
		l.node.replyUnavailable(waiters[0])
		waiters = waiters[1:]
	}
	l.cancelWaiters[j.Spec.ID] = waiters
}
