package controller

import (
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/tracing"
)

// Effect is an output of Node.Step, which the caller carries out in order. The effects are
// ServiceCall, Reply, OutboundMessage and TraceStep.
type Effect interface {
	isEffect()
}

// Target is the external service that a ServiceCall addresses.
type Target int

// The external services of a controller.
const (
	TargetStore Target = iota
	TargetCloud
)

// String returns the target's name for log lines.
func (t Target) String() string {
	if t == TargetCloud {
		return "cloud"
	}
	return "key-value store"
}

// ServiceCall is an effect: an HTTP request to an external service.
type ServiceCall struct {
	ID      uint64
	Target  Target
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Reply is an effect: the response to a request received on one of this node's connections.
// RetryAfter is in seconds; 0 omits the header.
type Reply struct {
	RequestID  uint64
	Status     int
	RetryAfter int
	Body       []byte
}

// OutboundMessage is an effect: a message to a peer.
type OutboundMessage struct {
	To      string
	Message protocol.PeerMessage
}

// TraceStep is an effect: a step in the processing of a job by this node, for the trace of the job.
type TraceStep struct{ tracing.Step }

func (ServiceCall) isEffect()     {}
func (Reply) isEffect()           {}
func (OutboundMessage) isEffect() {}
func (TraceStep) isEffect()       {}
