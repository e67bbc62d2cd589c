package controller

import "hitchdoor/internal/clock"

// workerServiceState tracks whether workers receive responses, from this leader and through
// other nodes.
type workerServiceState struct {
	lastWorkerHeartbeat clock.Instant
	// lastServedMajority is when the workers stranded at another node last did not clearly outnumber
	// those served here.
	lastServedMajority    clock.Instant
	lastDelivery          clock.Instant // last response known to have reached its worker
	lastDirectDelivery    clock.Instant // the same, without a relay
	workersElsewhereSince clock.Instant // since when workers connect to other nodes; never: they don't
}

// newWorkerServiceState returns the state at the start of a term. The timestamps of services start at
// now, so that a new leader does not resign before it had time to serve workers.
func newWorkerServiceState(now clock.Instant) workerServiceState {
	return workerServiceState{lastWorkerHeartbeat: now, lastServedMajority: now, lastDelivery: now,
		lastDirectDelivery: now, workersElsewhereSince: clock.Never}
}
