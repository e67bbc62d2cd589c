package election

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// timeSource is the part of Host that peerTable needs.
type timeSource interface {
	// Now returns the time of the current step.
	Now() clock.Instant
}

// Host provides what an election needs from the controller that owns it.
type Host interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// CallStore sends a request to the key-value store and passes the response to onResponse in a
	// later step. Before that, the host passes the response's status to RecordStoreResponse, as for every
	// other response of the store, so that the election knows whether the store responds to this node.
	CallStore(method, path string, body any, onResponse func(storage.Response))
	// SendMessage sends a message to the peer of the given name.
	SendMessage(to string, message protocol.PeerMessage)
	// DescribeController sets the fields of a heartbeat that do not concern the election.
	DescribeController(heartbeat *protocol.PeerHeartbeat)
	// TwoWayPeerCount returns the number of peers with which messages are exchanged in both directions.
	TwoWayPeerCount() int
	// BecameLeader notifies the host that this node leads a term. Every write in that term must be
	// conditional on the given revision of the leader key.
	BecameLeader(term, leaderKeyRevision uint64)
	// LeaderCondition returns whether this node should continue to lead. It is called only while
	// this node leads.
	LeaderCondition() LeaderCondition
	// SteppedDown notifies the host that this node no longer leads, and why.
	SteppedDown(reason string)
}

// ignoreResponse is the callback of a request whose outcome does not matter.
func ignoreResponse(storage.Response) {}

// LeaderCondition states whether a leader should continue to lead.
type LeaderCondition struct {
	StepDownReason      string        // why the term must end; empty: it can continue
	LastWorkerHeartbeat clock.Instant // when the last heartbeat of any worker arrived
	ResignReason        string        // why another node should lead for some time; empty: no reason
}
