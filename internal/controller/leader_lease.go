package controller

import (
	"time"

	"hitchdoor/internal/clock"
)

// leaderLease returns the duration of the leader lease and of a peer's lease grant.
func (n *Node) leaderLease() time.Duration { return n.workerLease() / leaderLeasesPerWorkerLease }

// holdsLeaderLease reports whether this node may act as the leader: by its own lease in the
// store, or by the lease grants of a quorum.
func (n *Node) holdsLeaderLease() bool {
	if n.leader == nil {
		return false
	}
	return n.now < n.election.leaseValidUntil || n.now < n.quorumLeaseUntil()
}

// safeLeaseSpan returns how long a lease of the key-value store, or a lease grant of a peer, is
// guaranteed to hold by this node's clock.
func safeLeaseSpan(span time.Duration) time.Duration { return span - span/500 - time.Millisecond }

// becomeLeader starts a term as the leader and begins to load the records. The leader lease
// counts from when it was requested.
func (n *Node) becomeLeader(term, leaderKeyVersion, leaseID uint64, sent clock.Instant) {
	election := &n.election
	election.leaderLeaseID, election.leaseValidUntil, election.renewalInFlight, election.renewalFailed =
		leaseID, sent+safeLeaseSpan(n.leaderLease()), false, false
	election.renewalSentAt = sent
	for _, p := range n.peers {
		p.grantedUntil = clock.Never
	}
	n.log.Info("became leader", "term", term)
	n.connectivity.leaderlessSince = clock.Never
	n.leader = newLeader(n, term, leaderKeyVersion)
	n.leader.loadRecords()
	election.heartbeatSentAt = clock.Never
}

// stepDown ends this node's term as the leader, revokes its lease and discards the leader state.
func (n *Node) stepDown(reason string) {
	if n.leader == nil {
		return
	}
	n.log.Info("stepped down", "term", n.leader.term, "reason", reason)
	n.leader.rejectWaitingRequests()
	n.leader = nil
	election := &n.election
	if election.leaderLeaseID != 0 {
		n.storeCall("DELETE", "/holds/"+formatUint(election.leaderLeaseID), nil, func(CallResult) {})
	}
	election.leaderLeaseID, election.leaseValidUntil, election.leaderKeyReadAt, election.heartbeatSentAt =
		0, clock.Never, n.now, clock.Never
}

// tickLeader steps down if this node should not lead any longer, and renews its lease.
func (n *Node) tickLeader() {
	election := &n.election
	if !n.holdsLeaderLease() {
		n.stepDown("leader lease expired")
		return
	}
	if n.leader.attemptCounter >= maxAttemptCounter {
		n.stepDown("attempt numbers exhausted")
		return
	}
	// A leader that hears neither peers nor workers is isolated from everything but the
	// key-value store. As long as it renewed its lease, no other node could take over.
	span := n.workerLease() / 4
	if len(n.peers) > 0 && n.now-n.leader.StartedAt > span &&
		n.recentPeerCount(span) == 0 && n.now-n.leader.lastWorkerHeartbeat > span {
		election.isolated = true
		n.stepDown("isolated from peers and workers")
		return
	}
	if n.resignIfWorkersStranded(); n.leader == nil {
		return
	}
	if election.renewalInFlight || n.now < election.renewalSentAt+n.leaderLease()/4 {
		return
	}
	election.renewalInFlight, election.renewalSentAt = true, n.now
	sent, renewingLeader := n.now, n.leader
	n.storeCall("POST", "/holds/"+formatUint(election.leaderLeaseID)+"/touch", nil, func(result CallResult) {
		if n.leader != renewingLeader {
			return
		}
		election.renewalInFlight = false
		switch {
		case result.Status == 200:
			election.leaseValidUntil = max(election.leaseValidUntil, sent+safeLeaseSpan(n.leaderLease()))
			election.renewalFailed = false
		case result.Status == 404:
			n.stepDown("leader lease lost")
		default:
			election.renewalFailed = true
			election.heartbeatSentAt = clock.Never // ask for lease grants at once
		}
	})
}
