package coordination

import (
	"sort"
	"strings"
	"time"

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
	stateOK  Instant // last response other than an error
	stateBad Instant // last 429, 5xx or missing response
	badCalls int     // consecutive failures

	probeAt     Instant // last read of the leader key
	probing     bool
	heartbeatAt Instant // last heartbeat to the peers
	abstain     bool    // no candidacy until a peer is heard: this node was isolated
	standAt     Instant // start of the next candidacy; never: not scheduled
	candidate   *candidacy

	// as a peer
	grantedTerm  uint64
	grantedUntil Instant
	votedTerm    uint64

	// as a leader
	lease     uint64  // lease of the leader key in the store
	authUntil Instant // end of the leader lease, without grants
	renewAt   Instant // last renewal sent
	renewing  bool
	renewBad  bool // the last renewal failed: ask for grants
}

// candidacy is one attempt of this node to become the leader in a new term.
type candidacy struct {
	term     uint64
	termVer  uint64 // version of the term key that this candidate wrote
	votes    map[string]bool
	asking   bool // the term is raised and votes are being collected
	since    Instant
	askedAt  Instant // last vote requests sent
	listedAt Instant // last read of votes from the key-value store
}

// newElection returns the state of a node that has just started.
func newElection() election {
	return election{stateOK: never, stateBad: never, probeAt: never, heartbeatAt: never,
		standAt:      never,
		grantedUntil: never, authUntil: never, renewAt: never}
}

// recordStoreResponse records whether the key-value store answered a call with the status.
func (e *election) saw(now Instant, status int) {
	if status == 0 || status == 429 || status >= 500 {
		e.stateBad = now
		e.badCalls++
	} else {
		e.stateOK = now
		e.badCalls = 0
	}
}

// storeFailing reports whether the last call to the store failed.
func (e *election) stateDown() bool { return e.stateBad > e.stateOK }

// storeUnavailable reports whether the store is considered down, so that requests which need it
// are rejected at once. A single failed call, as caused by a lost packet, does not count.
func (e *election) stateLost() bool { return e.badCalls >= 2 }

// leaderLease returns the duration of the leader lease and of a peer's lease grant.
func (n *Node) termSpan() time.Duration { return n.lease() / termsPerLease }

// holdsLeaderLease reports whether this node may act as the leader: by its own lease in the
// store, or by the lease grants of a quorum.
func (n *Node) authority() bool {
	if n.lead == nil {
		return false
	}
	return n.now < n.elect.authUntil || n.now < n.quorumLease()
}

// quorumLeaseUntil returns until when a majority, including this node, is bound by lease grants
// not to become candidates.
func (n *Node) quorumLease() Instant {
	others := n.cfg.Cluster.Count / 2 // needed besides this node
	if others == 0 {
		return never
	}
	until := make([]Instant, 0, len(n.peers))
	for _, p := range n.peers {
		until = append(until, p.granted)
	}
	sort.Slice(until, func(i, j int) bool { return until[i] > until[j] })
	return until[others-1]
}

// leaderPeer returns the peer that leads, or nil if none is known or it was not heard recently.
func (n *Node) leaderPeer() *peer {
	var best *peer
	for _, p := range n.peers {
		if p.leads && n.now-p.heard < n.termSpan() && (best == nil || p.term > best.term) {
			best = p
		}
	}
	return best
}

// recentPeerCount returns the number of peers heard within a span.
func (n *Node) peersHeard(within time.Duration) int {
	heard := 0
	for _, p := range n.peers {
		if n.now-p.heard < within {
			heard++
		}
	}
	return heard
}

