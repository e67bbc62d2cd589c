// Package records keeps a leader's state in the key-value store. It loads the records of earlier
// leaders, watches for jobs that other controllers accept, queues the changes of machines and jobs, and
// writes them in one compare-and-swap transaction at a time. Records that can't be used are
// quarantined. The package does no I/O: it sends requests through Store.
package records

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/storage"
)

// Store sends requests to the key-value store during one term of a leader.
type Store interface {
	// CallStore sends a request and passes the response to onResponse, unless the term has ended by
	// then.
	CallStore(method, path string, body any, onResponse func(storage.Response))
}

// Clock returns the time, and converts it to the wall-clock time of stored records.
type Clock interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// UnixMilli returns the wall-clock time of an instant in Unix milliseconds.
	UnixMilli(at clock.Instant) int64
	// InstantFromUnixMilli converts a stored wall-clock time to an instant.
	InstantFromUnixMilli(milliseconds int64) clock.Instant
	// WorkerLease returns the duration of a worker lease: a worker that gets no response for this long
	// kills its tasks. Other time spans are fractions of it.
	WorkerLease() time.Duration
}

// Delayer schedules calls within one term of a leader.
type Delayer interface {
	// CallAfter calls a function after a delay, unless the term has ended by then.
	CallAfter(delay time.Duration, call func())
}

// retryDelay returns the pause before a failed request is sent again.
func retryDelay(clock Clock) time.Duration { return clock.WorkerLease() / 50 }
