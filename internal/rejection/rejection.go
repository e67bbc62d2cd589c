// Package rejection counts the requests that a controller does not serve, by the kind of request and by
// the reason.
package rejection

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"hitchdoor/internal/protocol"
)

// Reason states on which path and why a request was not served. Its values appear in logs and metrics.
type Reason string

// The reasons for not serving a request. Those of a forwarded request are not final: the controller then
// serves a submission or a query from the key-value store.
const (
	// ConnectionLimit means that only the connections reserved for health checks were left.
	ConnectionLimit Reason = "connections"
	// QueueFull means that the queue of the controller's owner goroutine was full.
	QueueFull Reason = "queue"
	// ReplyTimeout means that the request was queued, but no reply came in time.
	ReplyTimeout Reason = "timeout"
	// Expired means that the request waited in the queue until its sender had, or almost had, given up.
	Expired Reason = "expired"
	// NoLeader means that this controller neither leads nor knows a leader.
	NoLeader Reason = "no_leader"
	// NotLeader means that a peer forwarded the request to this controller, which does not lead.
	NotLeader Reason = "not_leader"
	// ForwardLimit means that too many forwarded requests were waiting for a response.
	ForwardLimit Reason = "forward_limit"
	// ForwardTimeout means that the leader did not respond to a forwarded request in time.
	ForwardTimeout Reason = "forward_timeout"
	// ForwardRejected means that the leader responded to a forwarded request that it can't serve it.
	ForwardRejected Reason = "forward_rejected"
	// LeaderLoading means that the leader has not loaded the stored records yet.
	LeaderLoading Reason = "loading"
	// TermEnded means that the leader's term ended before the request was served.
	TermEnded Reason = "term_ended"
	// WaitersLimit means that too many requests were waiting for the same cancellation.
	WaitersLimit Reason = "waiters"
	// HeartbeatRefused means that the heartbeat could not be reconciled, for example a late copy.
	HeartbeatRefused Reason = "heartbeat"
	// Malformed means that a forwarded request could not be decoded.
	Malformed Reason = "malformed"
	// ReadBudget means that the budget for reads on behalf of users was used up.
	ReadBudget Reason = "budget"
	// StoreUnavailable means that the key-value store is considered down.
	StoreUnavailable Reason = "store_unavailable"
	// StoreFailed means that a request to the key-value store failed.
	StoreFailed Reason = "store_failed"
	// UnreadableRecord means that a stored record on which the answer depends can't be decoded.
	UnreadableRecord Reason = "quarantine"
	// CatalogUnknown means that the machine types are not known yet.
	CatalogUnknown Reason = "catalog"
	// OverCapacity means that a submission could not be written in time.
	OverCapacity Reason = "capacity"
	// Deferred means that a submission can't be decided or admitted yet.
	Deferred Reason = "deferred"
)

// Key identifies a counter.
type Key struct {
	Kind   protocol.RequestKind
	Reason Reason
}

// Count is the value of a counter.
type Count struct {
	Key
	Value uint64
}

// Counters counts rejections. It is safe for concurrent use, because the transport, the daemon and the
// owner goroutine all reject requests.
type Counters struct {
	mu     sync.Mutex
	totals map[Key]uint64
	taken  map[Key]uint64 // the totals at the last call of TakeNew
}

// NewCounters returns counters that are all zero.
func NewCounters() *Counters {
	return &Counters{totals: map[Key]uint64{}, taken: map[Key]uint64{}}
}

// Add counts one rejection.
func (c *Counters) Add(kind protocol.RequestKind, reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals[Key{kind, reason}]++
}

// Totals returns all counters that are not zero, sorted by kind and reason.
func (c *Counters) Totals() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedCounts(c.totals)
}

// TakeNew returns what was counted since the last call, sorted by kind and reason.
func (c *Counters) TakeNew() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := map[Key]uint64{}
	for key, total := range c.totals {
		if total > c.taken[key] {
			added[key] = total - c.taken[key]
		}
	}
	maps.Copy(c.taken, c.totals)
	return sortedCounts(added)
}

// sortedCounts returns the entries of a map sorted by kind and reason.
func sortedCounts(values map[Key]uint64) []Count {
	counts := make([]Count, 0, len(values))
	for key, value := range values {
		counts = append(counts, Count{key, value})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	return counts
}
