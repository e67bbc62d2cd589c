package controller

import "hitchdoor/internal/clock"

// forwardTable holds the requests that were forwarded to another controller and have no response
// yet. It is generic over the type of the requests, which it only keeps.
type forwardTable[R any] struct {
	lastID  uint64 // of the forward that was added last
	pending map[uint64]pendingForward[R]
}

// pendingForward is a request that was forwarded and has no response yet.
type pendingForward[R any] struct {
	request  R
	deadline clock.Instant // after it the response is not waited for any more
}

// newForwardTable returns an empty table. The IDs of its forwards follow firstID.
func newForwardTable[R any](firstID uint64) *forwardTable[R] {
	return &forwardTable[R]{lastID: firstID, pending: map[uint64]pendingForward[R]{}}
}

// add adds a request and returns the ID of its forward.
func (t *forwardTable[R]) add(request R, deadline clock.Instant) uint64 {
	t.lastID++
	t.pending[t.lastID] = pendingForward[R]{request: request, deadline: deadline}
	return t.lastID
}

// count returns the number of requests without a response.
func (t *forwardTable[R]) count() int { return len(t.pending) }

// take removes a forward and returns it. It returns false for an ID that is unknown or expired.
func (t *forwardTable[R]) take(id uint64) (forward pendingForward[R], found bool) {
	forward, found = t.pending[id]
	delete(t.pending, id)
	return forward, found
}

// expire removes the requests whose response did not arrive in time and passes each to onExpired,
// which may add others.
func (t *forwardTable[R]) expire(now clock.Instant, onExpired func(request R)) {
	for id, forward := range t.pending {
		if now >= forward.deadline {
			delete(t.pending, id)
			onExpired(forward.request)
		}
	}
}
