package election

import (
	"net/http"

	"hitchdoor/internal/clock"
)

// storeAvailability tracks whether the key-value store answers this node.
type storeAvailability struct {
	lastSuccess         clock.Instant // last response other than an error
	lastFailure         clock.Instant // last 429, 5xx or missing response
	consecutiveFailures int
}

// newStoreAvailability returns the state before the first call.
func newStoreAvailability() storeAvailability {
	return storeAvailability{lastSuccess: clock.Never, lastFailure: clock.Never}
}

// RecordStoreResponse records whether the key-value store answered a call with the status.
func (a *storeAvailability) RecordStoreResponse(now clock.Instant, status int) {
	if status == 0 || status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		a.lastFailure = now
		a.consecutiveFailures++
		return
	}
	a.lastSuccess = now
	a.consecutiveFailures = 0
}

// StoreFailing reports whether the last call to the store failed.
func (a *storeAvailability) StoreFailing() bool { return a.lastFailure > a.lastSuccess }

// StoreReachable reports whether the store has answered at all, and its last response was no error.
func (a *storeAvailability) StoreReachable() bool {
	return a.lastSuccess != clock.Never && !a.StoreFailing()
}

// maxToleratedStoreFailures is how many failed calls in a row, as caused by a lost packet, do not
// yet count as an outage of the store.
const maxToleratedStoreFailures = 1

// StoreUnavailable reports whether the store is considered down, so that requests which need it
// are rejected at once.
func (a *storeAvailability) StoreUnavailable() bool {
	return a.consecutiveFailures > maxToleratedStoreFailures
}
