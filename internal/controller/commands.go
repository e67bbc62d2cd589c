package controller

import (
	"net/http"
	"time"

	"hitchdoor/internal/protocol"
)

// Command is an input of Node.Step: a Request, InboundMessage, CallResult, Drain or ServerLoad. It is
// not a command to a worker, for which see protocol.CommandKind.
type Command interface {
	// apply processes the command. Only Step calls it.
	apply(n *Node)
}

// Origin identifies the source of a request: one of this node's own connections, or, if Peer is set,
// the peer that forwarded the request. RequestID is unique per source.
type Origin struct {
	RequestID uint64
	Peer      string
}

// Request passes on to the node an HTTP request of a user, a worker, an operator or the load balancer.
type Request struct {
	Origin    Origin
	Kind      protocol.RequestKind
	JobID     string                    // set for queries and cancellations
	Job       *protocol.Job             // parsed body of a submission
	Heartbeat *protocol.WorkerHeartbeat // parsed body of a worker's heartbeat

	forwarded     bool // this node has already forwarded the submission to the leader
	knownAccepted bool // this node knew when the request arrived that its job was accepted
}

// InboundMessage passes on to the node a message from the peer named From.
type InboundMessage struct {
	From    string
	Message protocol.PeerMessage
}

// IsReadOnly reports whether the request changes no state. The caller may queue such a request behind
// all requests that change state.
func (r Request) IsReadOnly() bool {
	return r.Kind == protocol.RequestQuery || r.Kind == protocol.RequestStatus || r.Kind == protocol.RequestMetrics ||
		r.Kind == protocol.RequestAdmission || r.Kind == protocol.RequestLinks || r.Kind == protocol.RequestRecovery
}

// IsReadOnly reports whether the message forwards a read-only request.
func (m InboundMessage) IsReadOnly() bool {
	request, forwarded := m.Message.(protocol.ForwardedRequest)
	return forwarded && request.Kind == protocol.RequestQuery
}

// IsForwarding reports whether the message forwards a request or a response to one. All other messages
// are about elections, leases and the state of the controllers themselves.
func (m InboundMessage) IsForwarding() bool {
	switch m.Message.(type) {
	case protocol.ForwardedRequest, protocol.ForwardedResponse:
		return true
	default:
		return false
	}
}

// UnavailableResponse returns the response to a forwarded request that can't be processed now: status 503,
// and a retry after a second.
func (m InboundMessage) UnavailableResponse() OutboundMessage {
	request, _ := m.Message.(protocol.ForwardedRequest)
	response := protocol.ForwardedResponse{ID: request.ID, Status: http.StatusServiceUnavailable, RetryAfter: 1}
	return OutboundMessage{To: m.From, Message: response}
}

// Drain tells the node to shut down: the node resigns as leader, starts no more candidacies,
// and sends workers and users to other nodes until its process exits.
type Drain struct{}

// CallResult tells the node the outcome of the ServiceCall with the same ID. Status 0 means that no
// usable response arrived; the request may have been executed, or may still be executed later.
type CallResult struct {
	ID     uint64
	Status int
	Body   []byte
}

// ServerLoad tells the node how many connections of users and workers are open, how many the server
// accepts at most, and how long commands wait for the node.
type ServerLoad struct {
	Open, Limit int
	Queue       QueueLoad
}

// QueueLoad describes the queue of commands for the node since the previous report.
type QueueLoad struct {
	Depth            int           // commands that wait now
	LongestWait      time.Duration // longest time that a command has waited
	HealthCheckDelay time.Duration // longest time that a health check has waited
	DelayedControls  int           // batches with other commands although a control command waited
}

func (r Request) apply(n *Node) { n.onRequest(r) }

func (m InboundMessage) apply(n *Node) { n.onPeerMessage(m) }

func (r CallResult) apply(n *Node) { n.deliverResult(r) }

func (Drain) apply(n *Node) {
	n.draining = true
	n.election.Drain()
}

func (l ServerLoad) apply(n *Node) {
	n.workerRouter.Connections.Update(l.Open, l.Limit)
	n.recordQueueLoad(l.Queue)
}
