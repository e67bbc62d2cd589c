package election

import (
	"hitchdoor/internal/protocol"
)

// sendHeartbeats sends a heartbeat to every peer. A leader whose last lease renewal failed requests
// lease grants in it.
func (e *Election) sendHeartbeats() {
	now := e.host.Now()
	e.heartbeatSentAt = now
	heartbeat := protocol.PeerHeartbeat{SentAt: now, Uptime: now, ProcessID: e.processID}
	if current := e.leadership; current != nil {
		heartbeat.Term = current.term
		heartbeat.IsLeader = e.HoldsLeaderLease()
		heartbeat.WantsLeaseGrant = current.renewalFailed
	}
	e.host.DescribeController(&heartbeat)
	for _, name := range e.peerNames {
		heartbeat.ReceiverProcessID = e.peers[name].processID
		e.host.SendMessage(name, heartbeat)
	}
}

// onPeerHeartbeat records the state that a peer reports, and grants the peer a lease if it requests
// one and may get it. This node steps down as the leader if the peer leads in a higher term.
func (e *Election) onPeerHeartbeat(sender *Peer, heartbeat protocol.PeerHeartbeat) {
	sender.recordHeartbeat(heartbeat, e.processID)
	if heartbeat.IsLeader && heartbeat.WantsLeaseGrant {
		e.grantLease(sender, heartbeat)
	}
	if heartbeat.IsLeader && e.leadership != nil && heartbeat.Term > e.leadership.term {
		e.StepDown("peer leads in a higher term")
	}
}
