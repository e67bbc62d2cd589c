package coordination

import (
	"sort"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// election holds what a node knows of the leadership.
//
// The leader holds the leader key, which hangs on a lease of the state service.
// Its authority counts from when its last renewal was sent. While the state
// service is down, leases stand still there but authority here would run out;
// the leader then lives by short lease grants of a majority, each of which binds a peer not to stand. So that
// both ways exclude each other, a candidate needs, besides the keys, a majority
// that is bound by no grant, and a peer that has voted for a candidate grants
// nothing more to leaders of lower terms.
type election struct {
	// what the state service last said
	stateOK  Instant // last answer other than an error
	stateBad Instant // last 429, 5xx or missing answer
	badCalls int     // such calls in a row

	probeAt     Instant
	probing     bool
	heartbeatAt Instant
	abstain     bool // until a peer is heard: we were cut off
	standAt     Instant
	candidate   *candidacy

	// as a peer
	grantedTerm  uint64
	grantedUntil Instant
	votedTerm    uint64

	// as a leader
	lease     uint64
	authUntil Instant
	renewAt   Instant
	renewing  bool
	renewBad  bool
}

type candidacy struct {
	term     uint64
	termVer  uint64
	votes    map[string]bool
	asking   bool
	since    Instant
	askedAt  Instant
	listedAt Instant // when votes were last read from the state service
}

func newElection() election {
	return election{stateOK: never, stateBad: never, probeAt: never, heartbeatAt: never, standAt: never,
		grantedUntil: never, authUntil: never, renewAt: never}
}

// saw notes whether the state service answers.
func (e *election) saw(now Instant, status int) {
	if status == 0 || status == 429 || status >= 500 {
		e.stateBad = now
		e.badCalls++
	} else {
		e.stateOK = now
		e.badCalls = 0
	}
}

func (e *election) stateDown() bool { return e.stateBad > e.stateOK }

// stateLost tells whether users should be turned away at once: one call without
// an answer, as happens when a packet is lost, is no reason yet.
func (e *election) stateLost() bool { return e.badCalls >= 2 }

// term is the span of a leader's lease and of a peer's grant.
func (n *Node) termSpan() time.Duration { return n.lease() / termsPerLease }

// authority tells whether this node may answer and command as the leader.
func (n *Node) authority() bool {
	if n.lead == nil {
		return false
	}
	return n.now < n.elect.authUntil || n.now < n.quorumLease()
}

// quorumLease is until when a majority, this node included, won't stand.
func (n *Node) quorumLease() Instant {
	others := n.cfg.Cluster.Count / 2 // peers needed besides ourselves
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

// leaderPeer is the peer that leads, if one is known and has been heard of late.
func (n *Node) leaderPeer() *peer {
	var best *peer
	for _, p := range n.peers {
		if p.leads && n.now-p.heard < n.termSpan() && (best == nil || p.term > best.term) {
			best = p
		}
	}
	return best
}

func (n *Node) peersHeard(within time.Duration) int {
	heard := 0
	for _, p := range n.peers {
		if n.now-p.heard < within {
			heard++
		}
	}
	return heard
}

func (n *Node) tickElection() {
	e := &n.elect
	if n.now >= e.heartbeatAt+n.lease()/heartbeatsPerLease || e.heartbeatAt == never {
		e.heartbeatAt = n.now
		m := protocol.Heartbeat{Sent: n.now, Uptime: n.now, Process: n.run, Level: level, Slowed: n.slowed,
			Full: n.connections.full, Room: n.connections.room(), Links: n.linkReport(), Policy: n.policy.revision}
		if n.lead != nil {
			m.Term, m.Leads, m.WantsGrant = n.lead.term, n.authority(), e.renewBad
			if n.lead.wantsRelays() {
				m.Full, m.Room = true, 0
				if n.lead.probesRelays() {
					m.Full, m.Room = false, len(n.peers) // one for each
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
	if !n.draining && !e.probing && (e.probeAt == never || n.now >= e.probeAt+n.lease()/probesPerLease) {
		n.probe()
	}
}

// probe reads the leader key; it also tells whether the state service answers us.
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
				// An earlier process of this node held the key and is gone, as a
				// node runs one process: end its lease rather than wait for it.
				n.stateCall("DELETE", "/holds/"+utoa(item.Lease), nil, func(Result) { e.probeAt = never })
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

// standInTurn stands, once it is this node's turn. Luck spreads the candidates, and
// those that restarted later go first: in a rolling restart their turn is over.
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

// freeToVote tells whether this node may vote for a candidate. A restarted
// node does not remember its grants, so it waits one out, unless nobody can be
// living by one: every peer, having heard this process, has said that it does not
// lead. A leadership that is over never returns, and a grant is for one term.
func (n *Node) freeToVote() bool {
	return (n.now >= drift(n.termSpan()) || n.allIdle()) && n.now >= n.elect.grantedUntil
}

// allIdle tells whether every peer has said, to this process, that it does not lead.
func (n *Node) allIdle() bool {
	for _, p := range n.peers {
		if !p.idle {
			return false
		}
	}
	return true
}

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
				// Lost, or unclear: a term is never taken on a guess. Stand again.
				e.candidate = nil
				return
			}
			c.termVer, c.asking = res.Revision, true
			n.tickCandidate()
		})
	})
}

