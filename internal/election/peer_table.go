package election

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// Peer is what the election knows of another controller.
type Peer struct {
	Name            string
	LastContact     clock.Instant // last message of any kind
	processID       uint64        // processID in its last heartbeat
	knownNotLeading bool          // it has heard from this process and reported that it does not lead
	uptime          time.Duration // its uptime in its last heartbeat
	Term            uint64
	leading         bool
}

// recordHeartbeat records what the peer reports of itself to the process of the receiver.
func (p *Peer) recordHeartbeat(heartbeat protocol.PeerHeartbeat, receiverProcessID uint64) {
	p.leading = heartbeat.IsLeader
	p.Term = heartbeat.Term
	p.uptime = heartbeat.Uptime
	p.processID = heartbeat.ProcessID
	// A heartbeat that names an earlier process of this node as its receiver may have been sent
	// while a grant of that process was in use. It proves nothing, see noPeerLeads.
	if heartbeat.ReceiverProcessID == receiverProcessID && !heartbeat.IsLeader {
		p.knownNotLeading = true
	}
}

// peerTable holds the other controllers of the cluster.
type peerTable struct {
	peers     map[string]*Peer
	peerNames []string // in the order of the configuration
	timing    timing
	clock     timeSource
}

// newPeerTable returns a table of peers of which none has been heard.
func newPeerTable(names []string, durations timing, source timeSource) peerTable {
	table := peerTable{peers: make(map[string]*Peer, len(names)), peerNames: names, timing: durations, clock: source}
	for _, name := range names {
		table.peers[name] = &Peer{Name: name, LastContact: clock.Never}
	}
	return table
}

// Peer returns what the election knows of a peer, or nil if it is not configured.
func (t *peerTable) Peer(name string) *Peer { return t.peers[name] }

// LeaderPeer returns the peer that leads, or nil if none is known or it was not heard recently.
func (t *peerTable) LeaderPeer() *Peer {
	var leader *Peer
	for _, peer := range t.peers {
		if peer.leading && t.recentlyHeard(peer) && (leader == nil || peer.Term > leader.Term) {
			leader = peer
		}
	}
	return leader
}

// recentlyHeard reports whether a peer was heard within the span of a leader lease.
func (t *peerTable) recentlyHeard(peer *Peer) bool {
	return t.clock.Now()-peer.LastContact < t.timing.LeaderLease()
}

// RecentPeerCount returns the number of peers heard within a span.
func (t *peerTable) RecentPeerCount(within time.Duration) int {
	count := 0
	for _, peer := range t.peers {
		if t.clock.Now()-peer.LastContact < within {
			count++
		}
	}
	return count
}

// noPeerLeads reports whether no leader can depend on a lease grant of an earlier process of this
// node. This holds once every peer has reported that it does not lead, in a heartbeat that names
// this very process as its receiver.
//
// Proof: a grant binds in favour of one node in one term. The heartbeat was sent after the peer
// had heard from this process, so after the earlier process, with all its grants, had ended. At
// that moment the peer did not lead (a leader whose lease expired steps down in the step that
// notices it), and a leader that stepped down never resumes its term: to lead again it needs a new
// term and a new quorum. A quorum of such heartbeats is not enough, as the missing peer may be the
// one that leads by the grant.
func (t *peerTable) noPeerLeads() bool {
	for _, peer := range t.peers {
		if !peer.knownNotLeading {
			return false
		}
	}
	return true
}

// hasLeaderSince reports whether some peer is known to have led in a term or in a later one.
func (t *peerTable) hasLeaderSince(term uint64) bool {
	for _, peer := range t.peers {
		if term <= peer.Term {
			return true
		}
	}
	return false
}
