// Package clock defines instants of the monotonic clock and the margins that allow for clock drift.
// It does not read a clock: callers supply every instant.
package clock

import (
	"math"
	"time"
)

// Instant is a reading of the monotonic clock: the time since the process started.
type Instant = time.Duration

// Never marks an event that has not happened. It is earlier than every clock reading, and
// subtracting it from a reading does not overflow.
const Never Instant = -1 << 60

// Forever is later than any other instant and means that there is no time limit.
const Forever Instant = math.MaxInt64

// WithDrift adds the allowance for clock drift to a duration. The allowance is twice the maximum
// relative drift between two monotonic clocks.
func WithDrift(duration time.Duration) time.Duration { return duration + duration/1000 }

// WorkerLeaseTimeout returns the time without a heartbeat after which a worker's lease has certainly
// expired, even with clock drift.
func WorkerLeaseTimeout(lease time.Duration) time.Duration { return WithDrift(lease) + lease/50 }
