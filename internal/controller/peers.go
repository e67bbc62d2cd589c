package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// peer is what this node knows of another controller.
type peer struct {
	name            string
	lastContact     clock.Instant // last message of any kind
	processID       uint64        // processID in its last heartbeat
	knownNotLeading bool          // it has heard from this process and reported that it does not lead
	uptime          time.Duration // its uptime in its last heartbeat
	term            uint64
	leading         bool
	grantedUntil    clock.Instant // end of its lease grant to this node
	protocolLevel   int           // protocol level of its version; 0: not announced
	workerCapacity  peerCapacity
	policyRevision  uint64 // latest revision of the admission policy that it has read
}

// onPeerMessage handles a message of another controller. Unknown senders are ignored.
func (n *Node) onPeerMessage(inbound InboundMessage) {
	sender := n.peers[inbound.From]
	if sender == nil {
		return
	}
	sender.lastContact = n.now
	switch message := inbound.Message.(type) {
	case protocol.PeerHeartbeat:
		n.onPeerHeartbeat(sender, message)
	case protocol.LeaseGrant:
		n.onLeaseGrant(sender, message)
	case protocol.VoteRequest:
		n.onVoteRequest(sender, message)
	case protocol.Vote:
		n.onVote(sender, message)
	case protocol.AdmissionLoad:
		if n.holdsLeaderLease() {
			n.leader.admission.addNodeLoad(message)
		}
	case protocol.ForwardedRequest:
		n.onForwardedRequest(sender, message)
	case protocol.ForwardedResponse:
		n.onForwardedAnswer(message)
	}
}
