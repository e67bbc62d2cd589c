package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/election"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// initElection creates the election and the state of each peer.
func (n *Node) initElection() {
	names := make([]string, 0, len(n.cfg.Peers))
	for _, peerConfig := range n.cfg.Peers {
		names = append(names, peerConfig.Node)
	}
	n.election = election.New(election.Options{Node: n.cfg.Node, ProcessID: n.processID, Peers: names,
		Cluster: &n.cfg.Cluster, Rand: n.rng, Host: electionHost{n}})
	for _, name := range names {
		n.peers[name] = &peer{Peer: n.election.Peer(name)}
	}
}

// holdsLeaderLease reports whether this node may act as the leader.
func (n *Node) holdsLeaderLease() bool { return n.election.HoldsLeaderLease() }

// leaderLease returns the duration of the leader lease.
func (n *Node) leaderLease() time.Duration { return n.election.LeaderLease() }

// stepDown ends this node's term as the leader.
func (n *Node) stepDown(reason string) { n.election.StepDown(reason) }

// electionHost implements election.Host for a node.
type electionHost struct{ node *Node }

// Now returns the time of the current step.
func (h electionHost) Now() clock.Instant { return h.node.now }

// CallStore sends a request to the key-value store and passes the response to onResponse in a later
// step. Before that, it passes the response's status to the election, as for every response of the store.
func (h electionHost) CallStore(method, path string, body any, onResponse func(storage.Response)) {
	h.node.storeCall(method, path, body, func(result CallResult) {
		onResponse(storage.Response{Status: result.Status, Body: result.Body})
	})
}

// SendMessage sends a message to the peer of the given name.
func (h electionHost) SendMessage(to string, message protocol.PeerMessage) {
	h.node.send(to, message)
}

// DescribeController sets the fields of a heartbeat to the peers that do not concern the election. A
// leader that workers can't reach reports that it has no spare connections, so that its peers relay the
// workers' heartbeats. While it tests whether workers reach it again, it reports a few.
func (h electionHost) DescribeController(heartbeat *protocol.PeerHeartbeat) {
	node := h.node
	heartbeat.ProtocolLevel = protocolLevel
	heartbeat.WritesThrottled = node.writesThrottled
	heartbeat.ConnectionsFull = node.workerRouter.Connections.Full
	heartbeat.SpareConnections = node.workerRouter.Connections.Spare()
	heartbeat.Links = node.connectivityReport()
	heartbeat.PolicyRevision = node.admissionPolicy.Revision
	if node.leader == nil || !node.leader.needsRelays() {
		return
	}
	heartbeat.ConnectionsFull, heartbeat.SpareConnections = true, 0
	if node.leader.probesDirectRoute() {
		heartbeat.ConnectionsFull, heartbeat.SpareConnections = false, len(node.peers) // one worker from each peer
	}
}

// TwoWayPeerCount returns the number of peers with which messages are exchanged in both directions.
func (h electionHost) TwoWayPeerCount() int { return h.node.twoWayPeerCount() }

// BecameLeader creates the leader state of a term and begins to load the records. Every write in the
// term is conditional on the given revision of the leader key.
func (h electionHost) BecameLeader(term, leaderKeyRevision uint64) {
	node := h.node
	node.log.Info("became leader", "term", term)
	node.leader = newLeader(node, term, leaderKeyRevision)
	node.leader.loadRecords()
}

// LeaderCondition returns whether this node should continue to lead. It is called only while it leads.
func (h electionHost) LeaderCondition() election.LeaderCondition {
	current := h.node.leader
	condition := election.LeaderCondition{LastWorkerHeartbeat: current.lastWorkerHeartbeat,
		ResignReason: current.resignReason()}
	if current.attemptCounter >= maxAttemptCounter {
		condition.StepDownReason = "attempt numbers exhausted"
	}
	return condition
}

// SteppedDown rejects the requests that wait for the leader and discards the leader state.
func (h electionHost) SteppedDown(reason string) {
	node := h.node
	node.log.Info("stepped down", "term", node.leader.term, "reason", reason)
	node.leader.rejectWaitingRequests()
	node.leader = nil
}
