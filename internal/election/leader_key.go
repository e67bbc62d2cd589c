package election

import (
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/storage"
)

// leaderKeyState is what a follower knows of the leader key.
type leaderKeyState struct {
	readAt       clock.Instant // last read
	readInFlight bool
	absentSince  clock.Instant // since when the key is absent; never: it was present
}

// absentFor returns how long the key has been absent, or 0 if it was present when it was last read.
func (k *leaderKeyState) absentFor(now clock.Instant) time.Duration {
	if k.absentSince == clock.Never {
		return 0
	}
	return now - k.absentSince
}

// readDue reports whether it is time to read the key again.
func (k *leaderKeyState) readDue(now clock.Instant, interval time.Duration) bool {
	return !k.readInFlight && (k.readAt == clock.Never || now >= k.readAt+interval)
}

// readLeaderKey reads the leader key, and starts a candidacy when it is absent. The read also
// checks that the key-value store answers this node.
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

// onLeaderKeyPresent gives up the next candidacy, as some node leads.
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

// revokeStaleLease revokes the lease of a leader key that names this node, although this process
// does not lead. The key belongs to an earlier process of this node, which has ended, as a node
// runs one process at a time: there is no need to wait until its lease expires.
func (e *Election) revokeStaleLease(leaseID uint64) {
	e.host.CallStore("DELETE", leasePath(leaseID), nil, func(storage.Response) { e.leaderKey.readAt = clock.Never })
}

// onLeaderKeyAbsent starts a candidacy in turn. A node that has no quorum within reach rather votes
// through the key-value store for a candidate of others.
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
