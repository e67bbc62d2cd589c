package election

import (
	"maps"
	"slices"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// quorumLeaseUntil returns until when a quorum, of this node and a number of peers, is bound by
// lease grants not to become candidates.
func (l *leadership) quorumLeaseUntil(peersInQuorum int) clock.Instant {
	if peersInQuorum == 0 {
		return clock.Never
	}
	expiries := slices.Sorted(maps.Values(l.grantedUntil))
	return expiries[len(expiries)-peersInQuorum]
}

// onLeaseGrant records a lease grant for the current term.
func (e *Election) onLeaseGrant(sender *Peer, grant protocol.LeaseGrant) {
	current := e.leadership
	if current == nil || grant.Term != current.term || !e.HoldsLeaderLease() {
		return
	}
	// A grant counts from when it was requested, which can't be later than now: a wrong
	// timestamp from the peer must not extend it.
	requestedAt := min(grant.HeartbeatSentAt, e.host.Now())
	until := requestedAt + SafeLeaseSpan(e.LeaderLease())
	current.grantedUntil[sender.Name] = max(current.grantedUntil[sender.Name], until)
}

// grantLease binds this node, for the span of a leader lease, neither to become a candidate nor
// to vote for one.
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
// The conditions that keep two leaders apart:
//
//   - This node can't reach the key-value store either. Otherwise only the leader is cut off from
//     the store, and it should be replaced; with grants it would go on for as long as it asks.
//   - This process has been up for the span of a grant. An earlier process may have voted for a
//     candidate, which relies on that vote. If a restarted node, its vote forgotten, granted a
//     lease to the old leader, it could complete that leader's quorum beside the new leader.
//   - This node has not voted in a higher term, as a vote and a grant exclude each other, and has
//     not granted a lease to the leader of one.
//
// A candidate may grant. Until it takes the leader key, its own grant makes it wait like any voter
// (freeToVote). When it takes the key, it has recorded its own term as voted for, so a leader of a
// lower term gets no grant; and a leader of a higher term has changed the term key, on which the
// candidate's transaction is conditioned.
func (e *Election) mayGrantLease(term uint64) bool {
	return e.leadership == nil &&
		e.StoreFailing() &&
		term >= e.votedTerm &&
		term >= e.grantedTerm &&
		e.earlierCommitmentsExpired()
}

// earlierCommitmentsExpired reports whether this process has been up for so long that every grant, and every
// candidacy, that relies on an earlier process of this node is over.
func (e *Election) earlierCommitmentsExpired() bool {
	return e.host.Now() >= clock.WithDrift(e.LeaderLease())
}
