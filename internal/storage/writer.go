package storage

import (
	"bytes"
	"slices"

	"github.com/segmentio/encoding/json"
)

// Change is a set of writes that must be applied in one transaction. BuildWrites is called when the
// change is taken into a transaction, so that it holds the latest values; no writes means that there
// is nothing left to do.
type Change struct {
	BuildWrites func() []Write
	OnSent      func() // called when the built writes are in flight: later updates need another Change
	OnApplied   func() // called when the writes are applied, or when there was nothing to write
	// OnRejected is called instead of OnApplied if the key-value store rejects the writes
	// permanently. alone means that they were the whole transaction, so that only smaller writes
	// can succeed. Without OnRejected, the change is built again or, if alone, abandoned.
	OnRejected func(alone bool)

	priority Priority
}

// Priority orders queued changes when the rate of writes is limited.
type Priority int

// Priorities, the highest first.
const (
	PriorityCancellation Priority = iota // cancellations: users wait for the response
	PriorityDependency                   // ends of jobs that have dependents
	PriorityNormal
	PriorityLow
	priorityCount
)

// Writer queues the leader's changes and groups them into transactions, one in flight at a time.
// Every transaction compares the ModRevision of the leader key and of each key that it writes, so
// that a transaction that is applied late, or sent by a leader that has been replaced, has no
// effect.
type Writer struct {
	MaxWrites      int
	LeaderRevision uint64

	modRevisions map[string]uint64
	lastRevision uint64 // revision of the latest applied transaction
	queues       [priorityCount][]Change
	maxBytes     int

	inFlight       []Change
	inFlightWrites []Write
	outcomeUnknown bool
}

// maxTxnBytes bounds the writes of a transaction, which may have 64 KiB with its conditions.
const maxTxnBytes = 40 << 10

// NewWriter returns a Writer for a leader whose key has the given ModRevision.
func NewWriter(maxWrites int, leaderRevision uint64) *Writer {
	return &Writer{MaxWrites: maxWrites, LeaderRevision: leaderRevision,
		modRevisions: map[string]uint64{}, maxBytes: maxTxnBytes}
}

// SetModRevision records the ModRevision of a key that was read.
func (w *Writer) SetModRevision(key string, revision uint64) { w.modRevisions[key] = revision }

// ModRevision returns the last known ModRevision of a key.
func (w *Writer) ModRevision(key string) uint64 { return w.modRevisions[key] }

// LastRevision returns the highest known revision of an applied transaction.
func (w *Writer) LastRevision() uint64 { return w.lastRevision }

// Enqueue queues a change.
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

// NextTxn returns the next transaction, with at most budget writes, and takes it in flight. It
// returns nil if a transaction is in flight already or there is nothing to write.
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

// txnBatch fills the next transaction of a writer.
type txnBatch struct {
	writer    *Writer
	maxWrites int
	keys      map[string]bool // written by the transaction
	bytes     int             // estimated size of the transaction
	empty     []Change        // changes of the current queue that have nothing left to write
}

// takeChanges takes changes from the head of a queue while they fit, and returns the others.
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

// fits reports whether the transaction can take the writes of one more change.
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

// add takes a change in flight.
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

// RetryTxn returns the transaction in flight again, unchanged.
func (w *Writer) RetryTxn() *Txn { return w.buildTxn() }

// buildTxn returns the writes in flight with their conditions.
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

// probeWrite returns the write whose key shows whether the transaction in flight was applied. One
// write is enough, as transactions are atomic. A put is preferred, as reading its key also returns
// the revision.
func (w *Writer) probeWrite() Write {
	for _, write := range w.inFlightWrites {
		if write.PutKey != "" {
			return write
		}
	}
	return w.inFlightWrites[0]
}

// ProbeKey returns the key to read when the outcome is unknown.
func (w *Writer) ProbeKey() string { return w.probeWrite().Key() }

// MatchesProbe reports whether the item of the probe key (nil: absent) is as the transaction in
// flight would have left it.
func (w *Writer) MatchesProbe(item *Item) bool {
	write := w.probeWrite()
	if write.DeleteKey != "" {
		return item == nil
	}
	return item != nil && item.ModRevision > w.modRevisions[write.PutKey] && equalJSON(item.Value, write.Value)
}

// RejectInFlight ends the transaction in flight as permanently rejected by the key-value store; no
// earlier attempt may have been applied. The same transaction is never sent again: its changes are
// built anew for smaller transactions. It returns the keys of abandoned writes.
func (w *Writer) RejectInFlight() []string {
	changes, writes := w.inFlight, w.inFlightWrites
	single := len(changes) == 1
	w.inFlight, w.inFlightWrites, w.outcomeUnknown = nil, nil, false
	if !single {
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
			change.OnRejected(single)
		case single:
			for _, write := range writes {
				abandonedKeys = append(abandonedKeys, write.Key())
			}
		default:
			w.queues[change.priority] = slices.Insert(w.queues[change.priority], 0, change)
		}
	}
	return abandonedKeys
}

// equalJSON reports whether two JSON texts have the same value.
func equalJSON(a, b []byte) bool {
	var left, right any
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		return false
	}
	return bytes.Equal(Encode(left), Encode(right))
}

// CompleteInFlight ends the transaction in flight as applied at a revision. The revision is
// irrelevant if the transaction only deleted keys.
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