// readTerm reads the last term and its revision, both zero while there is none.
func (n *Node) readTerm(then func(t storage.Term, version uint64, ok bool)) {
	n.stateCall("GET", "/store/"+storage.TermKey, nil, func(r Result) {
		var item storage.Item
		var t storage.Term
		ok := r.Status == 404 ||
			r.Status == 200 && json.Unmarshal(r.Body, &item) == nil && json.Unmarshal(item.Value, &t) == nil
		then(t, item.Version, ok)
	})
}

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

// voteByState votes, through the state service, for a candidate that can't ask us: while
// connections between controllers are refused, a leader that is lost could not be
// replaced otherwise, as no candidate would hear from a majority. It binds this node
// just as a message does. Only where there is nobody to vote for may this node stand
// itself: raising the term over one that the others vote for, in their turn, kept
// seven nodes without a leader for as long as they refused each other.
func (n *Node) voteByState() {
	e := &n.elect
	n.readTerm(func(t storage.Term, _ uint64, ok bool) {
		if n.lead != nil || e.candidate != nil || !ok || !n.freeToVote() {
			return
		}
		led := false // whoever raised the term
		for _, p := range n.peers {
			led = led || t.Term <= p.term
		}
		if led || t.Node == "" || t.Node == n.cfg.Node || !n.mayVote(t.Term) {
			n.standInTurn()
			return
		}
		e.votedTerm = t.Term
		e.standAt = n.now + n.termSpan() // its turn comes first
		n.stateCall("POST", "/multi", storage.Txn{
			Writes: []storage.Write{storage.Set(storage.VotePrefix+n.cfg.Node, storage.VoteRecord{Term: t.Term})},
		}, func(Result) {})
	})
}

// readVotes counts the votes that other nodes have written.
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

// mayVote tells whether this node may vote for a candidate of a term.
func (n *Node) mayVote(term uint64) bool {
	return n.freeToVote() && term > n.elect.votedTerm &&
		(n.lead == nil || n.lead.term < term && !n.authority())
}

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
				// If it was executed all the same, the key is ours by name and the
				// probe ends its lease.
				return
			}
			if n.now >= sent+leaseSafe(span) {
				return
			}
			n.becomeLeader(c.term, res.Revision, h.Lease, sent)
		})
	})
}

// leaseSafe is how long a lease of the state service, or of a peer, of the
// given span surely holds by our clock.
func leaseSafe(span time.Duration) time.Duration { return span - span/500 - time.Millisecond }

func (n *Node) becomeLeader(term, leaderVer, lease uint64, sent Instant) {
	e := &n.elect
	e.lease, e.authUntil, e.renewing, e.renewBad = lease, sent+leaseSafe(n.termSpan()), false, false
	e.renewAt = sent
	for _, p := range n.peers {
		p.granted = never
	}
	n.log.Info("leading", "term", term)
	n.links.leaderless = never
	n.lead = newLeadership(n, term, leaderVer)
	n.lead.load()
	e.heartbeatAt = never
}

// stepDown ends this node's leadership; everything it knew as a leader is dropped.
func (n *Node) stepDown(why string) {
	if n.lead == nil {
		return
	}
	n.log.Info("no longer leading", "term", n.lead.term, "why", why)
	n.lead.close()
	n.lead = nil
	e := &n.elect
	if e.lease != 0 {
		n.stateCall("DELETE", "/holds/"+utoa(e.lease), nil, func(Result) {})
	}
	e.lease, e.authUntil, e.probeAt, e.heartbeatAt = 0, never, n.now, never
}

func (n *Node) tickLeader() {
	e := &n.elect
	if !n.authority() {
		n.stepDown("authority ran out")
		return
	}
	if n.lead.attempts >= lastAttempt {
		n.stepDown("its attempts are used up")
		return
	}
	// A leader that hears neither peers nor workers is cut off from everything
	// but the state service; holding on would stop the service.
	span := n.lease() / 4
	if len(n.peers) > 0 && n.now-n.lead.since > span && n.peersHeard(span) == 0 && n.now-n.lead.heardWorker > span {
		e.abstain = true
		n.stepDown("cut off from peers and workers")
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
			n.stepDown("lease ended")
		default:
			e.renewBad = true
			e.heartbeatAt = never // ask for grants at once
		}
	})
}

// onPeer takes a message of another controller.
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

func (n *Node) onHeartbeat(p *peer, m protocol.Heartbeat) {
	p.leads, p.term, p.up, p.run, p.level = m.Leads, m.Term, m.Uptime, m.Process, m.Level
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
		n.stepDown("a peer leads with a higher term")
	}
}

func (n *Node) onLeaseGrant(p *peer, m protocol.LeaseGrant) {
	if n.lead == nil || m.Term != n.lead.term || !n.authority() {
		return
	}
	// No grant was asked for later than now, whatever its peer makes of the time.
	p.granted = max(p.granted, min(m.Sent, n.now)+leaseSafe(n.termSpan()))
}

func (n *Node) onVoteRequest(p *peer, m protocol.VoteRequest) {
	if n.mayVote(m.Term) || m.Term == n.elect.votedTerm {
		n.elect.votedTerm = m.Term
		n.send(p.name, protocol.Vote{Term: m.Term, Granted: true})
	}
}

func (n *Node) onVote(p *peer, m protocol.Vote) {
	if c := n.elect.candidate; c != nil && c.term == m.Term && m.Granted {
		c.votes[p.name] = true
		n.tickCandidate()
	}
}

// grantLease binds this node not to stand, or to vote for a candidate, for a while.
// It is given only while the state service is out of reach from here too:
// otherwise the leader alone is refused, and is better replaced.
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