// tickElection sends the periodic heartbeat to the peers and advances the role of this node:
// leader, candidate or follower.
func (n *Node) tickElection() {
	e := &n.elect
	if n.now >= e.heartbeatAt+n.lease()/heartbeatsPerLease || e.heartbeatAt == never {
		e.heartbeatAt = n.now
		m := protocol.Heartbeat{Sent: n.now, Uptime: n.now, Process: n.run, Level: level,
			Slowed: n.slowed, Full: n.connections.full, Room: n.connections.room(),
			Links: n.linkReport(), Policy: n.policy.revision}
		if n.lead != nil {
			m.Term, m.Leads, m.WantsGrant =
				n.lead.term, n.authority(), e.renewBad
			if n.lead.wantsRelays() {
				m.Full, m.Room = true, 0
				if n.lead.probesRelays() {
					m.Full, m.Room = false, len(n.peers) // one worker from each peer
				}
			}
		}
		for _, k := range n.cfg.Known {
			m.Heard = n.peers[k.Node].run
			n.send(k.Node, m)
		}
	}
	if n.lead != nil {
		n.tickLeader()
		return
	}
	if e.candidate != nil {
		n.tickCandidate()
		return
	}
	if !n.draining && !e.probing &&
		(e.probeAt == never || n.now >= e.probeAt+n.lease()/probesPerLease) {
		n.probe()
	}
}

// readLeaderKey reads the leader key, and starts a candidacy when it is absent. The read also
// checks that the key-value store answers this node.
func (n *Node) probe() {
	e := &n.elect
	e.probing, e.probeAt = true, n.now
	n.stateCall("GET", "/store/"+storage.LeaderKey, nil, func(r Result) {
		e.probing = false
		if n.lead != nil || e.candidate != nil || n.draining {
			return
		}
		switch r.Status {
		case 200:
			var item storage.Item
			var l storage.Leader
			if json.Unmarshal(r.Body, &item) != nil || json.Unmarshal(item.Value, &l) != nil {
				return
			}
			e.standAt, n.links.leaderless = never, never
			if l.Node == n.cfg.Node && item.Lease != 0 {
				// The key belongs to an earlier process of this node. That process has
				// ended, as a node runs one process at a time: revoke its lease instead
				// of waiting for it to expire.
				n.stateCall("DELETE", "/holds/"+utoa(item.Lease), nil,
					func(Result) { e.probeAt = never })
			}
		case 404:
			if n.links.leaderless == never {
				n.links.leaderless = n.now
			}
			if n.twoWayPeers() < n.cfg.Cluster.Count/2 {
				n.voteByState()
				return
			}
			n.standInTurn()
		}
	})
}

// startCandidacyInTurn starts a candidacy once it is this node's turn. A random delay separates
// the candidates. Nodes that restarted recently go first: in a rolling restart they will not be
// restarted again.
func (n *Node) standInTurn() {
	e := &n.elect
	if n.pausing() {
		return
	}
	if e.abstain {
		if n.peersHeard(n.termSpan()) == 0 {
			return
		}
		e.abstain = false
	}
	if e.standAt == never {
		wait := n.rng.Float64()
		for _, p := range n.peers {
			if n.now-p.heard < n.termSpan() && p.up < n.now && p.up > drift(n.termSpan()) {
				wait++
			}
		}
		e.standAt = n.now + time.Duration(wait*float64(n.lease())/probesPerLease)
		return
	}
	if n.now >= e.standAt {
		e.standAt = never
		n.stand()
	}
}

// freeToVote reports whether no lease grant binds this node, so that it may vote. A restarted
// node does not remember its grants, so it waits for the span of one. The wait is skipped if
// no leader can depend on such a grant: every peer has reported, after hearing from this
// process, that it does not lead. A leader that stepped down never resumes its term, and a
// grant holds for one term only.
func (n *Node) freeToVote() bool {
	return (n.now >= drift(n.termSpan()) || n.allIdle()) && n.now >= n.elect.grantedUntil
}

// noPeerLeads reports whether every peer has told this process that it does not lead.
func (n *Node) allIdle() bool {
	for _, p := range n.peers {
		if !p.idle {
			return false
		}
	}
	return true
}

