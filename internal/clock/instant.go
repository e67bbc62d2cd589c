// Package clock has the instants of the monotonic clock and the margins that allow for clock drift.
// It reads no clock: every instant comes from the caller.
package clock

import (
	"math"
	"time"
)

// Instant is a reading of the monotonic clock, counted from the process's start.
type Instant = time.Duration

// Never is an instant before all others: the event has not happened.
const Never Instant = -1 << 60

// Forever is later than any other instant.
const Forever Instant = math.MaxInt64

// WithDrift lengthens a span by the clock drift allowance: twice the bound on how far two
// monotonic clocks drift apart.
func WithDrift(duration time.Duration) time.Duration { return duration + duration/1000 }

// WorkerLeaseTimeout returns the silence after which a worker's lease is certain to have expired,
// with clock drift.
func WorkerLeaseTimeout(lease time.Duration) time.Duration { return WithDrift(lease) + lease/50 }
