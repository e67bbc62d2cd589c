package controller

// workerServiceState tracks whether workers receive responses, from this leader and through
// other nodes.
type workerServiceState struct {
	lastWorkerHeartbeat Instant
	// lastServedMajority is when the workers stranded at another node last did not clearly outnumber
	// those served here.
	lastServedMajority    Instant
	lastDelivery          Instant // last response known to have reached its worker
	lastDirectDelivery    Instant // the same, without a relay
	workersElsewhereSince Instant // since when workers connect to other nodes; never: they don't
}

// newWorkerServiceState returns the state at the start of a term. The timestamps of services start at
// now, so that a new leader does not resign before it had time to serve workers.
func newWorkerServiceState(now Instant) workerServiceState {
	return workerServiceState{lastWorkerHeartbeat: now, lastServedMajority: now, lastDelivery: now,
		lastDirectDelivery: now, workersElsewhereSince: never}
}