// startCandidacy raises the term by compare-and-set and then collects votes for it. The
// transaction also requires that there is no leader key.
func (n *Node) stand() {
	e := &n.elect
	c := &candidacy{since: n.now, votes: map[string]bool{}, askedAt: never, listedAt: n.now}
	e.candidate = c
	n.readTerm(func(t storage.Term, version uint64, ok bool) {
		if e.candidate != c {
			return
		}
		if !ok {
			e.candidate = nil
			return
		}
		c.term = t.Term + 1
		txn := storage.Txn{
			If:     []storage.Cond{{Key: storage.TermKey, Version: version}, {Key: storage.LeaderKey}},
			Writes: []storage.Write{storage.Set(storage.TermKey, storage.Term{Term: c.term, Node: n.cfg.Node})},
		}
		n.stateCall("POST", "/multi", txn, func(r Result) {
			var res storage.TxnResult
			if e.candidate != c {
				return
			}
			if r.Status != 200 || json.Unmarshal(r.Body, &res) != nil {
				// Lost, or the outcome is unclear. A term is never used unless it is known to
				// be this node's; a later candidacy raises it again.
				e.candidate = nil
				return
			}
			c.termVer, c.asking = res.Revision, true
			n.tickCandidate()
		})
	})
}

// readTerm reads the last term and its version, both zero if there is none.
func (n *Node) readTerm(then func(t storage.Term, version uint64, ok bool)) {
	n.stateCall("GET", "/store/"+storage.TermKey, nil, func(r Result) {
		var item storage.Item
		var t storage.Term
		ok := r.Status == 404 ||
			r.Status == 200 && json.Unmarshal(r.Body, &item) == nil &&
				json.Unmarshal(item.Value, &t) == nil
		then(t, item.Version, ok)
	})
}

// tickCandidate sends vote requests and takes the leader key once a quorum has voted. The
// candidacy ends after the span of one leader lease.
func (n *Node) tickCandidate() {
	e := &n.elect
	c := e.candidate
	if n.now > c.since+n.termSpan() {
		e.candidate = nil
		return
	}
	if !c.asking {
		return
	}
	if n.freeToVote() && len(c.votes) >= n.cfg.Cluster.Count/2 {
		c.asking = false
		e.votedTerm = max(e.votedTerm, c.term)
		n.takeLeaderKey(c)
		return
	}
	if n.now > c.listedAt+n.lease()/probesPerLease {
		n.readVotes(c)
	}
	if c.askedAt == never || n.now > c.askedAt+n.lease()/heartbeatsPerLease {
		c.askedAt = n.now
		n.sendAll(protocol.VoteRequest{Term: c.term})
	}
}

// voteThroughStore writes a vote to the key-value store for a candidate that can't reach this
// node. Without it a failed leader could not be replaced while connections between controllers
// fail, as no candidate would receive a quorum of votes. The vote binds this node just as a vote
// message does. This node becomes a candidate only if there is none to vote for: otherwise
// each node would raise the term over the one that others vote for, and a cluster of
// disconnected controllers would stay without a leader.
func (n *Node) voteByState() {
	e := &n.elect
	n.readTerm(func(t storage.Term, _ uint64, ok bool) {
		if n.lead != nil || e.candidate != nil || !ok || !n.freeToVote() {
			return
		}
		led := false // some peer has led in the last term or in a later one
		for _, p := range n.peers {
			led = led || t.Term <= p.term
		}
		if led || t.Node == "" || t.Node == n.cfg.Node || !n.mayVote(t.Term) {
			n.standInTurn()
			return
		}
		e.votedTerm = t.Term
		e.standAt = n.now + n.termSpan() // leave the time to that candidate
		n.stateCall("POST", "/multi", storage.Txn{
			Writes: []storage.Write{storage.Set(storage.VotePrefix+n.cfg.Node,
				storage.VoteRecord{Term: t.Term})},
		}, func(Result) {})
	})
}

// readStoredVotes counts the votes that other nodes wrote to the key-value store.
func (n *Node) readVotes(c *candidacy) {
	c.listedAt = n.now
	n.stateCall("GET", storage.ListPath(storage.VotePrefix, "", n.cfg.Cluster.Count), nil, func(r Result) {
		var page storage.Page
		if n.elect.candidate != c || r.Status != 200 || json.Unmarshal(r.Body, &page) != nil {
			return
		}
		for _, it := range page.Items {
			var rec storage.VoteRecord
			name := strings.TrimPrefix(it.Key, storage.VotePrefix)
			if json.Unmarshal(it.Value, &rec) == nil && rec.Term == c.term && n.peers[name] != nil {
				c.votes[name] = true
			}
		}
		n.tickCandidate()
	})
}

