// Package forwarding stores the requests that were forwarded to the leader and have no response yet.
package forwarding

import "hitchdoor/internal/clock"

// Table stores the requests that were forwarded to another controller and have no response yet. Its
// requests may be of any type R, because it does not look into them.
type Table[R any] struct {
	LastID  uint64                // ID of the forward that was added last
	pending map[uint64]Forward[R] // by ID
}

// Forward is a request that was forwarded and has no response yet.
type Forward[R any] struct {
	Request  R
	Deadline clock.Instant // when the wait for the response ends
}

// NewTable returns an empty table. Its forwards get the IDs lastID+1, lastID+2 and so on.
func NewTable[R any](lastID uint64) *Table[R] {
	return &Table[R]{LastID: lastID, pending: map[uint64]Forward[R]{}}
}

// Add adds a forward of the request with the given deadline and returns its ID.
func (t *Table[R]) Add(request R, deadline clock.Instant) uint64 {
	t.LastID++
	t.pending[t.LastID] = Forward[R]{Request: request, Deadline: deadline}
	return t.LastID
}

// Count returns the number of forwards that were neither taken nor expired.
func (t *Table[R]) Count() int { return len(t.pending) }

// Take removes a forward and returns it. It returns false if the ID is unknown or the forward was taken
// or expired before.
func (t *Table[R]) Take(id uint64) (forward Forward[R], found bool) {
	forward, found = t.pending[id]
	delete(t.pending, id)
	return forward, found
}

// Expire removes the forwards whose deadline has passed and calls onExpired with the request of each.
// onExpired may add new forwards.
func (t *Table[R]) Expire(now clock.Instant, onExpired func(request R)) {
	for id, forward := range t.pending {
		if now >= forward.Deadline {
			delete(t.pending, id)
			onExpired(forward.Request)
		}
	}
}
