package coordination

// workerServiceState tracks whether workers receive responses, from this leader and through
// other nodes.
type serviceState struct {
	heardWorker Instant
	// lastServedMajority is when the workers stranded at another node last did not clearly outnumber
	// those served here.
	servesMostAt   Instant
	servedAt       Instant // last response known to have reached its worker
	servedDirectAt Instant // the same, without a relay
	elsewhereSince Instant // since when workers connect to other nodes; never: they don't
}

// newWorkerServiceState returns the state at the start of a term. The timestamps of services start at
// now, so that a new leader does not resign before it had time to serve workers.
func newServiceState(now Instant) serviceState {
	return serviceState{heardWorker: now, servesMostAt: now, servedAt: now,
		servedDirectAt: now, elsewhereSince: never}
}
