package records

import (
	"log/slog"
	"net/http"

	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/storage"
)

// TransactionWriter writes the queued changes of a leader to the key-value store, within its write
// budget, in one compare-and-swap transaction at a time. It retries a transaction without a usable
// response. If the store rejects a retry after an attempt with an unknown outcome, it reads whether the
// transaction was applied.
type TransactionWriter struct {
	*storage.Writer
	host   TransactionHost
	clock  Clock
	log    *slog.Logger
	budget *ratelimit.TokenBucket // limits the rate of writes; one token per write
}

// TransactionHost is the part of the leader that TransactionWriter calls.
type TransactionHost interface {
	Store
	Delayer
	// StepDown ends the leader's term.
	StepDown(reason string)
}

// NewTransactionWriter returns a writer that sends the changes in queue.
func NewTransactionWriter(queue *storage.Writer, host TransactionHost, clock Clock, log *slog.Logger,
	budget *ratelimit.TokenBucket) *TransactionWriter {
	return &TransactionWriter{Writer: queue, host: host, clock: clock, log: log, budget: budget}
}

// SendNext sends the next transaction, unless one is in flight or the write budget is
// exhausted.
func (w *TransactionWriter) SendNext() {
	if w.InFlight() || w.PendingChanges() == 0 {
		return
	}
	w.budget.Refill(w.clock.Now())
	if transaction := w.NextTxn(int(w.budget.Tokens)); transaction != nil {
		w.send(transaction)
	}
}

// send sends a transaction and handles its response.
func (w *TransactionWriter) send(transaction *storage.Txn) {
	w.budget.Tokens -= float64(w.InFlightWrites())
	w.host.CallStore("POST", "/multi", transaction, w.onResponse)
}

// onResponse handles the response to the transaction in flight. If an earlier attempt had an unknown
// outcome, the store may reject this attempt (as a conflict or as invalid) although the earlier one was
// applied. In this case, one of the written keys is read first.
func (w *TransactionWriter) onResponse(response storage.Response) {
	var result storage.TxnResponse
	switch {
	case response.Decode(&result):
		w.CompleteInFlight(result.Revision)
		w.SendNext()
	case response.Status == http.StatusConflict && w.OutcomeUnknown():
		w.resolveOutcome(w.stepDownOnConflict)
	case response.Status == http.StatusBadRequest && w.OutcomeUnknown():
		w.resolveOutcome(w.splitRejectedTransaction)
	case response.Status == http.StatusBadRequest:
		w.log.Warn("transaction rejected by key-value store as invalid",
			"status", response.Status, "body", string(response.Body))
		w.splitRejectedTransaction()
	case response.Status == http.StatusConflict:
		w.log.Warn("transaction rejected by key-value store because of a conflict",
			"status", response.Status, "body", string(response.Body))
		w.stepDownOnConflict()
	default:
		if response.Status == 0 || response.Status == http.StatusGatewayTimeout {
			w.MarkOutcomeUnknown()
		}
		w.scheduleRetry(w.sendAgain)
	}
}

// stepDownOnConflict ends the term: another writer changed a key that only the leader writes, so
// this leader was replaced, or its state is stale. Either way the records must be loaded again.
func (w *TransactionWriter) stepDownOnConflict() { w.host.StepDown("transaction conflict") }

// sendAgain sends the transaction in flight again, byte for byte the same. Even if an earlier attempt was
// applied or arrives late, the conditions let only one of the attempts succeed.
func (w *TransactionWriter) sendAgain() { w.send(w.RetryTxn()) }

// scheduleRetry calls retry after a short delay.
func (w *TransactionWriter) scheduleRetry(retry func()) {
	w.host.CallAfter(retryDelay(w.clock), retry)
}

// splitRejectedTransaction splits a transaction that the key-value store has rejected as invalid into
// smaller ones, as the store's limits may be lower than the settings say. The leader continues. A
// change that is rejected on its own is abandoned or handled by its OnRejected.
func (w *TransactionWriter) splitRejectedTransaction() {
	for _, key := range w.RejectInFlight() {
		w.log.Error("write rejected permanently by key-value store", "key", key)
	}
}

// resolveOutcome reads one of the written keys to determine whether the transaction in flight, whose
// outcome is unknown, was applied. If it was not, resolveOutcome calls onNotApplied. Until then, the
// transaction stays in flight, so that no other one is sent.
func (w *TransactionWriter) resolveOutcome(onNotApplied func()) {
	w.host.CallStore("GET", "/store/"+w.ProbeKey(), nil, func(response storage.Response) {
		var item storage.Item
		switch {
		case response.Status == http.StatusNotFound && w.MatchesProbe(nil):
			w.CompleteInFlight(0)
		case response.Decode(&item) && w.MatchesProbe(&item):
			w.CompleteInFlight(item.ModRevision)
		case response.Status == http.StatusOK || response.Status == http.StatusNotFound:
			onNotApplied()
		default:
			w.scheduleRetry(func() { w.resolveOutcome(onNotApplied) })
		}
	})
}

// NoteRevisions records the ModRevisions with which records were read, for the conditions of later writes.
func (w *TransactionWriter) NoteRevisions(items []storage.Item) {
	for _, item := range items {
		w.SetModRevision(item.Key, item.ModRevision)
	}
}
