// Package records stores what a leader knows: it loads the records of earlier leaders, watches for
// jobs that other controllers accept, queues the changes of machines and jobs, and writes them in one
// compare-and-swap transaction at a time. Records that can't be read are quarantined. It does no I/O:
// requests go out through Store.
package records

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/storage"
)

// Store is the key-value store as the records of one term use it.
type Store interface {
	// CallStore sends a request. It passes the response to onResponse, unless the term has ended by
	// then.
	CallStore(method, path string, body any, onResponse func(storage.Response))
}

// Clock tells the time, and converts it to the wall clock time of stored records.
type Clock interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// UnixMilli returns the wall clock time of an instant in Unix milliseconds.
	UnixMilli(at clock.Instant) int64
	// InstantFromUnixMilli converts a stored wall clock time to an instant.
	InstantFromUnixMilli(milliseconds int64) clock.Instant
	// WorkerLease returns the duration of the workers' lease, of which other time spans are
	// fractions.
	WorkerLease() time.Duration
}

// Delayer calls functions later, while the term lasts.
type Delayer interface {
	// CallAfter calls a function after a delay, if the term lasts until then.
	CallAfter(delay time.Duration, call func())
}

// retryDelay returns the pause before a failed request is sent again.
func retryDelay(clock Clock) time.Duration { return clock.WorkerLease() / 50 }
