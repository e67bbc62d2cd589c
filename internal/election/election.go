// Package election decides which controller leads: candidacy, votes, the leader lease and the lease
// grants of a quorum. It does no I/O and reads no clock: its owner drives it, and it acts through its
// Host.
package election

import (
	"math/rand/v2"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// Election is the state of leader election on one node. It is a pure step on the time, on the
// messages of peers and on the responses of the key-value store: its owner drives it with them, and
// it acts through its host.
//
// The leader holds the leader key, which is attached to a lease of the key-value store. The
// leader lease counts from when its last renewal was sent. While the store is down, leases do
// not expire there but the leader lease would expire here; the leader then relies on short
// lease grants from a quorum of controllers. Each grant binds a peer not to become a candidate.
// Both mechanisms exclude each other: besides the keys, a candidate needs votes from a quorum
// that is bound by no grant, and a peer that has voted for a candidate grants nothing to leaders
// of lower terms.
//
// A controller may be stopped between any two steps, and between a decision and its effect, while
// its clocks run on. Therefore each step takes the time anew and checks the leader lease before it
// answers or commands, and a renewal, a grant or a vote counts from when it was requested.
type Election struct {
	node      string // name of this node
	processID uint64 // distinguishes this process from earlier ones of the same node
	timing
	rng  *rand.Rand
	host Host

	storeAvailability
	peerTable
	heartbeatSentAt clock.Instant // last heartbeat to the peers

	// as a follower or a candidate
	leaderKey   leaderKeyState
	draining    bool // this node starts no more candidacies
	isolated    bool // no candidacy until a peer is heard: this node was isolated
	pause       candidacyPause
	candidacyAt clock.Instant // start of the next candidacy; never: not scheduled
	candidacy   *candidacy    // nil: not a candidate

	// as a peer
	grantedTerm  uint64
	grantedUntil clock.Instant // end of the last lease grant of this node
	votedTerm    uint64

	leadership *leadership // nil: this node does not lead
}

// Options are the settings and dependencies of an election.
type Options struct {
	Node      string
	ProcessID uint64   // not 0, which means unknown
	Peers     []string // names of the other controllers
	Cluster   *config.Cluster
	Rand      *rand.Rand
	Host      Host
}

// New returns the state of a node that has just started.
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

// Tick sends the periodic heartbeat to the peers and advances the role of this node: leader,
// candidate or follower.
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

// HandleMessage records that a peer was heard, and handles the message if it belongs to the
// election. The peer must be one of the configured ones.
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

// Drain ends this node's candidacy and its term as the leader. It starts no more candidacies.
func (e *Election) Drain() {
	e.draining = true
	e.candidacy = nil
	e.StepDown("shutting down")
}

// Status is the state of an election for diagnostics.
type Status struct {
	IsCandidate     bool
	Votes           []string // peers that voted for this candidate, in no order
	Isolated        bool     // no candidacy until a peer is heard
	LeaseValidUntil clock.Instant
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
