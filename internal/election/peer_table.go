package election

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
)

// Peer is the last known state of another controller.
type Peer struct {
	Name            string
	LastContact     clock.Instant // when its last message of any kind arrived
	processID       uint64        // from its last heartbeat; 0: unknown
	knownNotLeading bool          // it reported, after a heartbeat from this process, that it does not lead
	uptime          time.Duration // from its last heartbeat
	Term            uint64        // from its last heartbeat; 0: it did not lead
	leading         bool          // its last heartbeat stated that it holds the leader lease
}

// recordHeartbeat records the state that the peer reports in a heartbeat. receiverProcessID identifies
// the process of this node.
func (p *Peer) recordHeartbeat(heartbeat protocol.PeerHeartbeat, receiverProcessID uint64) {
	p.leading = heartbeat.IsLeader
	p.Term = heartbeat.Term
	p.uptime = heartbeat.Uptime
	p.processID = heartbeat.ProcessID
	// The sender of a heartbeat that names an earlier process of this node as its receiver may still
	// have relied on a lease grant of that process. Such a heartbeat does not count, see noPeerLeads.
	if heartbeat.ReceiverProcessID == receiverProcessID && !heartbeat.IsLeader {
		p.knownNotLeading = true
	}
}

// peerTable is the last known state of the other controllers of the cluster.
type peerTable struct {
	peers     map[string]*Peer
	peerNames []string // in the order of the configuration
	timing    timing
	clock     timeSource
}

// newPeerTable returns a table of peers from which no message has arrived yet.
func newPeerTable(names []string, durations timing, source timeSource) peerTable {
	table := peerTable{peers: make(map[string]*Peer, len(names)), peerNames: names, timing: durations, clock: source}
	for _, name := range names {
		table.peers[name] = &Peer{Name: name, LastContact: clock.Never}
	}
	return table
}

// Peer returns the last known state of a peer, or nil if no peer of that name is configured.
func (t *peerTable) Peer(name string) *Peer { return t.peers[name] }

// LeaderPeer returns the peer that leads in the highest term, among the peers whose last message arrived
// within the duration of a leader lease. It returns nil if none of them leads.
func (t *peerTable) LeaderPeer() *Peer {
	var leader *Peer
	for _, peer := range t.peers {
		if peer.leading && t.recentlyHeard(peer) && (leader == nil || peer.Term > leader.Term) {
			leader = peer
		}
	}
	return leader
}

// recentlyHeard reports whether the peer's last message arrived within the duration of a leader lease.
func (t *peerTable) recentlyHeard(peer *Peer) bool {
	return t.clock.Now()-peer.LastContact < t.timing.LeaderLease()
}

// RecentPeerCount returns the number of peers whose last message arrived within the given duration.
func (t *peerTable) RecentPeerCount(within time.Duration) int {
	count := 0
	for _, peer := range t.peers {
		if t.clock.Now()-peer.LastContact < within {
			count++
		}
	}
	return count
}

// noPeerLeads reports whether no leader can rely on a lease grant of an earlier process of this node.
// This is the case once every peer has reported that it does not lead, in a heartbeat that names
// this process as its receiver.
//
// Proof: a grant is given to one node in one term. The peer sent the heartbeat after it had received
// a message from this process, so the earlier process had ended and gave no more grants. At that
// time the peer did not lead (a leader whose lease has expired steps down in the step that detects
// it), and a leader that has stepped down never resumes its term: to lead again it needs a new term
// and a new quorum. A quorum of such heartbeats is not enough, because the missing peer may be the
// one that leads by the grant.
func (t *peerTable) noPeerLeads() bool {
	for _, peer := range t.peers {
		if !peer.knownNotLeading {
			return false
		}
	}
	return true
}

// hasLeaderSince reports whether some peer stated in its last heartbeat that it leads in the given term
// or in a later one.
func (t *peerTable) hasLeaderSince(term uint64) bool {
	for _, peer := range t.peers {
		if term <= peer.Term {
			return true
		}
	}
	return false
}
