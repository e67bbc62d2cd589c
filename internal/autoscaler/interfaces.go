package autoscaler

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// CloudClient sends requests to the cloud within a rate budget.
type CloudClient interface {
	// TakeRequest reports whether the budget allows a request now. If so, it takes the request from
	// the budget.
	TakeRequest() bool
	// ReturnRequest refunds a request that was taken from the budget but not sent.
	ReturnRequest()
	// Send sends a request, and calls onResponse with the response unless the leader has stepped down
	// by then. The status is 0 if no usable response arrives within the timeout.
	Send(method, path string, body any, timeout time.Duration, onResponse func(protocol.CloudResponse))
}

// RecordWriter writes records to the key-value store in transactions.
type RecordWriter interface {
	// Enqueue queues a change, to be written in a later transaction.
	Enqueue(priority storage.Priority, change storage.Change)
	// SetModRevision records the revision of a key that was read. Writes of the key are conditioned on
	// it.
	SetModRevision(key string, revision uint64)
	// PendingChanges returns the number of changes that are queued or in flight.
	PendingChanges() int
}

// RecoveryLimits are the limits on a leader's operations until its recovery is complete.
type RecoveryLimits interface {
	// Limited reports whether the recovery limits operations at present.
	Limited() bool
	// MayScaleOut reports whether machines may be rented.
	MayScaleOut() bool
	// MayScaleIn reports whether surplus machines may be returned to the cloud.
	MayScaleIn() bool
	// MayReturnUnresponsive reports whether a machine that has sent no heartbeat for the duration of
	// silence may be returned to the cloud.
	MayReturnUnresponsive(machine *cluster.Machine, silence time.Duration) bool
	// AllowedOperations returns how many of count operations the recovery budget allows now, and takes
	// this number from the budget.
	AllowedOperations(operation recovery.Operation, count int) int
	// RefundOperations refunds operations that were taken from the budget but not carried out.
	RefundOperations(operation recovery.Operation, count int)
}

// MachineRegistry adds machines to the cluster state and removes them, along with their records.
type MachineRegistry interface {
	// AddRentedMachine adds a machine that this leader has just rented.
	AddRentedMachine(name string, request *protocol.RentalRequest)
	// AddListedMachine adds a machine that the cloud lists and no record names.
	AddListedMachine(host protocol.Host) *cluster.Machine
	// RemoveMachine removes a machine that is certain to be gone, with all its attempts.
	RemoveMachine(machine *cluster.Machine)
}

// JobQueue provides what the autoscaler needs to know of the jobs beyond the cluster state, and
// releases undelivered attempts.
type JobQueue interface {
	// PendingJobs returns the pending jobs in the order of the last scheduling pass.
	PendingJobs() []*cluster.Job
	// MayRunUnreported reports whether tasks of a job may be running on machines that are not
	// reconciled yet, that is, on which tasks unknown to this leader may run.
	MayRunUnreported(job *cluster.Job, totals *cluster.MachineTotals) bool
	// SoonReleasedDependents returns the jobs whose last pending dependency is the given job, if that
	// job is expected to end within the horizon.
	SoonReleasedDependents(job *cluster.Job, horizon time.Duration) []*cluster.Job
	// ReleaseUndelivered releases the attempts whose start command did not reach their machine in time.
	ReleaseUndelivered()
}

// WallClock converts between instants of the monotonic clock and wall clock times, which are used in
// stored records.
type WallClock interface {
	// NowUnixMilli returns the current wall clock in Unix milliseconds.
	NowUnixMilli() int64
	// InstantFromUnixMilli converts a stored wall clock time to an instant.
	InstantFromUnixMilli(milliseconds int64) clock.Instant
}

// StoreHealth reports whether the key-value store responds. Without the store, no job can be accepted.
type StoreHealth interface {
	// StoreFailing reports whether the last call to the key-value store failed.
	StoreFailing() bool
}
