package controller

import "hitchdoor/internal/clock"

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

// recordStoreResponse records whether the key-value store answered a call with the status.
func (a *storeAvailability) recordStoreResponse(now clock.Instant, status int) {
	if status == 0 || status == 429 || status >= 500 {
		a.lastFailure = now
		a.consecutiveFailures++
		return
	}
	a.lastSuccess = now
	a.consecutiveFailures = 0
}

// storeFailing reports whether the last call to the store failed.
func (a *storeAvailability) storeFailing() bool { return a.lastFailure > a.lastSuccess }

// storeReachable reports whether the store has answered at all, and its last response was no error.
func (a *storeAvailability) storeReachable() bool {
	return a.lastSuccess != clock.Never && !a.storeFailing()
}

// maxToleratedStoreFailures is how many failed calls in a row, as caused by a lost packet, do not
// yet count as an outage of the store.
const maxToleratedStoreFailures = 1

// storeUnavailable reports whether the store is considered down, so that requests which need it
// are rejected at once.
func (a *storeAvailability) storeUnavailable() bool {
	return a.consecutiveFailures > maxToleratedStoreFailures
}
