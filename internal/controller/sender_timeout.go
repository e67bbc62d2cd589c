package controller

import (
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/workerrouting"
)

// forwardsPerWorkerLease is the number of user requests that could be forwarded one after the other within
// a worker lease, each with the longest wait for the response.
const forwardsPerWorkerLease = 30

// forwardTimeout returns how long a controller waits for the response to a forwarded request.
func forwardTimeout(kind protocol.RequestKind, workerLease time.Duration) time.Duration {
	if kind == protocol.RequestHeartbeat {
		return workerrouting.RelayTimeout(workerLease)
	}
	return workerLease / forwardsPerWorkerLease
}

// SenderTimeout returns how long the sender of a command waits for the reply, or 0 if it waits as long as it
// takes or expects none.
func SenderTimeout(command Command, cluster *config.Cluster) time.Duration {
	switch command := command.(type) {
	case Request:
		return requestTimeouts[command.Kind]
	case InboundMessage:
		if request, ok := command.Message.(protocol.ForwardedRequest); ok {
			return forwardTimeout(request.Kind, cluster.WorkerLease())
		}
	}
	return 0
}

// requestTimeouts are the times that users and workers wait for responses. Operators' tools are not listed.
var requestTimeouts = map[protocol.RequestKind]time.Duration{
	protocol.RequestHeartbeat: protocol.HeartbeatTimeout,
	protocol.RequestQuery:     protocol.QueryTimeout,
	protocol.RequestSubmit:    protocol.SubmissionTimeout,
	protocol.RequestCancel:    protocol.SubmissionTimeout,
	protocol.RequestHealth:    protocol.HealthCheckTimeout,
}
