package controller

import (
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// Writes of a leader's records: by one writer, one transaction at a time.

// sendNextTransaction sends the writer's next transaction, unless one is in flight or the write
// budget is exhausted.
func (l *leader) sendNextTransaction() {
	node := l.node
	if l.resolvingTransaction || l.writer.InFlight() || l.writer.PendingChanges() == 0 {
		return
	}
	node.leaderWriteBudget.Refill(node.now)
	if txn := l.writer.NextTxn(int(node.leaderWriteBudget.Tokens)); txn != nil {
		l.sendTransaction(txn)
	}
}

// sendTransaction sends a transaction and handles its outcome. A refusal for a conflict, or as
// invalid, may also mean that an earlier copy with an unclear outcome was executed; then the
// outcome is read first.
func (l *leader) sendTransaction(txn *storage.Txn) {
	node := l.node
	node.leaderWriteBudget.Tokens -= float64(l.writer.InFlightWrites())
	node.storeCall("POST", "/multi", txn, func(result CallResult) {
		if node.leader != l {
			return
		}
		var txnResult storage.TxnResponse
		switch {
		case result.Status == 200 && json.Unmarshal(result.Body, &txnResult) == nil:
			l.writer.CompleteInFlight(txnResult.Revision)
			l.sendNextTransaction()
		case result.Status == 409 && l.writer.OutcomeUnknown():
			l.resolveTransaction(func() { node.stepDown("transaction conflict") })
		case result.Status == 400 && l.writer.OutcomeUnknown():
			l.resolveTransaction(l.splitRefusedTransaction)
		case result.Status == 400:
			node.log.Warn("transaction rejected as invalid", "status", result.Status, "body", string(result.Body))
			l.splitRefusedTransaction()
		case result.Status == 409:
			// Another writer changed a key that only the leader writes: this leader was
			// replaced, or its state is stale. Either way the records must be loaded again.
			node.log.Warn("transaction conflict", "status", result.Status, "body", string(result.Body))
			node.stepDown("transaction conflict")
		default:
			if result.Status == 0 || result.Status == 504 {
				l.writer.MarkOutcomeUnknown()
			}
			l.retryTransaction()
		}
	})
}

// retryTransaction sends the current transaction again after a delay, byte for byte the same.
// If an earlier copy was executed, or is executed late, the conditions admit only one of them.
func (l *leader) retryTransaction() {
	l.scheduleRetry(func() { l.sendTransaction(l.writer.RetryTxn()) })
}

// splitRefusedTransaction splits a transaction that the key-value store rejects as invalid into
// smaller ones, as the store's limits may be lower than the settings say. The leader continues.
// A unit of writes that is rejected on its own is dropped.
func (l *leader) splitRefusedTransaction() {
	for _, key := range l.writer.RejectInFlight() {
		l.node.log.Error("write rejected permanently", "key", key)
	}
}

// resolveTransaction determines whether a transaction with an unclear outcome was executed, by
// reading one of its keys. It calls onNotApplied if the transaction was not executed.
func (l *leader) resolveTransaction(onNotApplied func()) {
	node := l.node
	l.resolvingTransaction = true
	node.storeCall("GET", "/store/"+l.writer.ProbeKey(), nil, func(result CallResult) {
		if node.leader != l {
			return
		}
		l.resolvingTransaction = false
		var item storage.Item
		switch {
		case result.Status == 404 && l.writer.MatchesProbe(nil):
			l.writer.CompleteInFlight(0)
		case result.Status == 200 && json.Unmarshal(result.Body, &item) == nil && l.writer.MatchesProbe(&item):
			l.writer.CompleteInFlight(item.ModRevision)
		case result.Status == 200 || result.Status == 404:
			onNotApplied()
		default:
			l.scheduleRetry(func() { l.resolveTransaction(onNotApplied) })
			l.resolvingTransaction = true
		}
	})
}
