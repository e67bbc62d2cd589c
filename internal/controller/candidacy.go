package controller

import (
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// candidacy is one attempt of this node to become the leader in a new term.
type candidacy struct {
	term             uint64
	termVersion      uint64 // version of the term key that this candidate wrote
	votes            map[string]bool
	requestingVotes  bool // the term is raised and votes are being collected
	startedAt        clock.Instant
	votesRequestedAt clock.Instant // last vote requests sent
	votesReadAt      clock.Instant // last read of votes from the key-value store
}

// readLeaderKey reads the leader key, and starts a candidacy when it is absent. The read also
// checks that the key-value store answers this node.
func (n *Node) readLeaderKey() {
	election := &n.election
	election.leaderKeyReadInFlight, election.leaderKeyReadAt = true, n.now
	n.storeCall("GET", "/store/"+storage.LeaderKey, nil, func(result CallResult) {
		election.leaderKeyReadInFlight = false
		if n.leader != nil || election.candidacy != nil || n.draining {
			return
		}
		switch result.Status {
		case 200:
			var item storage.Item
			var record storage.Leader
			if json.Unmarshal(result.Body, &item) != nil || json.Unmarshal(item.Value, &record) != nil {
				return
			}
			election.candidacyAt, n.connectivity.leaderlessSince = clock.Never, clock.Never
			if record.Node == n.cfg.Node && item.LeaseID != 0 {
				// The key belongs to an earlier process of this node. That process has
				// ended, as a node runs one process at a time: revoke its lease instead
				// of waiting for it to expire.
				n.storeCall("DELETE", "/holds/"+formatUint(item.LeaseID), nil,
					func(CallResult) { election.leaderKeyReadAt = clock.Never })
			}
		case 404:
			if n.connectivity.leaderlessSince == clock.Never {
				n.connectivity.leaderlessSince = n.now
			}
			if n.twoWayPeerCount() < n.cfg.Cluster.ControllerCount/2 {
				n.voteThroughStore()
				return
			}
			n.startCandidacyInTurn()
		}
	})
}

// startCandidacyInTurn starts a candidacy once it is this node's turn. A random delay separates
// the candidates. Nodes that restarted recently go first: in a rolling restart they will not be
// restarted again.
func (n *Node) startCandidacyInTurn() {
	election := &n.election
	if n.candidacyPaused() {
		return
	}
	if election.isolated {
		if n.recentPeerCount(n.leaderLease()) == 0 {
			return
		}
		election.isolated = false
	}
	if election.candidacyAt == clock.Never {
		turn := n.rng.Float64()
		for _, p := range n.peers {
			if n.now-p.lastContact < n.leaderLease() && p.uptime < n.now && p.uptime > clock.WithDrift(n.leaderLease()) {
				turn++
			}
		}
		election.candidacyAt = n.now + time.Duration(turn*float64(n.workerLease())/pollsPerLease)
		return
	}
	if n.now >= election.candidacyAt {
		election.candidacyAt = clock.Never
		n.startCandidacy()
	}
}

// startCandidacy raises the term by compare-and-set and then collects votes for it. The
// transaction also requires that there is no leader key.
func (n *Node) startCandidacy() {
	election := &n.election
	current := &candidacy{startedAt: n.now, votes: map[string]bool{}, votesRequestedAt: clock.Never, votesReadAt: n.now}
	election.candidacy = current
	n.readTerm(func(lastTerm storage.Term, version uint64, ok bool) {
		if election.candidacy != current {
			return
		}
		if !ok {
			election.candidacy = nil
			return
		}
		current.term = lastTerm.Term + 1
		txn := storage.Txn{
			Conditions: []storage.Condition{{Key: storage.TermKey, ModRevision: version}, {Key: storage.LeaderKey}},
			Writes:     []storage.Write{storage.Put(storage.TermKey, storage.Term{Term: current.term, Node: n.cfg.Node})},
		}
		n.storeCall("POST", "/multi", txn, func(result CallResult) {
			var txnResult storage.TxnResponse
			if election.candidacy != current {
				return
			}
			if result.Status != 200 || json.Unmarshal(result.Body, &txnResult) != nil {
				// Lost, or the outcome is unclear. A term is never used unless it is known to
				// be this node's; a later candidacy raises it again.
				election.candidacy = nil
				return
			}
			current.termVersion, current.requestingVotes = txnResult.Revision, true
			n.tickCandidate()
		})
	})
}

// readTerm reads the last term and its version, both zero if there is none.
func (n *Node) readTerm(onTerm func(term storage.Term, version uint64, ok bool)) {
	n.storeCall("GET", "/store/"+storage.TermKey, nil, func(result CallResult) {
		var item storage.Item
		var term storage.Term
		ok := result.Status == 404 ||
			result.Status == 200 && json.Unmarshal(result.Body, &item) == nil &&
				json.Unmarshal(item.Value, &term) == nil
		onTerm(term, item.ModRevision, ok)
	})
}

// tickCandidate sends vote requests and takes the leader key once a quorum has voted. The
// candidacy ends after the span of one leader lease.
func (n *Node) tickCandidate() {
	election := &n.election
	current := election.candidacy
	if n.now > current.startedAt+n.leaderLease() {
		election.candidacy = nil
		return
	}
	if !current.requestingVotes {
		return
	}
	if n.freeToVote() && len(current.votes) >= n.cfg.Cluster.ControllerCount/2 {
		current.requestingVotes = false
		election.votedTerm = max(election.votedTerm, current.term)
		n.acquireLeaderKey(current)
		return
	}
	if n.now > current.votesReadAt+n.workerLease()/pollsPerLease {
		n.readStoredVotes(current)
	}
	if current.votesRequestedAt == clock.Never || n.now > current.votesRequestedAt+n.workerLease()/peerHeartbeatsPerLease {
		current.votesRequestedAt = n.now
		n.broadcast(protocol.VoteRequest{Term: current.term})
	}
}

// acquireLeaderKey creates a lease and sets the leader key on it, provided that there is no
// leader and the term is still this candidate's. On success this node leads.
func (n *Node) acquireLeaderKey(current *candidacy) {
	election := &n.election
	sent := n.now
	ttl := n.leaderLease()
	n.storeCall("POST", "/holds", storage.Lease{TTLMillis: ttl.Milliseconds()}, func(result CallResult) {
		var hold storage.Lease
		if election.candidacy != current {
			return
		}
		if result.Status != 200 || json.Unmarshal(result.Body, &hold) != nil {
			election.candidacy = nil
			return
		}
		leaderWrite := storage.Put(storage.LeaderKey, storage.Leader{Node: n.cfg.Node, Term: current.term})
		leaderWrite.LeaseID = hold.ID
		txn := storage.Txn{
			Conditions: []storage.Condition{{Key: storage.LeaderKey}, {Key: storage.TermKey, ModRevision: current.termVersion}},
			Writes:     []storage.Write{leaderWrite},
		}
		n.storeCall("POST", "/multi", txn, func(result CallResult) {
			var txnResult storage.TxnResponse
			if election.candidacy != current {
				return
			}
			election.candidacy = nil
			if result.Status != 200 || json.Unmarshal(result.Body, &txnResult) != nil {
				// If it was executed nevertheless, the key names this node, and
				// readLeaderKey revokes its lease.
				return
			}
			if n.now >= sent+safeLeaseSpan(ttl) {
				return
			}
			n.becomeLeader(current.term, txnResult.Revision, hold.ID, sent)
		})
	})
}
