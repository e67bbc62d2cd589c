package cluster

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
)

// workerTiming gives the durations of the worker protocol, as the settings have them.
type workerTiming struct{ settings *config.Cluster }

// workerLease returns the duration of the workers' lease.
func (w workerTiming) workerLease() time.Duration { return config.Seconds(w.settings.Workers.LeaseS) }

// HeartbeatInterval returns the interval of the workers' heartbeats.
func (w workerTiming) HeartbeatInterval() time.Duration {
	return config.Seconds(w.settings.Workers.HeartbeatIntervalS)
}

// WorkerLeaseTimeout returns the silence after which a worker's lease is certain to have expired.
func (w workerTiming) WorkerLeaseTimeout() time.Duration {
	return clock.WorkerLeaseTimeout(w.workerLease())
}
