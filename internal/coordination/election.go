package coordination

import (
	"sort"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// election holds what a node knows of the leadership.
//
// The leader holds the leader key, which hangs on a lease of the state service.
// Its authority counts from when its last renewal was sent. While the state
// service is down, leases stand still there but authority here would run out;
// the leader then lives by short promises of a majority not to stand. So that
// both ways exclude each other, a candidate needs, besides the keys, a majority
// that is free of promises, and a peer that has cleared a candidate promises
// nothing more to leaders of lower terms.
type election struct {
	// what the state service last said
	stateOK  Instant // last answer other than an error
	stateBad Instant // last 429, 5xx or missing answer
	badCalls int     // such calls in a row

	probeAt   Instant
	probing   bool
	beatAt    Instant
	abstain   bool // until a peer is heard: we were cut off
	standAt   Instant
	candidate *candidacy

	// as a peer
	promisedTerm  uint64
	promisedUntil Instant
	clearedTerm   uint64

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
	cleared  map[string]bool
	clearing bool
	since    Instant
	askedAt  Instant
	listedAt Instant // when clearances were last read from the state service
}

func newElection() election {
	return election{stateOK: never, stateBad: never, probeAt: never, beatAt: never, standAt: never,
		promisedUntil: never, authUntil: never, renewAt: never}
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

// term is the span of a leader's lease and of a promise.
func (n *Node) termSpan() time.Duration { return n.lease() / termsPerLease }

// authority tells whether this node may answer and command as the leader.
func (n *Node) authority() bool {
	if n.lead == nil {
		return false
	}
	return n.now < n.elect.authUntil || n.now < n.promisedAuthority()
}

// promisedAuthority is until when a majority, this node included, won't stand.
func (n *Node) promisedAuthority() Instant {
	others := n.cfg.Cluster.Count / 2 // peers needed besides ourselves
	if others == 0 {
		return never
	}
	until := make([]Instant, 0, len(n.peers))
	for _, p := range n.peers {
		until = append(until, p.promised)
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
	if n.now >= e.beatAt+n.lease()/beatsPerLease || e.beatAt == never {
		e.beatAt = n.now
		m := Message{Type: msgBeat, Sent: int64(n.now), Up: int64(n.now), Run: n.run, Level: level, Slow: n.slowed}
		if n.lead != nil {
			m.Term, m.Lead, m.Want = n.lead.term, n.authority(), e.renewBad
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
			e.standAt = never
			if l.Node == n.cfg.Node && item.Lease != 0 {
				// An earlier process of this node held the key and is gone, as a
				// node runs one process: end its lease rather than wait for it.
				n.stateCall("DELETE", "/holds/"+utoa(item.Lease), nil, func(Result) { e.probeAt = never })
			}
		case 404:
			if n.peersHeard(n.termSpan()) < n.cfg.Cluster.Count/2 {
				n.clearByState()
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

// freeOfPromises tells whether this node may clear a candidate. A restarted
// node does not remember its promises, so it waits one out, unless nobody can be
// living by one: every peer, having heard this process, has said that it does not
// lead. A leadership that is over never returns, and a promise is for one term.
func (n *Node) freeOfPromises() bool {
	return (n.now >= drift(n.termSpan()) || n.allIdle()) && n.now >= n.elect.promisedUntil
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
	c := &candidacy{since: n.now, cleared: map[string]bool{}, askedAt: never, listedAt: n.now}
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
			c.termVer, c.clearing = res.Revision, true
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
	if !c.clearing {
		return
	}
	if n.freeOfPromises() && len(c.cleared) >= n.cfg.Cluster.Count/2 {
		c.clearing = false
		e.clearedTerm = max(e.clearedTerm, c.term)
		n.takeLeaderKey(c)
		return
	}
	if n.now > c.listedAt+n.lease()/probesPerLease {
		n.readClearances(c)
	}
	if c.askedAt == never || n.now > c.askedAt+n.lease()/beatsPerLease {
		c.askedAt = n.now
		n.sendAll(Message{Type: msgClear, Term: c.term})
	}
}

// clearByState clears, through the state service, a candidate that can't ask us: while
// connections between controllers are refused, a leader that is lost could not be
// replaced otherwise, as no candidate would hear from a majority. It binds this node
// just as a message does. Only where there is nobody to clear may this node stand
// itself: raising the term over one that the others are clearing, in their turn, kept
// seven nodes without a leader for as long as they refused each other.
func (n *Node) clearByState() {
	e := &n.elect
	n.readTerm(func(t storage.Term, _ uint64, ok bool) {
		if n.lead != nil || e.candidate != nil || !ok || !n.freeOfPromises() {
			return
		}
		led := false // whoever raised the term
		for _, p := range n.peers {
			led = led || t.Term <= p.term
		}
		if led || t.Node == "" || t.Node == n.cfg.Node || !n.clears(t.Term) {
			n.standInTurn()
			return
		}
		e.clearedTerm = t.Term
		e.standAt = n.now + n.termSpan() // its turn comes first
		n.stateCall("POST", "/multi", storage.Txn{
			Writes: []storage.Write{storage.Set(storage.ClearPrefix+n.cfg.Node, storage.Clearance{Term: t.Term})},
		}, func(Result) {})
	})
}

// readClearances counts the clearances that other nodes have written.
func (n *Node) readClearances(c *candidacy) {
	c.listedAt = n.now
	n.stateCall("GET", storage.ListPath(storage.ClearPrefix, "", n.cfg.Cluster.Count), nil, func(r Result) {
		var page storage.Page
		if n.elect.candidate != c || r.Status != 200 || json.Unmarshal(r.Body, &page) != nil {
			return
		}
		for _, it := range page.Items {
			var rec storage.Clearance
			name := strings.TrimPrefix(it.Key, storage.ClearPrefix)
			if json.Unmarshal(it.Value, &rec) == nil && rec.Term == c.term && n.peers[name] != nil {
				c.cleared[name] = true
			}
		}
		n.tickCandidate()
	})
}

// clears tells whether this node may clear a candidate of a term.
func (n *Node) clears(term uint64) bool {
	return n.freeOfPromises() && term > n.elect.clearedTerm &&
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

// leaseSafe is how long a lease of the state service, or a promise, of the
// given span surely holds by our clock.
func leaseSafe(span time.Duration) time.Duration { return span - span/500 - time.Millisecond }

func (n *Node) becomeLeader(term, leaderVer, lease uint64, sent Instant) {
	e := &n.elect
	e.lease, e.authUntil, e.renewing, e.renewBad = lease, sent+leaseSafe(n.termSpan()), false, false
	e.renewAt = sent
	for _, p := range n.peers {
		p.promised = never
	}
	n.log.Info("leading", "term", term)
	n.lead = newLeadership(n, term, leaderVer)
	n.lead.load()
	e.beatAt = never
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
	e.lease, e.authUntil, e.probeAt, e.beatAt = 0, never, n.now, never
}

func (n *Node) tickLeader() {
	e := &n.elect
	if !n.authority() {
		n.stepDown("authority ran out")
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
			e.beatAt = never // ask for promises at once
		}
	})
}

func (n *Node) onPeer(pm PeerMessage) {
	p := n.peers[pm.From]
	if p == nil {
		return
	}
	m := pm.Msg
	p.heard = n.now
	e := &n.elect
	switch m.Type {
	case msgBeat:
		p.leads, p.term, p.up, p.run, p.level = m.Lead, m.Term, time.Duration(m.Up), m.Run, m.Level
		if m.Slow {
			n.slowDown()
		}
		p.idle = p.idle || (m.Heard == n.run && !m.Lead)
		if m.Lead && m.Want {
			n.promise(p, m)
		}
		if m.Lead && n.lead != nil && m.Term > n.lead.term {
			n.stepDown("a peer leads with a higher term")
		}
	case msgPromise:
		if n.lead != nil && m.Term == n.lead.term && n.authority() {
			p.promised = max(p.promised, Instant(m.Sent)+leaseSafe(n.termSpan()))
		}
	case msgClear:
		if n.clears(m.Term) || m.Term == e.clearedTerm {
			e.clearedTerm = m.Term
			n.send(p.name, Message{Type: msgCleared, Term: m.Term, OK: true})
		}
	case msgCleared:
		if c := e.candidate; c != nil && c.term == m.Term && m.OK {
			c.cleared[p.name] = true
			n.tickCandidate()
		}
	case msgAsk:
		n.onAsk(p, m)
	case msgAnswer:
		n.onAnswer(m)
	}
}

// promise binds this node not to stand, or to clear a candidate, for a while.
// It is given only while the state service is out of reach from here too:
// otherwise the leader alone is refused, and is better replaced.
func (n *Node) promise(p *peer, m Message) {
	e := &n.elect
	if n.lead != nil || e.candidate != nil || !e.stateDown() || m.Term < e.clearedTerm ||
		m.Term < e.promisedTerm || n.now < drift(n.termSpan()) {
		return
	}
	e.promisedTerm = m.Term
	e.promisedUntil = max(e.promisedUntil, n.now+drift(n.termSpan()))
	n.send(p.name, Message{Type: msgPromise, Term: m.Term, Sent: m.Sent})
}
