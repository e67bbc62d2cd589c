package controller

import (
	"net/http"

	"hitchdoor/internal/forwarding"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/storage"
)

// requestForwarder forwards requests of users and workers from a follower to the leader, and passes the responses on.
// On the leader, it serves what followers forward.
type requestForwarder struct {
	*forwarding.Table[Request] // forwarded requests without a response
	node                       *Node
}

// newRequestForwarder returns the forwarder of a node. The response to a request that an earlier process of this node
// forwarded may still arrive, because the leader answers a cancellation only once it is durable. Forward IDs therefore
// start at a random number per process; if every process counted from one, a late response would be delivered to an
// unrelated request.
func newRequestForwarder(node *Node) *requestForwarder {
	return &requestForwarder{Table: forwarding.NewTable[Request](node.processID), node: node}
}

// sendToPeer forwards a request to a peer. If no response arrives in time, the request is served without
// the leader.
func (f *requestForwarder) sendToPeer(target *peer, request Request) {
	id := f.Add(request, f.node.now+forwardTimeout(request.Kind, f.node.workerLease()))
	// The body is encoded again from the parsed value, because the original may contain line
	// breaks, which would break the framing of messages between peers.
	message := protocol.ForwardedRequest{ID: id, Kind: request.Kind, JobID: request.JobID}
	switch request.Kind {
	case protocol.RequestSubmit:
		message.Body = storage.Encode(request.Job.Forwarded())
	case protocol.RequestHeartbeat:
		message.Body = storage.Encode(request.Heartbeat)
	}
	f.node.send(target.Name, message)
}

// sendSubmissionOnce forwards to the leader a submission that this node can't write. This can help,
// because the key-value store may refuse one node while it serves the others. It reports
// false if the submission was forwarded before or can't be forwarded.
func (f *requestForwarder) sendSubmissionOnce(request Request) bool {
	if request.Origin.Peer != "" || request.forwarded {
		return false
	}
	request.forwarded = true
	return f.sendToLeader(request)
}

// sendToLeader forwards a user's request to the leader. It reports false if no leader is known or
// too many forwarded requests are pending.
func (f *requestForwarder) sendToLeader(request Request) bool {
	leaderPeer := f.node.leaderPeer()
	if leaderPeer == nil {
		f.node.rejections.Add(request.Kind, rejection.NoLeader)
		return false
	}
	if f.Count() >= f.node.maxPendingRequests() {
		f.node.rejections.Add(request.Kind, rejection.ForwardLimit)
		return false
	}
	f.sendToPeer(leaderPeer, request)
	return true
}

// onRequest handles a request that a peer forwarded.
func (f *requestForwarder) onRequest(sender *peer, message protocol.ForwardedRequest) {
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
		f.node.reject(request, rejection.Malformed)
		return
	}
	f.node.onRequest(request)
}

// onResponse handles the leader's response to a forwarded request.
func (f *requestForwarder) onResponse(response protocol.ForwardedResponse) {
	forward, found := f.Take(response.ID)
	if !found {
		return
	}
	if forward.Request.Kind == protocol.RequestHeartbeat {
		f.onHeartbeatResponse(forward, response)
		return
	}
	f.onUserResponse(forward.Request, response)
}

// onHeartbeatResponse passes the leader's response to a worker's heartbeat on to the worker.
func (f *requestForwarder) onHeartbeatResponse(forward forwarding.Forward[Request],
	response protocol.ForwardedResponse) {
	request := forward.Request
	if response.Status == http.StatusOK {
		f.node.workerRouter.RecordServed(request.Heartbeat.Machine)
	}
	if f.node.now >= forward.Deadline {
		// The response is too late, because it was delayed or this process was paused, and the worker
		// would discard it. Count the heartbeat as not served and reply 503 instead.
		f.onExpired(request)
		return
	}
	f.node.replyWithForwardedResponse(request.Origin, response)
}

// onUserResponse passes the leader's response to a user's request on to the user.
func (f *requestForwarder) onUserResponse(request Request, response protocol.ForwardedResponse) {
	if response.Status == http.StatusOK || response.Status == http.StatusCreated {
		f.node.jobReader.RecordAccepted(request.JobID)
	}
	if response.Status == http.StatusServiceUnavailable {
		f.node.rejections.Add(request.Kind, rejection.ForwardRejected)
	}
	if response.Status == http.StatusServiceUnavailable && request.Kind != protocol.RequestCancel {
		// The leader can't serve the request, but the key-value store may be able to.
		f.node.serveWithoutLeader(request)
		return
	}
	f.node.replyWithForwardedResponse(request.Origin, response)
}

// onExpired serves a forwarded request without the leader, which has not responded in time.
func (f *requestForwarder) onExpired(request Request) {
	f.node.rejections.Add(request.Kind, rejection.ForwardTimeout)
	f.node.serveWithoutLeader(request)
}
