package election

import (
	"net/http"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/json"
	"hitchdoor/internal/storage"
)

// leaderKeyState is the result of a follower's reads of the leader key.
type leaderKeyState struct {
	readAt       clock.Instant // when the last read was sent; clock.Never: read in the next step
	readInFlight bool
	absentSince  clock.Instant // when the key was first found absent; clock.Never: the last read found it
}

// absentFor returns how long the key has been absent, or 0 if the last read found it.
func (k *leaderKeyState) absentFor(now clock.Instant) time.Duration {
	if k.absentSince == clock.Never {
		return 0
	}
	return now - k.absentSince
}

// readDue reports whether the read interval has passed and no read is in flight.
func (k *leaderKeyState) readDue(now clock.Instant, interval time.Duration) bool {
	return !k.readInFlight && (k.readAt == clock.Never || now >= k.readAt+interval)
}

// readLeaderKey reads the leader key. If the key is absent, a candidacy or a vote follows. The read
// also checks that the key-value store responds to this node.
func (e *Election) readLeaderKey() {
	e.leaderKey.readInFlight, e.leaderKey.readAt = true, e.host.Now()
	e.host.CallStore("GET", "/store/"+storage.LeaderKey, nil, func(response storage.Response) {
		e.leaderKey.readInFlight = false
		if e.leadership != nil || e.candidacy != nil || e.draining {
			return
		}
		switch response.Status {
		case http.StatusOK:
			e.onLeaderKeyPresent(response)
		case http.StatusNotFound:
			e.onLeaderKeyAbsent()
		}
	})
}

// onLeaderKeyPresent cancels the scheduled candidacy, because some node leads. A leader key that names
// this node is left over, and its lease is revoked.
func (e *Election) onLeaderKeyPresent(response storage.Response) {
	var item storage.Item
	var record storage.Leader
	if !response.Decode(&item) || json.Unmarshal(item.Value, &record) != nil {
		return
	}
	e.candidacyAt, e.leaderKey.absentSince = clock.Never, clock.Never
	if record.Node == e.node && item.LeaseID != 0 {
		e.revokeStaleLease(item.LeaseID)
	}
}

// revokeStaleLease revokes the lease of a leader key that names this node although this process does
// not lead. The key is from an earlier process of this node, which has ended because a node runs one
// process at a time, or from a candidacy of this process that has ended. Without the
// revocation, the next candidacy would have to wait until the lease expires.
func (e *Election) revokeStaleLease(leaseID uint64) {
	e.host.CallStore("DELETE", leasePath(leaseID), nil, func(storage.Response) { e.leaderKey.readAt = clock.Never })
}

// onLeaderKeyAbsent starts a candidacy after a delay. A node that does not exchange messages with a
// quorum instead votes for another node's candidacy through the key-value store.
func (e *Election) onLeaderKeyAbsent() {
	if e.leaderKey.absentSince == clock.Never {
		e.leaderKey.absentSince = e.host.Now()
	}
	if e.host.TwoWayPeerCount() < e.peersInQuorum() {
		e.voteThroughStore()
		return
	}
	e.startCandidacyAfterDelay()
}
