package election

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// timeSource tells the time.
type timeSource interface {
	// Now returns the time of the current step.
	Now() clock.Instant
}

// Host is what an election needs from the controller that owns it.
type Host interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// CallStore sends a request to the key-value store and passes the response to onResponse in a
	// later step. Before that, the host records the response as it does with all others of the
	// store, so that the election knows whether the store answers this node.
	CallStore(method, path string, body any, onResponse func(storage.Response))
	// SendMessage sends a message to a peer.
	SendMessage(to string, message protocol.PeerMessage)
	// DescribeController sets the fields of a heartbeat that are not the election's.
	DescribeController(heartbeat *protocol.PeerHeartbeat)
	// TwoWayPeerCount returns the number of peers with which messages pass in both directions.
	TwoWayPeerCount() int
	// BecameLeader tells that this node leads a term. Every write of the term must be conditioned
	// on the version of the leader key.
	BecameLeader(term, leaderKeyVersion uint64)
	// LeaderCondition returns the state of the controller as the leader. It is called while this
	// node leads.
	LeaderCondition() LeaderCondition
	// SteppedDown tells that this node does not lead any longer, and why.
	SteppedDown(reason string)
}

// ignoreResponse handles the response to a request on whose outcome nothing depends.
func ignoreResponse(storage.Response) {}

// LeaderCondition is the state of a leader that decides whether it should go on to lead.
type LeaderCondition struct {
	StepDownReason      string        // why the term can't go on; empty: it can
	LastWorkerHeartbeat clock.Instant // last heartbeat of any worker
	ResignReason        string        // why another node should lead for some time; empty: none should
}
