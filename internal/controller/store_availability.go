package controller

import "hitchdoor/internal/clock"

// recordStoreResponse records whether the key-value store answered a call with the status.
func (e *election) recordStoreResponse(now clock.Instant, status int) {
	if status == 0 || status == 429 || status >= 500 {
		e.storeFailed = now
		e.consecutiveStoreFailures++
	} else {
		e.storeOK = now
		e.consecutiveStoreFailures = 0
	}
}

// storeFailing reports whether the last call to the store failed.
func (e *election) storeFailing() bool { return e.storeFailed > e.storeOK }

// storeUnavailable reports whether the store is considered down, so that requests which need it
// are rejected at once. A single failed call, as caused by a lost packet, does not count.
func (e *election) storeUnavailable() bool { return e.consecutiveStoreFailures >= 2 }
