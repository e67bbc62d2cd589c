package election

import (
	"net/http"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// candidacy is one attempt of this node to become the leader in a new term. It
// begins by raising the term, a number in the key-value store.
type candidacy struct {
	term             uint64
	termRevision     uint64          // revision of the term key that this candidate wrote
	votes            map[string]bool // peers that voted for this candidate, by name
	requestingVotes  bool            // the term has been raised and votes are being collected
	startedAt        clock.Instant
	votesRequestedAt clock.Instant // when vote requests were last sent
	votesReadAt      clock.Instant // when votes were last read from the key-value store
}

// startCandidacyAfterDelay schedules a candidacy, and starts it once its delay has passed. It does
// nothing while candidacies are paused, or while this node is isolated and no peer's message arrives.
func (e *Election) startCandidacyAfterDelay() {
	if e.CandidacyPaused() {
		return
	}
	if e.isolated {
		if e.RecentPeerCount(e.LeaderLease()) == 0 {
			return
		}
		e.isolated = false
	}
	now := e.host.Now()
	if e.candidacyAt == clock.Never {
		e.candidacyAt = now + e.candidacyDelay()
		return
	}
	if now >= e.candidacyAt {
		e.candidacyAt = clock.Never
		e.startCandidacy()
	}
}

// candidacyDelay returns the delay of this node's next candidacy. Its random part makes it unlikely
// that several nodes become candidates at the same time. Each peer that started later than this node
// adds a leader key read interval, because in a rolling restart the nodes that started last will not be
// restarted again. Peers that started within the last leader lease don't count.
func (e *Election) candidacyDelay() time.Duration {
	intervals := e.rng.Float64() // in leader key read intervals
	for _, peer := range e.peers {
		if e.recentlyHeard(peer) && peer.uptime < e.host.Now() && peer.uptime > clock.WithDrift(e.LeaderLease()) {
			intervals++
		}
	}
	return time.Duration(intervals * float64(e.workerLease()) / leaderKeyReadsPerWorkerLease)
}

// startCandidacy raises the term by compare-and-set and then collects votes for it.
func (e *Election) startCandidacy() {
	now := e.host.Now()
	current := &candidacy{startedAt: now, votes: map[string]bool{}, votesRequestedAt: clock.Never, votesReadAt: now}
	e.candidacy = current
	e.readTerm(func(last *storedTerm) {
		if e.candidacy != current {
			return
		}
		if last == nil {
			e.candidacy = nil
			return
		}
		current.term = last.term.Term + 1
		e.raiseTerm(current, last.revision)
	})
}

// storedTerm is the last term in the key-value store, or the zero value if no term exists yet.
type storedTerm struct {
	term     storage.Term
	revision uint64 // of the term key
}

// readTerm reads the last term from the key-value store. onTerm receives nil if the read failed.
func (e *Election) readTerm(onTerm func(last *storedTerm)) {
	e.host.CallStore("GET", "/store/"+storage.TermKey, nil, func(response storage.Response) {
		if response.Status == http.StatusNotFound {
			onTerm(&storedTerm{})
			return
		}
		var item storage.Item
		var term storage.Term
		if !response.Decode(&item) || json.Unmarshal(item.Value, &term) != nil {
			onTerm(nil)
			return
		}
		onTerm(&storedTerm{term: term, revision: item.ModRevision})
	})
}

// raiseTerm replaces the last term by the candidate's term. The transaction requires that the term
// key still has revision lastRevision and that there is no leader key.
func (e *Election) raiseTerm(current *candidacy, lastRevision uint64) {
	txn := storage.Txn{
		Conditions: []storage.Condition{{Key: storage.TermKey, ModRevision: lastRevision}, {Key: storage.LeaderKey}},
		Writes:     []storage.Write{storage.Put(storage.TermKey, storage.Term{Term: current.term, Node: e.node})},
	}
	e.host.CallStore("POST", "/multi", txn, func(response storage.Response) {
		var result storage.TxnResponse
		if e.candidacy != current {
			return
		}
		if !response.Decode(&result) {
			// The transaction failed, or its outcome is unknown. A node never uses a term
			// unless it knows that it raised the term itself; a later candidacy raises it again.
			e.candidacy = nil
			return
		}
		current.termRevision, current.requestingVotes = result.Revision, true
		e.tickCandidate()
	})
}

// tickCandidate sends vote requests, and acquires the leader key once a quorum has voted. The
// candidacy ends after the duration of one leader lease.
func (e *Election) tickCandidate() {
	current, now := e.candidacy, e.host.Now()
	if now > current.startedAt+e.LeaderLease() {
		e.candidacy = nil
		return
	}
	if !current.requestingVotes {
		return
	}
	// This node votes for itself, so like any other voter it must not be bound by a lease grant.
	if e.freeToVote() && len(current.votes) >= e.peersInQuorum() {
		current.requestingVotes = false
		e.votedTerm = max(e.votedTerm, current.term)
		e.requestLeaderLease(current)
		return
	}
	if now > current.votesReadAt+e.leaderKeyReadInterval() {
		e.readStoredVotes(current)
	}
	if current.votesRequestedAt == clock.Never || now > current.votesRequestedAt+e.peerHeartbeatInterval() {
		e.requestVotes(current)
	}
}

// requestVotes sends a vote request to every peer.
func (e *Election) requestVotes(current *candidacy) {
	current.votesRequestedAt = e.host.Now()
	for _, name := range e.peerNames {
		e.host.SendMessage(name, protocol.VoteRequest{Term: current.term})
	}
}

// requestLeaderLease creates a lease for the leader key and then acquires the key.
func (e *Election) requestLeaderLease(current *candidacy) {
	requestedAt := e.host.Now()
	request := storage.Lease{TTLMillis: e.LeaderLease().Milliseconds()}
	e.host.CallStore("POST", "/holds", request, func(response storage.Response) {
		var lease storage.Lease
		if e.candidacy != current {
			return
		}
		if !response.Decode(&lease) {
			e.candidacy = nil
			return
		}
		e.acquireLeaderKey(current, lease.ID, requestedAt)
	})
}

// acquireLeaderKey writes the leader key and attaches it to a lease, if there is no leader key and the
// stored term is still this candidate's. On success this node leads, unless the response arrives so
// late that the lease may have expired.
func (e *Election) acquireLeaderKey(current *candidacy, leaseID uint64, leaseRequestedAt clock.Instant) {
	leaderWrite := storage.Put(storage.LeaderKey, storage.Leader{Node: e.node, Term: current.term})
	leaderWrite.LeaseID = leaseID
	txn := storage.Txn{
		Conditions: []storage.Condition{
			{Key: storage.LeaderKey},
			{Key: storage.TermKey, ModRevision: current.termRevision},
		},
		Writes: []storage.Write{leaderWrite},
	}
	e.host.CallStore("POST", "/multi", txn, func(response storage.Response) {
		var result storage.TxnResponse
		if e.candidacy != current {
			return
		}
		e.candidacy = nil
		if !response.Decode(&result) {
			// If the store executed the transaction nevertheless, the leader key names this
			// node, and revokeStaleLease revokes the lease of the key.
			return
		}
		if e.host.Now() >= leaseRequestedAt+GuaranteedLeaseDuration(e.LeaderLease()) {
			return
		}
		e.becomeLeader(current.term, result.Revision, leaseID, leaseRequestedAt)
	})
}
