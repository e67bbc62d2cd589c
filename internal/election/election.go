// Package election elects the leader among the controllers by means of candidacies, votes, the leader
// lease and the lease grants of a quorum. It performs no I/O and reads no clock: its owner calls it in
// each step, and it acts through its Host.
package election

import (
	"math/rand/v2"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// Election is the state machine of leader election on one node. Its inputs are the time, the
// messages of peers and the responses of the key-value store. Its owner passes them in, and it
// acts through its host.
//
// The leader holds the leader key, which is attached to a lease of the key-value store. The leader
// counts its lease from the time at which it sent the last renewal that succeeded. A store that is down
// expires no leases, but the leader can't renew its lease there and must regard the lease as expired.
// The leader then relies on short lease grants from a quorum of controllers. A peer that grants a lease votes for
// no candidate, itself included, until the grant expires. Votes and grants exclude each other: a
// candidate needs, besides the term key and the leader key, votes from a quorum of nodes that are bound
// by no grant, and
// a peer that has voted for a candidate grants no lease to leaders of lower terms.
//
// A controller may be suspended between any two steps, or between a decision and its effect, while
// its clocks continue to run. Therefore each step reads the time again and checks the leader lease
// before it sends a response or a command, and a renewal, a grant or a vote counts from the time at
// which it was requested.
type Election struct {
	node      string // name of this node
	processID uint64 // distinguishes this process from earlier ones of the same node
	timing
	rng  *rand.Rand
	host Host

	storeAvailability
	peerTable
	heartbeatSentAt clock.Instant // last heartbeat to the peers; clock.Never: send one in the next step

	// State of a follower or candidate.
	leaderKey   leaderKeyState
	draining    bool // this node is shutting down and starts no more candidacies
	isolated    bool // stepped down as an isolated leader; no candidacy until a peer's message arrives
	pause       candidacyPause
	candidacyAt clock.Instant // start of the next candidacy; clock.Never: not scheduled
	candidacy   *candidacy    // nil: this node is not a candidate

	// Commitments of this node to leaders and candidates.
	grantedTerm  uint64        // highest term to whose leader this node granted a lease; 0: none
	grantedUntil clock.Instant // expiry of the last lease grant by this node
	votedTerm    uint64        // highest term in which this node voted; 0: none

	leadership *leadership // this node's term as the leader; nil: this node does not lead
}

// Options are the settings and dependencies of an election.
type Options struct {
	Node      string
	ProcessID uint64   // must not be 0, which means unknown
	Peers     []string // names of the other controllers
	Cluster   *config.Cluster
	Rand      *rand.Rand
	Host      Host
}

// New returns the election of a node whose process has just started.
func New(options Options) *Election {
	durations := timing{options.Cluster}
	return &Election{
		node: options.Node, processID: options.ProcessID,
		timing: durations, rng: options.Rand, host: options.Host,
		storeAvailability: newStoreAvailability(),
		peerTable:         newPeerTable(options.Peers, durations, options.Host),
		heartbeatSentAt:   clock.Never,
		leaderKey:         leaderKeyState{readAt: clock.Never, absentSince: clock.Never},
		pause:             candidacyPause{lastResignation: clock.Never, until: clock.Never},
		candidacyAt:       clock.Never,
		grantedUntil:      clock.Never,
	}
}

// Tick sends the periodic heartbeat to the peers and does what is due in this node's role as leader,
// candidate or follower. The owner calls it in each step.
func (e *Election) Tick() {
	now := e.host.Now()
	if e.heartbeatSentAt == clock.Never || now >= e.heartbeatSentAt+e.peerHeartbeatInterval() {
		e.sendHeartbeats()
	}
	switch {
	case e.leadership != nil:
		e.tickLeader()
	case e.candidacy != nil:
		e.tickCandidate()
	case !e.draining && e.leaderKey.readDue(now, e.leaderKeyReadInterval()):
		e.readLeaderKey()
	}
}

// HandleMessage records when the last message from a peer arrived, and handles the message if it
// concerns the election. The peer must be one of the configured peers.
func (e *Election) HandleMessage(from string, message protocol.PeerMessage) {
	sender := e.peers[from]
	sender.LastContact = e.host.Now()
	switch message := message.(type) {
	case protocol.PeerHeartbeat:
		e.onPeerHeartbeat(sender, message)
	case protocol.LeaseGrant:
		e.onLeaseGrant(sender, message)
	case protocol.VoteRequest:
		e.onVoteRequest(sender, message)
	case protocol.Vote:
		e.onVote(sender, message)
	}
}

// Drain prepares for shutdown: it ends this node's candidacy and its term as the leader, and prevents
// further candidacies.
func (e *Election) Drain() {
	e.draining = true
	e.candidacy = nil
	e.StepDown("shutting down")
}

// Status is the state of an election for diagnostics.
type Status struct {
	IsCandidate     bool
	Votes           []string      // peers that voted for this candidate, in no particular order
	Isolated        bool          // no candidacy until a peer's message arrives
	LeaseValidUntil clock.Instant // end of the leader lease, without grants; clock.Never: not the leader
}

// Status returns the state of the election for diagnostics.
func (e *Election) Status() Status {
	status := Status{Isolated: e.isolated, LeaseValidUntil: clock.Never}
	if e.candidacy != nil {
		status.IsCandidate = true
		for name := range e.candidacy.votes {
			status.Votes = append(status.Votes, name)
		}
	}
	if e.leadership != nil {
		status.LeaseValidUntil = e.leadership.leaseValidUntil
	}
	return status
}
