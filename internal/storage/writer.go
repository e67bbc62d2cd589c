package storage

import (
	"bytes"
	"slices"

	"github.com/segmentio/encoding/json"
)

// Unit is a change that is written as a whole, in one transaction. Build is
// called when its turn comes, so that it holds the newest values; no writes
// means that there is nothing left to do.
type Unit struct {
	Build func() []Write
	Taken func() // the last built writes are under way: later changes need another unit
	Done  func()
	// Refused is called instead of Done where the state service refused the built
	// writes for good: alone tells that they were refused by themselves, so that only
	// smaller ones have a chance. Without it, the unit is built again, or given up.
	Refused func(alone bool)

	priority Priority
}

// Priority orders what waits to be written, where there is more than may be written.
type Priority int

// Priorities, the most important first.
const (
	Cancels  Priority = iota // users wait for their answers
	Releases                 // ends for which other jobs wait
	Soon
	Lazy
	priorities
)

// Writer queues the leader's changes and forms transactions of them, one in
// flight at a time. Every transaction is conditioned on the leader key's
// version and on the version of each key that it touches, so that one that is
// applied late, or by a leader that has been replaced, changes nothing.
type Writer struct {
	MaxOps    int
	LeaderVer uint64

	versions map[string]uint64
	last     uint64 // revision of the last transaction
	queues   [priorities][]Unit
	maxBytes int

	flight  []Unit
	writes  []Write
	unclear bool
}

// maxTxnBytes leaves room for conditions inside the 64 KiB of a transaction.
const maxTxnBytes = 40 << 10

// NewWriter makes a writer of a leader whose key has the given version.
func NewWriter(maxOps int, leaderVer uint64) *Writer {
	return &Writer{MaxOps: maxOps, LeaderVer: leaderVer, versions: map[string]uint64{}, maxBytes: maxTxnBytes}
}

// Know records the version of a key that was read.
func (w *Writer) Know(key string, version uint64) { w.versions[key] = version }

// Version tells the last known version of a key.
func (w *Writer) Version(key string) uint64 { return w.versions[key] }

// LastRevision is that of the last transaction that was written, as far as it is known.
func (w *Writer) LastRevision() uint64 { return w.last }

// Add queues a change.
func (w *Writer) Add(p Priority, u Unit) {
	u.priority = p
	w.queues[p] = append(w.queues[p], u)
}

// Pending counts the changes that are not yet written.
func (w *Writer) Pending() int {
	all := len(w.flight)
	for _, q := range w.queues {
		all += len(q)
	}
	return all
}

// InFlight tells whether a transaction is under way.
func (w *Writer) InFlight() bool { return w.flight != nil }

// Ops is the number of changes of the transaction under way.
func (w *Writer) Ops() int { return len(w.writes) }

// Next forms the next transaction of at most budget changes, or returns nil.
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

// Again forms the transaction under way once more, unchanged.
func (w *Writer) Again() *Txn { return w.txn() }

func (w *Writer) txn() *Txn {
	t := &Txn{If: []Cond{{Key: LeaderKey, Version: w.LeaderVer}}, Writes: w.writes}
	for _, wr := range w.writes {
		t.If = append(t.If, Cond{Key: wr.Key(), Version: w.versions[wr.Key()]})
	}
	return t
}

// Unclear notes that nobody knows whether the transaction was executed.
func (w *Writer) Unclear() { w.unclear = true }

// WasUnclear tells whether an earlier try may have been executed.
func (w *Writer) WasUnclear() bool { return w.unclear }

// probe is the write by which to tell whether an unclear transaction was
// executed: as it is atomic, one speaks for all. A set is better than a drop,
// because reading it gives the revision too.
func (w *Writer) probe() Write {
	for _, wr := range w.writes {
		if wr.Set != "" {
			return wr
		}
	}
	return w.writes[0]
}

// Probe names the key to read after an unclear outcome.
func (w *Writer) Probe() string { return w.probe().Key() }

// Matches tells whether the probed key (nil: absent) is as the transaction
// under way would have left it.
func (w *Writer) Matches(item *Item) bool {
	wr := w.probe()
	if wr.Drop != "" {
		return item == nil
	}
	return item != nil && item.Version > w.versions[wr.Set] && equalJSON(item.Value, wr.Value)
}

// Refused ends the transaction under way as one that the state service refuses for
// good, and that no earlier copy has carried out. It is never sent again as it was:
// what shared it is built anew for smaller transactions. It returns the keys of what
// was given up.
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

func equalJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return bytes.Equal(Encode(x), Encode(y))
}

// Applied ends the transaction under way as written at a revision, which does
// not matter when it held drops alone.
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
