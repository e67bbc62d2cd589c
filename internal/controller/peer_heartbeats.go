package controller

import (
	"time"

	"hitchdoor/internal/protocol"
)

// leaderPeer returns the peer that leads, or nil if none is known or it was not heard recently.
func (n *Node) leaderPeer() *peer {
	var leading *peer
	for _, p := range n.peers {
		if p.leading && n.now-p.lastContact < n.leaderLease() && (leading == nil || p.term > leading.term) {
			leading = p
		}
	}
	return leading
}

// recentPeerCount returns the number of peers heard within a span.
func (n *Node) recentPeerCount(within time.Duration) int {
	count := 0
	for _, p := range n.peers {
		if n.now-p.lastContact < within {
			count++
		}
	}
	return count
}

// onPeerHeartbeat records what a peer reports of itself, and grants it a lease if it asks for
// one. A leader steps down if a peer leads in a higher term.
func (n *Node) onPeerHeartbeat(sender *peer, heartbeat protocol.PeerHeartbeat) {
	sender.leading, sender.term, sender.uptime, sender.processID, sender.protocolLevel =
		heartbeat.IsLeader, heartbeat.Term, heartbeat.Uptime, heartbeat.ProcessID, heartbeat.VersionLevel
	sender.policyRevision = max(sender.policyRevision, heartbeat.PolicyRevision)
	n.onConnectivityReport(sender, heartbeat.Links)
	sender.workerCapacity.recordHeartbeat(heartbeat, n.capacitySharers(heartbeat))
	if heartbeat.WritesThrottled {
		n.throttleWrites()
	}
	sender.knownNotLeading = sender.knownNotLeading || (heartbeat.ReceiverProcessID == n.processID && !heartbeat.IsLeader)
	if heartbeat.IsLeader && heartbeat.WantsLeaseGrant {
		n.grantLease(sender, heartbeat)
	}
	if heartbeat.IsLeader && n.leader != nil && heartbeat.Term > n.leader.term {
		n.stepDown("peer leads in a higher term")
	}
}
