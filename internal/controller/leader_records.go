package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/storage"
)

// recordsHost gives the records of a leader what they need from the leader and its node.
type recordsHost struct{ leader *leader }

// newTransactionWriter returns the writer of a leader whose key has the given version.
func newTransactionWriter(l *leader, leaderKeyVersion uint64) *transactionWriter {
	node, host := l.node, recordsHost{l}
	return &transactionWriter{
		Writer: storage.NewWriter(node.cfg.Cluster.Store.MaxTxnOps(), leaderKeyVersion),
		host:   host, clock: host, log: node.log, budget: &node.leaderWriteBudget,
	}
}

// Now returns the time of the current step.
func (h recordsHost) Now() clock.Instant { return h.leader.node.now }

// UnixMilli returns the wall clock time of an instant in Unix milliseconds.
func (h recordsHost) UnixMilli(at clock.Instant) int64 {
	return h.leader.node.startTime.Add(at).UnixMilli()
}

// InstantFromUnixMilli converts a stored wall clock time to an instant.
func (h recordsHost) InstantFromUnixMilli(milliseconds int64) clock.Instant {
	return h.leader.node.instantFromUnixMilli(milliseconds)
}

// WorkerLease returns the duration of the workers' lease.
func (h recordsHost) WorkerLease() time.Duration { return h.leader.node.workerLease() }

// CallStore sends a request to the key-value store and passes its response to onResponse, unless
// the term has ended by then.
func (h recordsHost) CallStore(method, path string, body any, onResponse func(storeResponse)) {
	node := h.leader.node
	node.storeCall(method, path, body, func(result CallResult) {
		if node.leader == h.leader {
			onResponse(storeResponse{Status: result.Status, Body: result.Body})
		}
	})
}

// CallAfter calls a function after a delay, if the term lasts until then.
func (h recordsHost) CallAfter(delay time.Duration, call func()) {
	l := h.leader
	l.delayedCalls = append(l.delayedCalls, delayedCall{l.node.now + delay, call})
}

// StepDown ends the leader's term.
func (h recordsHost) StepDown(reason string) { h.leader.node.stepDown(reason) }
