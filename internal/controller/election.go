package controller

import (
	"sort"
	"strings"
	"time"

	"hitchdoor/internal/clock"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
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

// newElection returns the state of a node that has just started.
func newElection() election {
	return election{storeOK: clock.Never, storeFailed: clock.Never, leaderKeyReadAt: clock.Never, heartbeatSentAt: clock.Never,
		candidacyAt:  clock.Never,
		grantedUntil: clock.Never, leaseValidUntil: clock.Never, renewalSentAt: clock.Never}
}

// recordStoreResponse records whether the key-value store answered a call with the status.
func (e *election) recordStoreResponse(now clock.Instant, status int) {
	if status == 0 || status == 429 || status >= 500 {
		e.storeFailed = now
		e.consecutiveStoreFailures++
	} else {
		e.storeOK = now
		e.consecutiveStoreFailures = 0
	}
}

// storeFailing reports whether the last call to the store failed.
func (e *election) storeFailing() bool { return e.storeFailed > e.storeOK }

// storeUnavailable reports whether the store is considered down, so that requests which need it
// are rejected at once. A single failed call, as caused by a lost packet, does not count.
func (e *election) storeUnavailable() bool { return e.consecutiveStoreFailures >= 2 }

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

// leaderPeer returns the peer that leads, or nil if none is known or it was not heard recently.
func (n *Node) leaderPeer() *peer {
	var leading *peer
	for _, p := range n.peers {
		if p.leading && n.now-p.lastContact < n.leaderLease() && (leading == nil || p.term > leading.term) {
			leading = p
		}
	}
	return leading
}

// recentPeerCount returns the number of peers heard within a span.
func (n *Node) recentPeerCount(within time.Duration) int {
	count := 0
	for _, p := range n.peers {
		if n.now-p.lastContact < within {
			count++
		}
	}
	return count
}

// tickElection sends the periodic heartbeat to the peers and advances the role of this node:
// leader, candidate or follower.
func (n *Node) tickElection() {
	election := &n.election
	if n.now >= election.heartbeatSentAt+n.workerLease()/peerHeartbeatsPerLease || election.heartbeatSentAt == clock.Never {
		election.heartbeatSentAt = n.now
		heartbeat := protocol.PeerHeartbeat{SentAt: n.now, Uptime: n.now, ProcessID: n.processID, VersionLevel: protocolLevel,
			WritesThrottled: n.writesThrottled, ConnectionsFull: n.workerRouter.connections.full, SpareConnections: n.workerRouter.connections.spare(),
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

// freeToVote reports whether no lease grant binds this node, so that it may vote. A restarted
// node does not remember its grants, so it waits for the span of one. The wait is skipped if
// no leader can depend on such a grant: every peer has reported, after hearing from this
// process, that it does not lead. A leader that stepped down never resumes its term, and a
// grant holds for one term only.
func (n *Node) freeToVote() bool {
	return (n.now >= clock.WithDrift(n.leaderLease()) || n.noPeerLeads()) && n.now >= n.election.grantedUntil
}

// noPeerLeads reports whether every peer has told this process that it does not lead.
func (n *Node) noPeerLeads() bool {
	for _, p := range n.peers {
		if !p.knownNotLeading {
			return false
		}
	}
	return true
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

// voteThroughStore writes a vote to the key-value store for a candidate that can't reach this
// node. Without it a failed leader could not be replaced while connections between controllers
// fail, as no candidate would receive a quorum of votes. The vote binds this node just as a vote
// message does. This node becomes a candidate only if there is none to vote for: otherwise
// each node would raise the term over the one that others vote for, and a cluster of
// disconnected controllers would stay without a leader.
func (n *Node) voteThroughStore() {
	election := &n.election
	n.readTerm(func(lastTerm storage.Term, _ uint64, ok bool) {
		if n.leader != nil || election.candidacy != nil || !ok || !n.freeToVote() {
			return
		}
		termTaken := false // some peer has led in the last term or in a later one
		for _, p := range n.peers {
			termTaken = termTaken || lastTerm.Term <= p.term
		}
		if termTaken || lastTerm.Node == "" || lastTerm.Node == n.cfg.Node || !n.mayVoteInTerm(lastTerm.Term) {
			n.startCandidacyInTurn()
			return
		}
		election.votedTerm = lastTerm.Term
		election.candidacyAt = n.now + n.leaderLease() // leave the time to that candidate
		n.storeCall("POST", "/multi", storage.Txn{
			Writes: []storage.Write{storage.Put(storage.VotePrefix+n.cfg.Node,
				storage.VoteRecord{Term: lastTerm.Term})},
		}, func(CallResult) {})
	})
}

// readStoredVotes counts the votes that other nodes wrote to the key-value store.
func (n *Node) readStoredVotes(current *candidacy) {
	current.votesReadAt = n.now
	n.storeCall("GET", storage.ListPath(storage.VotePrefix, "", n.cfg.Cluster.ControllerCount), nil, func(result CallResult) {
		var page storage.ListResponse
		if n.election.candidacy != current || result.Status != 200 || json.Unmarshal(result.Body, &page) != nil {
			return
		}
		for _, item := range page.Items {
			var vote storage.VoteRecord
			name := strings.TrimPrefix(item.Key, storage.VotePrefix)
			if json.Unmarshal(item.Value, &vote) == nil && vote.Term == current.term && n.peers[name] != nil {
				current.votes[name] = true
			}
		}
		n.tickCandidate()
	})
}

// mayVoteInTerm reports whether this node may vote for a candidate of a term.
func (n *Node) mayVoteInTerm(term uint64) bool {
	return n.freeToVote() && term > n.election.votedTerm &&
		(n.leader == nil || n.leader.term < term && !n.holdsLeaderLease())
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

// onPeerMessage handles a message of another controller. Unknown senders are ignored.
func (n *Node) onPeerMessage(inbound InboundMessage) {
	sender := n.peers[inbound.From]
	if sender == nil {
		return
	}
	sender.lastContact = n.now
	switch message := inbound.Message.(type) {
	case protocol.PeerHeartbeat:
		n.onPeerHeartbeat(sender, message)
	case protocol.LeaseGrant:
		n.onLeaseGrant(sender, message)
	case protocol.VoteRequest:
		n.onVoteRequest(sender, message)
	case protocol.Vote:
		n.onVote(sender, message)
	case protocol.AdmissionLoad:
		if n.holdsLeaderLease() {
			n.leader.admission.addNodeLoad(message)
		}
	case protocol.ForwardedRequest:
		n.onForwardedRequest(sender, message)
	case protocol.ForwardedResponse:
		n.onForwardedAnswer(message)
	}
}

// onPeerHeartbeat records what a peer reports of itself, and grants it a lease if it asks for
// one. A leader steps down if a peer leads in a higher term.
func (n *Node) onPeerHeartbeat(sender *peer, heartbeat protocol.PeerHeartbeat) {
	sender.leading, sender.term, sender.uptime, sender.processID, sender.protocolLevel =
		heartbeat.IsLeader, heartbeat.Term, heartbeat.Uptime, heartbeat.ProcessID, heartbeat.VersionLevel
	n.admissionPolicy.recordPeerRevision(heartbeat.PolicyRevision)
	n.onConnectivityReport(sender, heartbeat.Links)
	n.workerRouter.recordPeerHeartbeat(sender.name, heartbeat)
	if heartbeat.WritesThrottled {
		n.throttleWrites()
	}
	sender.knownNotLeading = sender.knownNotLeading || (heartbeat.ReceiverProcessID == n.processID && !heartbeat.IsLeader)
	if heartbeat.IsLeader && heartbeat.WantsLeaseGrant {
		n.grantLease(sender, heartbeat)
	}
	if heartbeat.IsLeader && n.leader != nil && heartbeat.Term > n.leader.term {
		n.stepDown("peer leads in a higher term")
	}
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

// onVoteRequest votes for a candidate if this node is free to, or has voted in its term before.
func (n *Node) onVoteRequest(sender *peer, request protocol.VoteRequest) {
	if n.mayVoteInTerm(request.Term) || request.Term == n.election.votedTerm {
		n.election.votedTerm = request.Term
		n.send(sender.name, protocol.Vote{Term: request.Term, Granted: true})
	}
}

// onVote counts a vote for this node's candidacy.
func (n *Node) onVote(sender *peer, vote protocol.Vote) {
	if current := n.election.candidacy; current != nil && current.term == vote.Term && vote.Granted {
		current.votes[sender.name] = true
		n.tickCandidate()
	}
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
