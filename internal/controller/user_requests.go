package controller

import (
	"net/http"
	"strconv"

	"hitchdoor/internal/jobstore"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/storage"
)

// formatUint formats an unsigned integer in decimal.
func formatUint(value uint64) string { return strconv.FormatUint(value, 10) }

// queuedJobState returns the state of an open job of which only the stored record is known: queued,
// without any completed or running task.
func queuedJobState(jobID string) protocol.JobStatus {
	done, running := 0, 0
	return protocol.JobStatus{ID: jobID, State: protocol.JobQueued, DoneTasks: &done, RunningTasks: &running}
}

// onRequest dispatches a request that arrived on one of this node's own connections, or that a
// peer forwarded.
func (n *Node) onRequest(request Request) {
	if request.Kind == protocol.RequestHeartbeat {
		n.onWorkerHeartbeat(request)
		return
	}
	if page := statusPageByKind[request.Kind]; page != nil {
		status, body := page(statusPages{n}, request)
		n.reply(request.Origin, status, 0, body)
		return
	}
	request.knownAccepted = n.jobReader.KnownAccepted(requestedJob(request))
	if record, ok := n.jobReader.TerminalRecord(request.JobID); ok {
		// A terminal state never changes, so any node may return it.
		n.replyJobStatus(request.Origin, http.StatusOK, jobstore.TerminalState(request.JobID, record))
		return
	}
	if n.holdsLeaderLease() {
		n.leader.onUserRequest(request)
		return
	}
	if request.Origin.Peer != "" {
		// The peer believes that this node leads. On this response the peer uses the key-value store itself.
		n.reject(request, rejection.NotLeader)
		return
	}
	if request.Kind == protocol.RequestSubmit {
		// Any node may write a submission, because the leader watches the open jobs.
		if !n.election.StoreFailing() || !n.forwards.sendSubmissionOnce(request) {
			n.serveWithoutLeader(request)
		}
		return
	}
	if !n.forwards.sendToLeader(request) {
		n.serveWithoutLeader(request)
	}
}

// serveWithoutLeader serves a submission or a query from the key-value store alone, and rejects any
// other request. The caller has counted why the leader does not serve the request.
func (n *Node) serveWithoutLeader(request Request) {
	switch request.Kind {
	case protocol.RequestSubmit:
		n.submissions.submit(request, nil)
	case protocol.RequestQuery:
		n.replyToQueryFromStore(request, nil)
	case protocol.RequestHeartbeat:
		n.workerRouter.RecordStranded(request.Heartbeat.Machine)
		n.replyUnavailable(request.Origin)
	default:
		n.replyUnavailable(request.Origin)
	}
}

// replyToQueryFromStore replies to a query from the key-value store. asLeader is the leader that
// received the query, or nil on a follower.
func (n *Node) replyToQueryFromStore(request Request, asLeader *leader) {
	if !protocol.ValidJobID(request.JobID) {
		n.reply(request.Origin, http.StatusNotFound, 0, nil)
		return
	}
	n.replyFromStore(request, asLeader, jobNotFound)
}

// replyFromStore replies with the stored state of a job, or with ifUnknown if the key-value store
// has no record of the job. If the record can't be read, the user is told to retry. An open job is added
// to the state of asLeader, if that leader still holds its leader lease when the record arrives.
func (n *Node) replyFromStore(request Request, asLeader *leader, ifUnknown errorResponse) {
	onState := func(openItem *storage.Item, terminal *storage.TerminalRecord, err error) {
		switch {
		case err != nil && ifUnknown.retryAfterSeconds == 0:
			n.rejectUnreadable(request, err)
		case err != nil || (openItem == nil && terminal == nil && ifUnknown.retryAfterSeconds > 0):
			n.rejections.Add(request.Kind, readFailureReason(err))
			n.reply(request.Origin, http.StatusServiceUnavailable, ifUnknown.retryAfterSeconds, ifUnknown)
		case terminal != nil:
			n.replyJobStatus(request.Origin, http.StatusOK, jobstore.TerminalState(request.JobID, *terminal))
		case openItem != nil:
			if asLeader != nil && n.leader == asLeader && n.holdsLeaderLease() {
				if job := asLeader.adoptStoredJob(request.JobID, *openItem); job != nil {
					n.replyJobStatus(request.Origin, http.StatusOK, job.State())
					return
				}
			}
			// The job may have ended after its record was read. Then its terminal record is cached.
			if record, isTerminal := n.jobReader.TerminalRecord(request.JobID); isTerminal {
				n.replyJobStatus(request.Origin, http.StatusOK, jobstore.TerminalState(request.JobID, record))
				return
			}
			n.replyJobStatus(request.Origin, http.StatusOK, queuedJobState(request.JobID))
		default:
			n.replyError(request, ifUnknown)
		}
	}
	n.jobReader.ReadEffectiveState(request.JobID, onState)
}
