package storage

import (
	"bytes"
	"slices"

	"hitchdoor/internal/json"
)

// Change is a set of writes that must be applied in one transaction. The Writer calls BuildWrites each
// time the change may join a transaction, so that the writes contain the latest values. BuildWrites
// returns no writes if there is nothing left to do.
type Change struct {
	BuildWrites func() []Write
	OnSent      func() // called once the built writes are in flight: later updates need another Change
	OnApplied   func() // called once the writes are applied, or if there was nothing to write
	// OnRejected is called instead of OnApplied if the key-value store rejects the transaction
	// permanently. alone means that the transaction had no other change, so that only smaller writes
	// can succeed. If OnRejected is nil, the change is queued again or, if it was alone, abandoned.
	OnRejected func(alone bool)
	// OnAbandoned is called after the change was abandoned; nil: nothing more happens to it.
	OnAbandoned func()

	priority Priority
}

// Priority orders the queued changes, as the rate of writes is limited.
type Priority int

// Priorities of changes, from the highest to the lowest.
const (
	PriorityCancellation Priority = iota // terminal records of jobs that users cancel: users wait for the response
	PriorityDependency                   // terminal records of jobs that have dependents, and the admission policy
	PriorityNormal
	PriorityLow
	priorityCount
)

// Writer queues the leader's changes and groups them into transactions, one in flight at a time.
// Every transaction compares the ModRevision of the leader key and of each key that it writes, so
// that a transaction that arrives late, or from a leader that has been replaced, has no effect.
type Writer struct {
	MaxWrites      int    // limit of writes in a transaction; lowered when the store rejects a transaction
	LeaderRevision uint64 // ModRevision that the leader key has while this leader holds it

	modRevisions map[string]uint64 // last known ModRevisions, by key
	lastRevision uint64            // highest known revision of an applied transaction
	queues       [priorityCount][]Change
	maxBytes     int // limit of a transaction's estimated size; lowered when the store rejects a transaction

	inFlight       []Change // nil if no transaction is in flight
	inFlightWrites []Write
	outcomeUnknown bool // an earlier attempt of the transaction in flight may have been applied
}

// maxTxnBytes limits the estimated size of a transaction. The key-value store accepts up to 64 KiB,
// conditions included.
const maxTxnBytes = 40 << 10

// NewWriter returns a Writer for a leader whose key has the given ModRevision.
func NewWriter(maxWrites int, leaderRevision uint64) *Writer {
	return &Writer{MaxWrites: maxWrites, LeaderRevision: leaderRevision,
		modRevisions: map[string]uint64{}, maxBytes: maxTxnBytes}
}

// SetModRevision records the ModRevision with which a key was read.
func (w *Writer) SetModRevision(key string, revision uint64) { w.modRevisions[key] = revision }

// ModRevision returns the last known ModRevision of a key, or 0 if the key is not known to be stored.
func (w *Writer) ModRevision(key string) uint64 { return w.modRevisions[key] }

// LastRevision returns the highest known revision of an applied transaction.
func (w *Writer) LastRevision() uint64 { return w.lastRevision }

// Enqueue adds a change to the queue of its priority.
func (w *Writer) Enqueue(priority Priority, change Change) {
	change.priority = priority
	w.queues[priority] = append(w.queues[priority], change)
}

// PendingChanges returns the number of changes that are queued or in flight.
func (w *Writer) PendingChanges() int {
	count := len(w.inFlight)
	for _, queue := range w.queues {
		count += len(queue)
	}
	return count
}

// InFlight reports whether a transaction is in flight.
func (w *Writer) InFlight() bool { return w.inFlight != nil }

// InFlightWrites returns the number of writes of the transaction in flight.
func (w *Writer) InFlightWrites() int { return len(w.inFlightWrites) }

// NextTxn returns the next transaction, with at most budget writes, which is in flight from then on. It
// returns nil if a transaction is in flight already, if there is nothing to write, or if the first change
// has more writes than the budget allows.
func (w *Writer) NextTxn(budget int) *Txn {
	if w.inFlight != nil {
		return nil
	}
	batch := txnBatch{writer: w, maxWrites: min(budget, w.MaxWrites), keys: map[string]bool{}}
	for priority := range w.queues {
		remaining := batch.takeChanges(w.queues[priority])
		batch.completeEmpty()
		w.queues[priority] = remaining
		if len(remaining) > 0 {
			break
		}
	}
	if len(w.inFlightWrites) == 0 {
		return nil
	}
	return w.buildTxn()
}

// txnBatch collects the changes of a writer's next transaction.
type txnBatch struct {
	writer    *Writer
	maxWrites int
	keys      map[string]bool // keys that the transaction writes
	bytes     int             // estimated size of the transaction
	empty     []Change        // changes of the current queue that have nothing left to write
}

// takeChanges adds changes from the head of a queue while they fit, and returns the remaining queue.
func (b *txnBatch) takeChanges(queue []Change) []Change {
	for len(queue) > 0 {
		writes := queue[0].BuildWrites()
		switch {
		case len(writes) == 0:
			b.empty = append(b.empty, queue[0])
		case b.fits(writes):
			b.add(queue[0], writes)
		default:
			return queue
		}
		queue = queue[1:]
	}
	return queue
}

