// Package forwarding keeps the requests that were forwarded to the leader and have no response yet.
package forwarding

import "hitchdoor/internal/clock"

// Table holds the requests that were forwarded to another controller and have no response
// yet. It is generic over the type of the requests, which it only keeps.
type Table[R any] struct {
	LastID  uint64 // of the forward that was added last
	pending map[uint64]Forward[R]
}

// Forward is a request that was forwarded and has no response yet.
type Forward[R any] struct {
	Request  R
	Deadline clock.Instant // after it the response is not waited for any more
}

// NewTable returns an empty table. The IDs of its forwards follow firstID.
func NewTable[R any](firstID uint64) *Table[R] {
	return &Table[R]{LastID: firstID, pending: map[uint64]Forward[R]{}}
}

// Add adds a request and returns the ID of its forward.
func (t *Table[R]) Add(request R, deadline clock.Instant) uint64 {
	t.LastID++
	t.pending[t.LastID] = Forward[R]{Request: request, Deadline: deadline}
	return t.LastID
}

// Count returns the number of requests without a response.
func (t *Table[R]) Count() int { return len(t.pending) }

// Take removes a forward and returns it. It returns false for an ID that is unknown or expired.
func (t *Table[R]) Take(id uint64) (forward Forward[R], found bool) {
	forward, found = t.pending[id]
	delete(t.pending, id)
	return forward, found
}

// Expire removes the requests whose response did not arrive in time and passes each to onExpired,
// which may add others.
func (t *Table[R]) Expire(now clock.Instant, onExpired func(request R)) {
	for id, forward := range t.pending {
		if now >= forward.Deadline {
			delete(t.pending, id)
			onExpired(forward.Request)
		}
	}
}
