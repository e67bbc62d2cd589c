package coordination

import (
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// Writes of a leader's records: by one writer, one transaction at a time.

// sendNextTransaction sends the writer's next transaction, unless one is in flight or the write
// budget is exhausted.
func (l *leadership) pump() {
	n := l.n
	if l.probing || l.writer.InFlight() || l.writer.Pending() == 0 {
		return
	}
	n.writeBudget.refill(n.now)
	if t := l.writer.Next(int(n.writeBudget.level)); t != nil {
		l.commit(t)
	}
}

// sendTransaction sends a transaction and handles its outcome. A refusal for a conflict, or as
// invalid, may also mean that an earlier copy with an unclear outcome was executed; then the
// outcome is read first.
func (l *leadership) commit(t *storage.Txn) {
	n := l.n
	n.writeBudget.level -= float64(l.writer.Ops())
	n.stateCall("POST", "/multi", t, func(r Result) {
		if n.lead != l {
			return
		}
		var res storage.TxnResult
		switch {
		case r.Status == 200 && json.Unmarshal(r.Body, &res) == nil:
			l.writer.Applied(res.Revision)
			l.pump()
		case r.Status == 409 && l.writer.WasUnclear():
			l.resolve(func() { n.stepDown("transaction conflict") })
		case r.Status == 400 && l.writer.WasUnclear():
			l.resolve(l.refused)
		case r.Status == 400:
			n.log.Warn("transaction rejected as invalid", "status", r.Status, "body", string(r.Body))
			l.refused()
		case r.Status == 409:
			// Another writer changed a key that only the leader writes: this leader was
			// replaced, or its state is stale. Either way the records must be loaded again.
			n.log.Warn("transaction conflict", "status", r.Status, "body", string(r.Body))
			n.stepDown("transaction conflict")
		default:
			if r.Status == 0 || r.Status == 504 {
				l.writer.Unclear()
			}
			l.again()
		}
	})
}

// retryTransaction sends the current transaction again after a delay, byte for byte the same.
// If an earlier copy was executed, or is executed late, the conditions admit only one of them.
func (l *leadership) again() {
	l.later(func() { l.commit(l.writer.Again()) })
}

// splitRefusedTransaction splits a transaction that the key-value store rejects as invalid into
// smaller ones, as the store's limits may be lower than the settings say. The leader continues.
// A unit of writes that is rejected on its own is dropped.
func (l *leadership) refused() {
	for _, key := range l.writer.Refused() {
		l.n.log.Error("write rejected permanently", "key", key)
	}
}

// resolveTransaction determines whether a transaction with an unclear outcome was executed, by
// reading one of its keys. It calls onNotApplied if the transaction was not executed.
func (l *leadership) resolve(otherwise func()) {
	n := l.n
	l.probing = true
	n.stateCall("GET", "/store/"+l.writer.Probe(), nil, func(r Result) {
		if n.lead != l {
			return
		}
		l.probing = false
		var item storage.Item
		switch {
		case r.Status == 404 && l.writer.Matches(nil):
			l.writer.Applied(0)
		case r.Status == 200 && json.Unmarshal(r.Body, &item) == nil && l.writer.Matches(&item):
			l.writer.Applied(item.Version)
		case r.Status == 200 || r.Status == 404:
			otherwise()
		default:
			l.later(func() { l.resolve(otherwise) })
			l.probing = true
		}
	})
}