// mayVoteInTerm reports whether this node may vote for a candidate of a term.
func (n *Node) mayVote(term uint64) bool {
	return n.freeToVote() && term > n.elect.votedTerm &&
		(n.lead == nil || n.lead.term < term && !n.authority())
}

// acquireLeaderKey creates a lease and sets the leader key on it, provided that there is no
// leader and the term is still this candidate's. On success this node leads.
func (n *Node) takeLeaderKey(c *candidacy) {
	e := &n.elect
	sent := n.now
	span := n.termSpan()
	n.stateCall("POST", "/holds", storage.Hold{TTLMS: span.Milliseconds()}, func(r Result) {
		var h storage.Hold
		if e.candidate != c {
			return
		}
		if r.Status != 200 || json.Unmarshal(r.Body, &h) != nil {
			e.candidate = nil
			return
		}
		set := storage.Set(storage.LeaderKey, storage.Leader{Node: n.cfg.Node, Term: c.term})
		set.Lease = h.Lease
		txn := storage.Txn{
			If:     []storage.Cond{{Key: storage.LeaderKey}, {Key: storage.TermKey, Version: c.termVer}},
			Writes: []storage.Write{set},
		}
		n.stateCall("POST", "/multi", txn, func(r Result) {
			var res storage.TxnResult
			if e.candidate != c {
				return
			}
			e.candidate = nil
			if r.Status != 200 || json.Unmarshal(r.Body, &res) != nil {
				// If it was executed nevertheless, the key names this node, and
				// readLeaderKey revokes its lease.
				return
			}
			if n.now >= sent+leaseSafe(span) {
				return
			}
			n.becomeLeader(c.term, res.Revision, h.Lease, sent)
		})
	})
}

// safeLeaseSpan returns how long a lease of the key-value store, or a lease grant of a peer, is
// guaranteed to hold by this node's clock.
func leaseSafe(span time.Duration) time.Duration { return span - span/500 - time.Millisecond }

// becomeLeader starts a term as the leader and begins to load the records. The leader lease
// counts from when it was requested.
func (n *Node) becomeLeader(term, leaderVer, lease uint64, sent Instant) {
	e := &n.elect
	e.lease, e.authUntil, e.renewing, e.renewBad =
		lease, sent+leaseSafe(n.termSpan()), false, false
	e.renewAt = sent
	for _, p := range n.peers {
		p.granted = never
	}
	n.log.Info("became leader", "term", term)
	n.links.leaderless = never
	n.lead = newLeadership(n, term, leaderVer)
	n.lead.load()
	e.heartbeatAt = never
}

// stepDown ends this node's term as the leader, revokes its lease and discards the leader state.
func (n *Node) stepDown(why string) {
	if n.lead == nil {
		return
	}
	n.log.Info("stepped down", "term", n.lead.term, "reason", why)
	n.lead.close()
	n.lead = nil
	e := &n.elect
	if e.lease != 0 {
		n.stateCall("DELETE", "/holds/"+utoa(e.lease), nil, func(Result) {})
	}
	e.lease, e.authUntil, e.probeAt, e.heartbeatAt =
		0, never, n.now, never
}

// tickLeader steps down if this node should not lead any longer, and renews its lease.
func (n *Node) tickLeader() {
	e := &n.elect
	if !n.authority() {
		n.stepDown("leader lease expired")
		return
	}
	if n.lead.attempts >= lastAttempt {
		n.stepDown("attempt numbers exhausted")
		return
	}
	// A leader that hears neither peers nor workers is isolated from everything but the
	// key-value store. As long as it renewed its lease, no other node could take over.
	span := n.lease() / 4
	if len(n.peers) > 0 && n.now-n.lead.since > span &&
		n.peersHeard(span) == 0 && n.now-n.lead.heardWorker > span {
		e.abstain = true
		n.stepDown("isolated from peers and workers")
		return
	}
	if n.handOver(); n.lead == nil {
		return
	}
	if e.renewing || n.now < e.renewAt+n.termSpan()/4 {
		return
	}
	e.renewing, e.renewAt = true, n.now
	sent, lead := n.now, n.lead
	n.stateCall("POST", "/holds/"+utoa(e.lease)+"/touch", nil, func(r Result) {
		if n.lead != lead {
			return
		}
		e.renewing = false
		switch {
		case r.Status == 200:
			e.authUntil = max(e.authUntil, sent+leaseSafe(n.termSpan()))
			e.renewBad = false
		case r.Status == 404:
			n.stepDown("leader lease lost")
		default:
			e.renewBad = true
			e.heartbeatAt = never // ask for lease grants at once
		}
	})
}

