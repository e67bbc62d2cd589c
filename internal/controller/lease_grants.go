package controller

import (
	"sort"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// quorumLeaseUntil returns until when a majority, including this node, is bound by lease grants
// not to become candidates.
func (n *Node) quorumLeaseUntil() clock.Instant {
	peersNeeded := n.cfg.Cluster.ControllerCount / 2 // needed besides this node
	if peersNeeded == 0 {
		return clock.Never
	}
	grants := make([]clock.Instant, 0, len(n.peers))
	for _, p := range n.peers {
		grants = append(grants, p.grantedUntil)
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i] > grants[j] })
	return grants[peersNeeded-1]
}

// onLeaseGrant records a lease grant for the current term.
func (n *Node) onLeaseGrant(sender *peer, grant protocol.LeaseGrant) {
	if n.leader == nil || grant.Term != n.leader.term || !n.holdsLeaderLease() {
		return
	}
	// A grant counts from when it was requested, which can't be later than now: a wrong
	// timestamp from the peer must not extend it.
	sender.grantedUntil = max(sender.grantedUntil, min(grant.HeartbeatSentAt, n.now)+safeLeaseSpan(n.leaderLease()))
}

// grantLease binds this node, for the span of a leader lease, neither to become a candidate nor
// to vote for one. A lease is granted only while this node can't reach the key-value store
// either: otherwise only the leader is cut off from the store, and it should be replaced.
func (n *Node) grantLease(sender *peer, heartbeat protocol.PeerHeartbeat) {
	election := &n.election
	if n.leader != nil || !election.storeFailing() || heartbeat.Term < election.votedTerm ||
		heartbeat.Term < election.grantedTerm || n.now < clock.WithDrift(n.leaderLease()) {
		return
	}
	election.grantedTerm = heartbeat.Term
	election.grantedUntil = max(election.grantedUntil, n.now+clock.WithDrift(n.leaderLease()))
	n.send(sender.name, protocol.LeaseGrant{Term: heartbeat.Term, HeartbeatSentAt: heartbeat.SentAt})
}
