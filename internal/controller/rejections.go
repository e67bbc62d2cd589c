package controller

import (
	"errors"
	"time"

	"hitchdoor/internal/jobstore"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/rejection"
)

// rejectionLogsPerWorkerLease is how often, at most, a node logs the requests that it did not serve.
const rejectionLogsPerWorkerLease = 8

// reject tells the sender of a request to retry, and counts the reason.
func (n *Node) reject(request Request, reason rejection.Reason) {
	n.rejectOrigin(request.Kind, request.Origin, reason)
}

// rejectOrigin is reject for a request of which only the kind and the origin are kept.
func (n *Node) rejectOrigin(kind protocol.RequestKind, origin Origin, reason rejection.Reason) {
	n.rejections.Add(kind, reason)
	n.replyUnavailable(origin)
}

// rejectUnreadable rejects a request because of an error of the job reader.
func (n *Node) rejectUnreadable(request Request, err error) {
	n.reject(request, readFailureReason(err))
}

// readFailureReason returns the reason that a *jobstore.ReadError states. Without such an error the
// record was read, and the request is deferred for another reason.
func readFailureReason(err error) rejection.Reason {
	var failure *jobstore.ReadError
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return rejection.Deferred
}

// recordQueueLoad records the load of the queue of commands. It logs a load under which health checks
// may time out.
func (n *Node) recordQueueLoad(load QueueLoad) {
	n.ownerQueue = load
	for range load.DelayedControls {
		n.reportViolation(InvariantControlFirst, "")
	}
	if max(load.LongestWait, load.HealthCheckDelay) < protocol.HealthCheckTimeout/2 {
		return
	}
	n.log.Info("commands wait for the owner", "depth", load.Depth, "longestWait", load.LongestWait,
		"healthCheckDelay", load.HealthCheckDelay)
}

// logRejections logs the requests that were not served since the last call that logged some, one line
// for each kind and reason.
func (n *Node) logRejections() {
	if n.now < n.rejectionsLoggedAt+n.workerLease()/rejectionLogsPerWorkerLease {
		return
	}
	n.rejectionsLoggedAt = n.now
	leaderName, term := n.knownLeader()
	storeAge := n.election.TimeSinceStoreSuccess(n.now).Round(time.Millisecond)
	for _, count := range n.rejections.TakeNew() {
		n.log.Info("requests not served", "kind", string(count.Kind), "reason", string(count.Reason),
			"count", count.Value, "leader", leaderName, "term", term, "storeReadAge", storeAge,
			"connections", n.workerRouter.Connections.Open, "queueDepth", n.ownerQueue.Depth)
	}
}

// knownLeader returns the name and the term of the leader that this node knows, which may be this node.
func (n *Node) knownLeader() (name string, term uint64) {
	if n.holdsLeaderLease() {
		return n.cfg.Node, n.leader.term
	}
	if leaderPeer := n.leaderPeer(); leaderPeer != nil {
		return leaderPeer.Name, leaderPeer.Term
	}
	return "", 0
}