// onPeerMessage handles a message of another controller. Unknown senders are ignored.
func (n *Node) onPeer(pm PeerMessage) {
	p := n.peers[pm.From]
	if p == nil {
		return
	}
	p.heard = n.now
	switch m := pm.Msg.(type) {
	case protocol.Heartbeat:
		n.onHeartbeat(p, m)
	case protocol.LeaseGrant:
		n.onLeaseGrant(p, m)
	case protocol.VoteRequest:
		n.onVoteRequest(p, m)
	case protocol.Vote:
		n.onVote(p, m)
	case protocol.AdmissionLoad:
		if n.authority() {
			n.lead.admission.take(m)
		}
	case protocol.ForwardedRequest:
		n.onForwarded(p, m)
	case protocol.ForwardedAnswer:
		n.onAnswer(m)
	}
}

// onPeerHeartbeat records what a peer reports of itself, and grants it a lease if it asks for
// one. A leader steps down if a peer leads in a higher term.
func (n *Node) onHeartbeat(p *peer, m protocol.Heartbeat) {
	p.leads, p.term, p.up, p.run, p.level =
		m.Leads, m.Term, m.Uptime, m.Process, m.Level
	p.policy = max(p.policy, m.Policy)
	n.onLinkReport(p, m.Links)
	p.room.heard(m, n.roomSharers(m))
	if m.Slowed {
		n.slowDown()
	}
	p.idle = p.idle || (m.Heard == n.run && !m.Leads)
	if m.Leads && m.WantsGrant {
		n.grantLease(p, m)
	}
	if m.Leads && n.lead != nil && m.Term > n.lead.term {
		n.stepDown("peer leads in a higher term")
	}
}

// onLeaseGrant records a lease grant for the current term.
func (n *Node) onLeaseGrant(p *peer, m protocol.LeaseGrant) {
	if n.lead == nil || m.Term != n.lead.term || !n.authority() {
		return
	}
	// A grant counts from when it was requested, which can't be later than now: a wrong
	// timestamp from the peer must not extend it.
	p.granted = max(p.granted, min(m.Sent, n.now)+leaseSafe(n.termSpan()))
}

// onVoteRequest votes for a candidate if this node is free to, or has voted in its term before.
func (n *Node) onVoteRequest(p *peer, m protocol.VoteRequest) {
	if n.mayVote(m.Term) || m.Term == n.elect.votedTerm {
		n.elect.votedTerm = m.Term
		n.send(p.name, protocol.Vote{Term: m.Term, Granted: true})
	}
}

// onVote counts a vote for this node's candidacy.
func (n *Node) onVote(p *peer, m protocol.Vote) {
	if c := n.elect.candidate; c != nil && c.term == m.Term && m.Granted {
		c.votes[p.name] = true
		n.tickCandidate()
	}
}

// grantLease binds this node, for the span of a leader lease, neither to become a candidate nor
// to vote for one. A lease is granted only while this node can't reach the key-value store
// either: otherwise only the leader is cut off from the store, and it should be replaced.
func (n *Node) grantLease(p *peer, m protocol.Heartbeat) {
	e := &n.elect
	if n.lead != nil || !e.stateDown() || m.Term < e.votedTerm ||
		m.Term < e.grantedTerm || n.now < drift(n.termSpan()) {
		return
	}
	e.grantedTerm = m.Term
	e.grantedUntil = max(e.grantedUntil, n.now+drift(n.termSpan()))
	n.send(p.name, protocol.LeaseGrant{Term: m.Term, Sent: m.Sent})
}
