package controller

import (
	"net/http"
	"strconv"

	"hitchdoor/internal/forwarding"
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
		if !n.election.StoreFailing() || !n.forwardSubmissionOnce(request) {
			n.serveWithoutLeader(request)
		}
		return
	}
	if !n.forwardToLeader(request) {
		n.serveWithoutLeader(request)
	}
}

// forwardToPeer forwards a request to a peer. If no response arrives in time, the request is served without
// the leader.
func (n *Node) forwardToPeer(target *peer, request Request) {
	id := n.forwards.Add(request, n.now+forwardTimeout(request.Kind, n.workerLease()))
	// The body is encoded again from the parsed value, because the original may contain line
	// breaks, which would break the framing of messages between peers.
	message := protocol.ForwardedRequest{ID: id, Kind: request.Kind, JobID: request.JobID}
	switch request.Kind {
	case protocol.RequestSubmit:
		message.Body = storage.Encode(request.Job.Forwarded())
	case protocol.RequestHeartbeat:
		message.Body = storage.Encode(request.Heartbeat)
	}
	n.send(target.Name, message)
}

// forwardSubmissionOnce forwards to the leader a submission that this node can't write. This can help,
// because the key-value store may refuse one node while it serves the others. It reports
// false if the submission was forwarded before or can't be forwarded.
func (n *Node) forwardSubmissionOnce(request Request) bool {
	if request.Origin.Peer != "" || request.forwarded {
		return false
	}
	request.forwarded = true
	return n.forwardToLeader(request)
}

// forwardToLeader forwards a user's request to the leader. It reports false if no leader is known or
// too many forwarded requests are pending.
func (n *Node) forwardToLeader(request Request) bool {
	leaderPeer := n.leaderPeer()
	if leaderPeer == nil {
		n.rejections.Add(request.Kind, rejection.NoLeader)
		return false
	}
	if n.forwards.Count() >= n.maxPendingRequests() {
		n.rejections.Add(request.Kind, rejection.ForwardLimit)
		return false
	}
	n.forwardToPeer(leaderPeer, request)
	return true
}

// onForwardedRequest handles a request that a peer forwarded.
func (n *Node) onForwardedRequest(sender *peer, message protocol.ForwardedRequest) {
	request := Request{Origin: Origin{RequestID: message.ID, Peer: sender.Name}, Kind: message.Kind,
		JobID: message.JobID}
	var err error
	switch message.Kind {
	case protocol.RequestSubmit:
		request.Job, err = protocol.ParseForwardedJob(message.Body)
	case protocol.RequestHeartbeat:
		request.Heartbeat, err = protocol.ParseWorkerHeartbeat(message.Body)
	}
	if err != nil {
		n.reject(request, rejection.Malformed)
		return
	}
	n.onRequest(request)
}

// onForwardedResponse handles the leader's response to a forwarded request.
func (n *Node) onForwardedResponse(response protocol.ForwardedResponse) {
	forward, found := n.forwards.Take(response.ID)
	if !found {
		return
	}
	if forward.Request.Kind == protocol.RequestHeartbeat {
		n.onRelayedHeartbeatResponse(forward, response)
		return
	}
	n.onForwardedUserResponse(forward.Request, response)
}

// onRelayedHeartbeatResponse passes the leader's response to a worker's heartbeat on to the worker.
func (n *Node) onRelayedHeartbeatResponse(forward forwarding.Forward[Request], response protocol.ForwardedResponse) {
	request := forward.Request
	if response.Status == http.StatusOK {
		n.workerRouter.RecordServed(request.Heartbeat.Machine)
	}
	if n.now >= forward.Deadline {
		// The response is too late, because it was delayed or this process was paused, and the worker
		// would discard it. Count the heartbeat as not served and reply 503 instead.
		n.onForwardExpired(request)
		return
	}
	n.replyWithForwardedResponse(request.Origin, response)
}

// onForwardedUserResponse passes the leader's response to a user's request on to the user.
func (n *Node) onForwardedUserResponse(request Request, response protocol.ForwardedResponse) {
	if response.Status == http.StatusOK || response.Status == http.StatusCreated {
		n.jobReader.RecordAccepted(request.JobID)
	}
	if response.Status == http.StatusServiceUnavailable {
		n.rejections.Add(request.Kind, rejection.ForwardRejected)
	}
	if response.Status == http.StatusServiceUnavailable && request.Kind != protocol.RequestCancel {
		// The leader can't serve the request, but the key-value store may be able to.
		n.serveWithoutLeader(request)
		return
	}
	n.replyWithForwardedResponse(request.Origin, response)
}

// onForwardExpired serves a forwarded request without the leader, which has not responded in time.
func (n *Node) onForwardExpired(request Request) {
	n.rejections.Add(request.Kind, rejection.ForwardTimeout)
	n.serveWithoutLeader(request)
}

// serveWithoutLeader serves a submission or a query from the key-value store alone, and rejects any
// other request. The caller has counted why the leader does not serve the request.
func (n *Node) serveWithoutLeader(request Request) {
	switch request.Kind {
	case protocol.RequestSubmit:
		n.submitToStore(request, nil)
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
