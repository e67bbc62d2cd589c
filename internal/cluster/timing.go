package cluster

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
)

// workerTiming provides the durations of the worker protocol from the settings.
type workerTiming struct{ settings *config.Cluster }

// workerLease returns how long a worker's lease lasts after its renewal.
func (w workerTiming) workerLease() time.Duration { return config.Seconds(w.settings.Workers.LeaseS) }

// HeartbeatInterval returns the interval at which workers send heartbeats.
func (w workerTiming) HeartbeatInterval() time.Duration {
	return config.Seconds(w.settings.Workers.HeartbeatIntervalS)
}

// WorkerLeaseTimeout returns the time without a response to a worker after which the worker's lease has
// certainly expired, even if the clocks drift.
func (w workerTiming) WorkerLeaseTimeout() time.Duration {
	return clock.WorkerLeaseTimeout(w.workerLease())
}
