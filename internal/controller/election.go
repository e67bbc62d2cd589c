package controller

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// election is the state of leader election on one node.
//
// The leader holds the leader key, which is attached to a lease of the key-value store. The
// leader lease counts from when its last renewal was sent. While the store is down, leases do
// not expire there but the leader lease would expire here; the leader then relies on short
// lease grants from a quorum of controllers. Each grant binds a peer not to become a candidate.
// Both mechanisms exclude each other: besides the keys, a candidate needs votes from a quorum
// that is bound by no grant, and a peer that has voted for a candidate grants nothing to leaders
// of lower terms.
type election struct {
	// availability of the key-value store
	storeOK                  clock.Instant // last response other than an error
	storeFailed              clock.Instant // last 429, 5xx or missing response
	consecutiveStoreFailures int           // consecutive failures

	leaderKeyReadAt       clock.Instant // last read of the leader key
	leaderKeyReadInFlight bool
	heartbeatSentAt       clock.Instant // last heartbeat to the peers
	isolated              bool          // no candidacy until a peer is heard: this node was isolated
	candidacyAt           clock.Instant // start of the next candidacy; never: not scheduled
	candidacy             *candidacy

	// as a peer
	grantedTerm  uint64
	grantedUntil clock.Instant
	votedTerm    uint64

	// as a leader
	leaderLeaseID   uint64        // lease of the leader key in the store
	leaseValidUntil clock.Instant // end of the leader lease, without grants
	renewalSentAt   clock.Instant // last renewal sent
	renewalInFlight bool
	renewalFailed   bool // the last renewal failed: ask for grants
}

// newElection returns the state of a node that has just started.
func newElection() election {
	return election{storeOK: clock.Never, storeFailed: clock.Never, leaderKeyReadAt: clock.Never, heartbeatSentAt: clock.Never,
		candidacyAt:  clock.Never,
		grantedUntil: clock.Never, leaseValidUntil: clock.Never, renewalSentAt: clock.Never}
}

// tickElection sends the periodic heartbeat to the peers and advances the role of this node:
// leader, candidate or follower.
func (n *Node) tickElection() {
	election := &n.election
	if n.now >= election.heartbeatSentAt+n.workerLease()/peerHeartbeatsPerLease || election.heartbeatSentAt == clock.Never {
		election.heartbeatSentAt = n.now
		heartbeat := protocol.PeerHeartbeat{SentAt: n.now, Uptime: n.now, ProcessID: n.processID, VersionLevel: protocolLevel,
			WritesThrottled: n.writesThrottled, ConnectionsFull: n.connections.full, SpareConnections: n.connections.spareConnections(),
			Links: n.connectivityReport(), PolicyRevision: n.admissionPolicy.revision}
		if n.leader != nil {
			heartbeat.Term, heartbeat.IsLeader, heartbeat.WantsLeaseGrant =
				n.leader.term, n.holdsLeaderLease(), election.renewalFailed
			if n.leader.needsRelays() {
				heartbeat.ConnectionsFull, heartbeat.SpareConnections = true, 0
				if n.leader.probesDirectRoute() {
					heartbeat.ConnectionsFull, heartbeat.SpareConnections = false, len(n.peers) // one worker from each peer
				}
			}
		}
		for _, k := range n.cfg.Peers {
			heartbeat.ReceiverProcessID = n.peers[k.Node].processID
			n.send(k.Node, heartbeat)
		}
	}
	if n.leader != nil {
		n.tickLeader()
		return
	}
	if election.candidacy != nil {
		n.tickCandidate()
		return
	}
	if !n.draining && !election.leaderKeyReadInFlight &&
		(election.leaderKeyReadAt == clock.Never || n.now >= election.leaderKeyReadAt+n.workerLease()/pollsPerLease) {
		n.readLeaderKey()
	}
}
