package controller

import (
	"math"
	"time"
)

// Instant is a reading of the monotonic clock, counted from the process's start.
type Instant = time.Duration

// never is an instant before all others: the event has not happened.
const never Instant = -1 << 60

// forever is later than any other instant.
const forever Instant = math.MaxInt64

// withClockDrift lengthens a span by the clock drift allowance: twice the bound on how far two
// monotonic clocks drift apart.
func withClockDrift(span time.Duration) time.Duration { return span + span/1000 }

// workerLeaseTimeout returns the silence after which a worker's lease is certain to have expired,
// with clock drift.
func workerLeaseTimeout(lease time.Duration) time.Duration { return withClockDrift(lease) + lease/50 }
