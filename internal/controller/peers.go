package controller

import (
	"hitchdoor/internal/election"
	"hitchdoor/internal/protocol"
)

// peer is what this node knows about another controller.
type peer struct {
	*election.Peer
	protocolLevel int // the level in its last heartbeat; 0: it announces none
}

// onPeerMessage handles a message of another controller. Unknown senders are ignored.
func (n *Node) onPeerMessage(inbound InboundMessage) {
	sender := n.peers[inbound.From]
	if sender == nil {
		return
	}
	if heartbeat, ok := inbound.Message.(protocol.PeerHeartbeat); ok {
		n.recordPeerHeartbeat(sender, heartbeat)
	}
	n.election.HandleMessage(sender.Name, inbound.Message)
	switch message := inbound.Message.(type) {
	case protocol.AdmissionLoad:
		if n.holdsLeaderLease() {
			n.leader.admission.AddNodeLoad(message)
		}
	case protocol.ForwardedRequest:
		n.forwards.onRequest(sender, message)
	case protocol.ForwardedResponse:
		n.forwards.onResponse(message)
	}
}

// recordPeerHeartbeat records the fields of a peer's heartbeat that do not concern the election.
func (n *Node) recordPeerHeartbeat(sender *peer, heartbeat protocol.PeerHeartbeat) {
	sender.protocolLevel = heartbeat.ProtocolLevel
	n.admissionPolicy.RecordPeerRevision(heartbeat.PolicyRevision)
	if err := n.connectivity.recordReport(sender.Name, n.now, heartbeat.Links); err != nil {
		n.log.Warn("invalid connectivity report from peer", "peer", sender.Name, "error", err)
	}
	n.workerRouter.RecordPeerHeartbeat(sender.Name, heartbeat)
	if heartbeat.WritesThrottled {
		n.throttleWrites()
	}
}

// leaderPeer returns the peer that leads. It returns nil if no leader is known, or if the leader's last
// message is older than a leader lease.
func (n *Node) leaderPeer() *peer {
	leaderPeer := n.election.LeaderPeer()
	if leaderPeer == nil {
		return nil
	}
	return n.peers[leaderPeer.Name]
}
