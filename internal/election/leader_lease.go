package election

import (
	"net/http"
	"strconv"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/storage"
)

// leadership is the state of this node's term as the leader.
type leadership struct {
	term            uint64
	startedAt       clock.Instant
	leaseID         uint64                   // lease of the leader key in the key-value store
	leaseValidUntil clock.Instant            // end of the leader lease, without lease grants
	grantedUntil    map[string]clock.Instant // end of each peer's lease grant, by peer name
	renewalSentAt   clock.Instant            // when the last renewal was sent
	renewals        int                      // renewals in flight
	answeredSentAt  clock.Instant            // when the latest renewal that has a response was sent
	renewalFailed   bool                     // that renewal failed, so heartbeats request lease grants
}

// newLeadership returns the state of a term that begins now, with a lease that was requested at
// requestedAt.
func (e *Election) newLeadership(term, leaseID uint64, requestedAt clock.Instant) *leadership {
	started := &leadership{
		term: term, startedAt: e.host.Now(), leaseID: leaseID,
		leaseValidUntil: requestedAt + GuaranteedLeaseDuration(e.LeaderLease()),
		grantedUntil:    make(map[string]clock.Instant, len(e.peers)),
		renewalSentAt:   requestedAt,
	}
	for name := range e.peers {
		started.grantedUntil[name] = clock.Never
	}
	return started
}

// renewalDue reports whether the leader lease is due for renewal. A renewal does not wait for the response to
// the one before: if responses took longer than half of the lease, it would be sent too late.
func (l *leadership) renewalDue(now clock.Instant, leaderLease time.Duration) bool {
	return l.renewals < renewalsPerLeaderLease && now >= l.renewalSentAt+leaderLease/renewalsPerLeaderLease
}

// Durations of a leader's actions as fractions of a lease.
const (
	// A leader renews its lease renewalsPerLeaderLease times in the duration of a leader lease. As many
	// renewals may be in flight.
	renewalsPerLeaderLease = 4
	// A leader that has received no message from any peer or worker for the isolation timeout,
	// a quarter of a worker lease, steps down.
	isolationTimeoutsPerWorkerLease = 4
)

// HoldsLeaderLease reports whether this node may act as the leader, either by its own lease in the
// key-value store or by the lease grants of a quorum.
func (e *Election) HoldsLeaderLease() bool {
	if e.leadership == nil {
		return false
	}
	now := e.host.Now()
	return now < e.leadership.leaseValidUntil || now < e.leadership.quorumLeaseUntil(e.peersInQuorum())
}

// leasePath returns the request path of a lease in the key-value store.
func leasePath(id uint64) string { return "/holds/" + strconv.FormatUint(id, 10) }

// becomeLeader starts a term as the leader. The leader lease counts from the time of its request. If
// it counted from the response, a delayed response would extend it beyond its expiry in the store.
func (e *Election) becomeLeader(term, leaderKeyRevision, leaseID uint64, requestedAt clock.Instant) {
	e.leadership = e.newLeadership(term, leaseID, requestedAt)
	e.leaderKey.absentSince = clock.Never
	e.host.BecameLeader(term, leaderKeyRevision)
	e.heartbeatSentAt = clock.Never
}

// StepDown ends this node's term as the leader, passes the reason to the host and revokes the leader
// lease. It has no effect if this node does not lead.
func (e *Election) StepDown(reason string) {
	ended := e.leadership
	if ended == nil {
		return
	}
	e.leadership = nil
	e.host.SteppedDown(reason)
	if ended.leaseID != 0 {
		e.host.CallStore("DELETE", leasePath(ended.leaseID), nil, ignoreResponse)
	}
	e.leaderKey.readAt = e.host.Now()
	e.heartbeatSentAt = clock.Never
}

// tickLeader steps down if this node should no longer lead, and otherwise renews its lease when due.
func (e *Election) tickLeader() {
	if !e.HoldsLeaderLease() {
		e.StepDown("leader lease expired")
		return
	}
	condition := e.host.LeaderCondition()
	switch {
	case condition.StepDownReason != "":
		e.StepDown(condition.StepDownReason)
	case e.leaderIsolated(condition.LastWorkerHeartbeat):
		e.isolated = true
		e.StepDown("isolated from peers and workers")
	case condition.ResignReason != "":
		e.resign(condition.ResignReason)
	case e.leadership.renewalDue(e.host.Now(), e.LeaderLease()):
		e.renewLease()
	}
}

// leaderIsolated reports whether this leader receives messages neither from peers nor from workers: it
// is isolated from everything but the key-value store. As long as it renewed its lease there, no other
// node could become the leader.
func (e *Election) leaderIsolated(lastWorkerHeartbeat clock.Instant) bool {
	now, isolationTimeout := e.host.Now(), e.workerLease()/isolationTimeoutsPerWorkerLease
	return len(e.peers) > 0 && now-e.leadership.startedAt > isolationTimeout &&
		e.RecentPeerCount(isolationTimeout) == 0 && now-lastWorkerHeartbeat > isolationTimeout
}

// renewLease renews the lease of the leader key. The renewed lease counts from the time at which the
// renewal is sent; becomeLeader states the reason.
func (e *Election) renewLease() {
	current, sentAt := e.leadership, e.host.Now()
	current.renewals++
	current.renewalSentAt = sentAt
	e.host.CallStore("POST", leasePath(current.leaseID)+"/touch", nil, func(response storage.Response) {
		if e.leadership != current {
			return
		}
		current.renewals--
		isLatest := sentAt >= current.answeredSentAt
		current.answeredSentAt = max(current.answeredSentAt, sentAt)
		switch {
		case response.Status == http.StatusOK:
			current.leaseValidUntil = max(current.leaseValidUntil, sentAt+GuaranteedLeaseDuration(e.LeaderLease()))
			current.renewalFailed = current.renewalFailed && !isLatest
		case response.Status == http.StatusNotFound:
			e.StepDown("leader lease no longer exists in the key-value store")
		case isLatest:
			current.renewalFailed = true
			e.heartbeatSentAt = clock.Never // request lease grants in the next step
		}
	})
}
