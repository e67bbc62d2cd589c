package election

import (
	"net/http"
	"time"

	"hitchdoor/internal/clock"
)

// storeAvailability tracks whether the key-value store responds to this node.
type storeAvailability struct {
	lastSuccess         clock.Instant // when the last response other than a failure arrived
	lastFailure         clock.Instant // when a request last failed: status 429, 5xx or 0
	consecutiveFailures int
}

// newStoreAvailability returns the state before the first response.
func newStoreAvailability() storeAvailability {
	return storeAvailability{lastSuccess: clock.Never, lastFailure: clock.Never}
}

// RecordStoreResponse records the status of a response of the key-value store. Status 0 means that no
// usable response arrived.
func (a *storeAvailability) RecordStoreResponse(now clock.Instant, status int) {
	if status == 0 || status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		a.lastFailure = now
		a.consecutiveFailures++
		return
	}
	a.lastSuccess = now
	a.consecutiveFailures = 0
}

// StoreFailing reports whether the last request to the store failed.
func (a *storeAvailability) StoreFailing() bool { return a.lastFailure > a.lastSuccess }

// StoreReachable reports whether the last request to the store succeeded. It is false before the first
// response.
func (a *storeAvailability) StoreReachable() bool {
	return a.lastSuccess != clock.Never && !a.StoreFailing()
}

// TimeSinceStoreSuccess returns the time since the last successful response of the store, or since the
// process started if there was none.
func (a *storeAvailability) TimeSinceStoreSuccess(now clock.Instant) time.Duration {
	return now - max(a.lastSuccess, 0)
}

// maxToleratedStoreFailures is the number of consecutive failed requests that do not yet count as an
// outage of the store. A single lost packet makes one request fail.
const maxToleratedStoreFailures = 1

// StoreUnavailable reports whether the store is considered down, so that requests which need it
// are rejected at once.
func (a *storeAvailability) StoreUnavailable() bool {
	return a.consecutiveFailures > maxToleratedStoreFailures
}
