package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
)

// timing is a controller's clock and the time spans derived from the cluster's configuration.
type timing struct {
	now clock.Instant // time of the current step
	// startTime is the wall clock at instant 0. It is used only in stored records and traces.
	startTime time.Time
	cluster   *config.Cluster
}

// Now returns the time of the current step.
func (t *timing) Now() clock.Instant { return t.now }

// advance moves the clock forward. It ignores an instant before the current one.
func (t *timing) advance(now clock.Instant) { t.now = max(t.now, now) }

// workerLease returns the duration of the workers' lease. Most time spans of a controller are
// defined as fractions of it.
func (t *timing) workerLease() time.Duration { return config.Seconds(t.cluster.Workers.LeaseS) }

// workerLeases converts a number of worker leases to a duration.
func (t *timing) workerLeases(count float64) time.Duration {
	return time.Duration(count * float64(t.workerLease()))
}

// heartbeatInterval returns the interval at which each worker sends heartbeats.
func (t *timing) heartbeatInterval() time.Duration {
	return config.Seconds(t.cluster.Workers.HeartbeatIntervalS)
}

// unixMilli returns the wall clock time of an instant in Unix milliseconds.
func (t *timing) unixMilli(at clock.Instant) int64 { return t.startTime.Add(at).UnixMilli() }

// nowUnixMilli returns the current wall clock in Unix milliseconds.
func (t *timing) nowUnixMilli() int64 { return t.unixMilli(t.now) }

// instantFromUnixMilli converts a stored wall clock time to an instant, limited to the range in which
// time spans can be added to it.
func (t *timing) instantFromUnixMilli(milliseconds int64) clock.Instant {
	return min(max(time.UnixMilli(milliseconds).Sub(t.startTime), clock.Never), config.MaxDuration)
}
