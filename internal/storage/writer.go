package storage

import (
	"bytes"
	"slices"

	"github.com/segmentio/encoding/json"
)

// Change is a set of writes that must be applied in one transaction. BuildWrites is called when the
// change is taken into a transaction, so that it holds the latest values; no writes means that there
// is nothing left to do.
type Unit struct {
	Build func() []Write
	Taken func() // called when the built writes are in flight: later updates need another Change
	Done  func() // called when the writes are applied, or when there was nothing to write
	// OnRejected is called instead of OnApplied if the key-value store rejects the writes
	// permanently. alone means that they were the whole transaction, so that only smaller writes
	// can succeed. Without OnRejected, the change is built again or, if alone, abandoned.
	Refused func(alone bool)

	priority Priority
}

// Priority orders queued changes when the rate of writes is limited.
type Priority int

// Priorities, the highest first.
const (
	Cancels  Priority = iota // cancellations: users wait for the response
	Releases                 // ends of jobs that have dependents
	Soon
	Lazy
	priorities
)

// Writer queues the leader's changes and groups them into transactions, one in flight at a time.
// Every transaction compares the ModRevision of the leader key and of each key that it writes, so
// that a transaction that is applied late, or sent by a leader that has been replaced, has no
// effect.
type Writer struct {
	MaxOps    int
	LeaderVer uint64

	versions map[string]uint64
	last     uint64 // revision of the latest applied transaction
	queues   [priorities][]Unit
	maxBytes int

	flight  []Unit
	writes  []Write
	unclear bool
}

// maxTxnBytes bounds the writes of a transaction, which may have 64 KiB with its conditions.
const maxTxnBytes = 40 << 10

// NewWriter returns a Writer for a leader whose key has the given ModRevision.
func NewWriter(maxOps int, leaderVer uint64) *Writer {
	return &Writer{MaxOps: maxOps, LeaderVer: leaderVer,
		versions: map[string]uint64{}, maxBytes: maxTxnBytes}
}

// SetModRevision records the ModRevision of a key that was read.
func (w *Writer) Know(key string, version uint64) { w.versions[key] = version }

// ModRevision returns the last known ModRevision of a key.
func (w *Writer) Version(key string) uint64 { return w.versions[key] }

// LastRevision returns the highest known revision of an applied transaction.
func (w *Writer) LastRevision() uint64 { return w.last }

// Enqueue queues a change.
func (w *Writer) Add(p Priority, u Unit) {
	u.priority = p
	w.queues[p] = append(w.queues[p], u)
}

// PendingChanges returns the number of changes that are queued or in flight.
func (w *Writer) Pending() int {
	all := len(w.flight)
	for _, q := range w.queues {
		all += len(q)
	}
	return all
}

// InFlight reports whether a transaction is in flight.
func (w *Writer) InFlight() bool { return w.flight != nil }

// InFlightWrites returns the number of writes of the transaction in flight.
func (w *Writer) Ops() int { return len(w.writes) }

// NextTxn returns the next transaction, with at most budget writes, and takes it in flight. It
// returns nil if a transaction is in flight already or there is nothing to write.
func (w *Writer) Next(budget int) *Txn {
	if w.flight != nil {
		return nil
	}
	if budget > w.MaxOps {
		budget = w.MaxOps
	}
	touched := map[string]bool{}
	size := 0
	take := func(queue []Unit) []Unit {
		for len(queue) > 0 {
			writes := queue[0].Build()
			if len(writes) == 0 {
				if queue[0].Done != nil {
					defer queue[0].Done()
				}
				queue = queue[1:]
				continue
			}
			if len(w.writes)+len(writes) > budget {
				break
			}
			fits := true
			grown := size
			for _, wr := range writes {
				fits = fits && !touched[wr.Key()]
				grown += wr.bytes()
			}
			if !fits || (grown > w.maxBytes && len(w.writes) > 0) {
				break
			}
			size = grown
			for _, wr := range writes {
				touched[wr.Key()] = true
			}
			w.writes = append(w.writes, writes...)
			w.flight = append(w.flight, queue[0])
			if queue[0].Taken != nil {
				queue[0].Taken()
			}
			queue = queue[1:]
		}
		return queue
	}
	for p := range w.queues {
		if w.queues[p] = take(w.queues[p]); len(w.queues[p]) > 0 {
			break
		}
	}
	if len(w.writes) == 0 {
		return nil
	}
	return w.txn()
}

