package election

import (
	"maps"
	"slices"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// quorumLeaseUntil returns the time until which a quorum, of this node and peersInQuorum peers, is
// bound by lease grants. It is clock.Never for a node without peers.
func (l *leadership) quorumLeaseUntil(peersInQuorum int) clock.Instant {
	if peersInQuorum == 0 {
		return clock.Never
	}
	expiries := slices.Sorted(maps.Values(l.grantedUntil))
	return expiries[len(expiries)-peersInQuorum]
}

// onLeaseGrant records a lease grant for the current term. It ignores the grant if the leader lease
// has already expired.
func (e *Election) onLeaseGrant(sender *Peer, grant protocol.LeaseGrant) {
	current := e.leadership
	if current == nil || grant.Term != current.term || !e.HoldsLeaderLease() {
		return
	}
	// A grant counts from the time of its request, which can't be later than now. A wrong
	// timestamp from the peer must not extend the grant.
	requestedAt := min(grant.HeartbeatSentAt, e.host.Now())
	until := requestedAt + GuaranteedLeaseDuration(e.LeaderLease())
	current.grantedUntil[sender.Name] = max(current.grantedUntil[sender.Name], until)
}

// grantLease grants a lease to the leader that sent a heartbeat: for the duration of a leader lease,
// this node votes for no candidate, itself included.
func (e *Election) grantLease(sender *Peer, heartbeat protocol.PeerHeartbeat) {
	if !e.mayGrantLease(heartbeat.Term) {
		return
	}
	e.grantedTerm = heartbeat.Term
	e.grantedUntil = max(e.grantedUntil, e.host.Now()+clock.WithDrift(e.LeaderLease()))
	e.host.SendMessage(sender.Name, protocol.LeaseGrant{Term: heartbeat.Term, HeartbeatSentAt: heartbeat.SentAt})
}

// mayGrantLease reports whether this node may grant a lease to the leader of a term.
//
// The following conditions prevent two leaders at the same time:
//
//   - This node, like the leader, can't reach the key-value store. Otherwise only the leader has lost its
//     connection to the store and should be replaced; with grants it would continue to lead for as
//     long as it requests them.
//   - This process has been up for the duration of a grant. An earlier process may have voted for
//     a candidate that relies on its vote. If a restarted node, which does not remember that vote,
//     granted a lease to the old leader, it could complete a quorum for the old leader while the
//     new leader leads.
//   - This node has not voted in a higher term, because a vote and a grant exclude each other, and
//     has not granted a lease to the leader of a higher term.
//
// A candidate may grant a lease. Until it acquires the leader key, its own grant makes it wait like
// any other voter (freeToVote). When it requests the key, it has already recorded a vote in its own
// term, so a leader of a lower term gets no grant. A leader of a higher term has changed the term
// key, so the candidate's transaction, which is conditional on that key, fails.
func (e *Election) mayGrantLease(term uint64) bool {
	return e.leadership == nil &&
		e.StoreFailing() &&
		term >= e.votedTerm &&
		term >= e.grantedTerm &&
		e.earlierCommitmentsExpired()
}

// earlierCommitmentsExpired reports whether this process has been up long enough that every grant and
// every candidacy that relies on an earlier process of this node has ended.
func (e *Election) earlierCommitmentsExpired() bool {
	return e.host.Now() >= clock.WithDrift(e.LeaderLease())
}