// completeEmpty completes the changes that have nothing left to write, the last one first.
func (b *txnBatch) completeEmpty() {
	for _, change := range slices.Backward(b.empty) {
		if change.OnApplied != nil {
			change.OnApplied()
		}
	}
	b.empty = nil
}

// fits reports whether the transaction has room for the writes of one more change. A key is written
// only once in a transaction. The size limit does not apply to the first change.
func (b *txnBatch) fits(writes []Write) bool {
	taken := len(b.writer.inFlightWrites)
	if taken+len(writes) > b.maxWrites {
		return false
	}
	for _, write := range writes {
		if b.keys[write.Key()] {
			return false
		}
	}
	return taken == 0 || b.bytes+estimatedBytes(writes) <= b.writer.maxBytes
}

// add adds a change and its writes to the transaction, which puts them in flight.
func (b *txnBatch) add(change Change, writes []Write) {
	for _, write := range writes {
		b.keys[write.Key()] = true
	}
	b.bytes += estimatedBytes(writes)
	b.writer.inFlightWrites = append(b.writer.inFlightWrites, writes...)
	b.writer.inFlight = append(b.writer.inFlight, change)
	if change.OnSent != nil {
		change.OnSent()
	}
}

// RetryTxn returns the unchanged transaction in flight, to be sent again.
func (w *Writer) RetryTxn() *Txn { return w.buildTxn() }

// buildTxn returns a transaction of the writes in flight and their conditions.
func (w *Writer) buildTxn() *Txn {
	txn := &Txn{Conditions: []Condition{{Key: LeaderKey, ModRevision: w.LeaderRevision}}, Writes: w.inFlightWrites}
	for _, write := range w.inFlightWrites {
		txn.Conditions = append(txn.Conditions, Condition{Key: write.Key(), ModRevision: w.modRevisions[write.Key()]})
	}
	return txn
}

// MarkOutcomeUnknown records that the transaction in flight may or may not have been applied.
func (w *Writer) MarkOutcomeUnknown() { w.outcomeUnknown = true }

// OutcomeUnknown reports whether an earlier attempt of the transaction in flight may have been
// applied.
func (w *Writer) OutcomeUnknown() bool { return w.outcomeUnknown }

// probeWrite returns a write whose key shows whether the transaction in flight was applied. One write
// is enough, as transactions are atomic. A put is preferred, as reading its key also returns the
// revision.
func (w *Writer) probeWrite() Write {
	for _, write := range w.inFlightWrites {
		if write.PutKey != "" {
			return write
		}
	}
	return w.inFlightWrites[0]
}

// ProbeKey returns the key to read when the outcome of the transaction in flight is unknown.
func (w *Writer) ProbeKey() string { return w.probeWrite().Key() }

// MatchesProbe reports whether the item that was read for the probe key shows that the transaction in
// flight was applied. The item is nil if the key does not exist.
func (w *Writer) MatchesProbe(item *Item) bool {
	write := w.probeWrite()
	if write.DeleteKey != "" {
		return item == nil
	}
	return item != nil && item.ModRevision > w.modRevisions[write.PutKey] && equalJSON(item.Value, write.Value)
}

// RejectInFlight ends the transaction in flight as permanently rejected by the key-value store, and
// returns the keys of the writes that are abandoned. The caller must know that no earlier attempt was
// applied. The same transaction is never sent again: its changes are built again for smaller transactions.
func (w *Writer) RejectInFlight() []string {
	changes, writes := w.inFlight, w.inFlightWrites
	alone := len(changes) == 1
	w.inFlight, w.inFlightWrites, w.outcomeUnknown = nil, nil, false
	if !alone {
		size := 0
		for _, write := range writes {
			size += len(write.Value)
		}
		w.MaxWrites, w.maxBytes = max(2, len(writes)/2), max(1, min(w.maxBytes, size)/2)
	}
	var abandonedKeys []string
	for i := len(changes) - 1; i >= 0; i-- {
		switch change := changes[i]; {
		case change.OnRejected != nil:
			change.OnRejected(alone)
		case alone:
			for _, write := range writes {
				abandonedKeys = append(abandonedKeys, write.Key())
			}
			if change.OnAbandoned != nil {
				change.OnAbandoned()
			}
		default:
			w.queues[change.priority] = slices.Insert(w.queues[change.priority], 0, change)
		}
	}
	return abandonedKeys
}

// equalJSON reports whether two JSON texts encode the same value. It returns false for invalid JSON.
func equalJSON(a, b []byte) bool {
	var left, right any
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		return false
	}
	return bytes.Equal(Encode(left), Encode(right))
}

// CompleteInFlight ends the transaction in flight as applied at a revision of the key-value store. The
// revision may be 0 (unknown) if the transaction only deleted keys.
func (w *Writer) CompleteInFlight(revision uint64) {
	w.lastRevision = max(w.lastRevision, revision)
	for _, write := range w.inFlightWrites {
		if write.PutKey != "" {
			w.modRevisions[write.PutKey] = revision
		} else {
			delete(w.modRevisions, write.DeleteKey)
		}
	}
	changes := w.inFlight
	w.inFlight, w.inFlightWrites, w.outcomeUnknown = nil, nil, false
	for _, change := range changes {
		if change.OnApplied != nil {
			change.OnApplied()
		}
	}
}