// RetryTxn returns the transaction in flight again, unchanged.
func (w *Writer) Again() *Txn { return w.txn() }

// buildTxn returns the writes in flight with their conditions.
func (w *Writer) txn() *Txn {
	t := &Txn{If: []Cond{{Key: LeaderKey, Version: w.LeaderVer}}, Writes: w.writes}
	for _, wr := range w.writes {
		t.If = append(t.If, Cond{Key: wr.Key(), Version: w.versions[wr.Key()]})
	}
	return t
}

// MarkOutcomeUnknown records that the transaction in flight may or may not have been applied.
func (w *Writer) Unclear() { w.unclear = true }

// OutcomeUnknown reports whether an earlier attempt of the transaction in flight may have been
// applied.
func (w *Writer) WasUnclear() bool { return w.unclear }

// probeWrite returns the write whose key shows whether the transaction in flight was applied. One
// write is enough, as transactions are atomic. A put is preferred, as reading its key also returns
// the revision.
func (w *Writer) probe() Write {
	for _, wr := range w.writes {
		if wr.Set != "" {
			return wr
		}
	}
	return w.writes[0]
}

// ProbeKey returns the key to read when the outcome is unknown.
func (w *Writer) Probe() string { return w.probe().Key() }

// MatchesProbe reports whether the item of the probe key (nil: absent) is as the transaction in
// flight would have left it.
func (w *Writer) Matches(item *Item) bool {
	wr := w.probe()
	if wr.Drop != "" {
		return item == nil
	}
	return item != nil && item.Version > w.versions[wr.Set] && equalJSON(item.Value, wr.Value)
}

// RejectInFlight ends the transaction in flight as permanently rejected by the key-value store; no
// earlier attempt may have been applied. The same transaction is never sent again: its changes are
// built anew for smaller transactions. It returns the keys of abandoned writes.
func (w *Writer) Refused() []string {
	flight, writes := w.flight, w.writes
	alone := len(flight) == 1
	w.flight, w.writes, w.unclear = nil, nil, false
	if !alone {
		size := 0
		for _, wr := range writes {
			size += len(wr.Value)
		}
		w.MaxOps, w.maxBytes = max(2, len(writes)/2), max(1, min(w.maxBytes, size)/2)
	}
	var lost []string
	for i := len(flight) - 1; i >= 0; i-- {
		switch u := flight[i]; {
		case u.Refused != nil:
			u.Refused(alone)
		case alone:
			for _, wr := range writes {
				lost = append(lost, wr.Key())
			}
		default:
			w.queues[u.priority] = slices.Insert(w.queues[u.priority], 0, u)
		}
	}
	return lost
}

// equalJSON reports whether two JSON texts have the same value.
func equalJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return bytes.Equal(Encode(x), Encode(y))
}

// CompleteInFlight ends the transaction in flight as applied at a revision. The revision is
// irrelevant if the transaction only deleted keys.
func (w *Writer) Applied(revision uint64) {
	w.last = max(w.last, revision)
	for _, wr := range w.writes {
		if wr.Set != "" {
			w.versions[wr.Set] = revision
		} else {
			delete(w.versions, wr.Drop)
		}
	}
	flight := w.flight
	w.flight, w.writes, w.unclear = nil, nil, false
	for _, u := range flight {
		if u.Done != nil {
			u.Done()
		}
	}
}
