package autoscaler

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// CloudClient sends requests to the cloud within a budget.
type CloudClient interface {
	// TakeRequest reports whether the budget allows a request now, and takes it from the budget.
	TakeRequest() bool
	// ReturnRequest gives a taken request back to the budget, if it was not sent after all.
	ReturnRequest()
	// Send sends a request. onResponse is called unless the leader has stepped down by then.
	Send(method, path string, body any, timeout time.Duration, onResponse func(protocol.CloudResponse))
}

// RecordWriter writes records to the key-value store in transactions.
type RecordWriter interface {
	// Enqueue adds a change to those that wait to be written.
	Enqueue(priority storage.Priority, change storage.Change)
	// SetModRevision records the revision of a key that was read.
	SetModRevision(key string, revision uint64)
	// PendingChanges returns the number of changes not written yet.
	PendingChanges() int
}

// RecoveryLimits are the limits on a leader's operations until its recovery is complete.
type RecoveryLimits interface {
	// Limited reports whether the recovery limits operations at present.
	Limited() bool
	// MayScaleOut reports whether machines may be rented.
	MayScaleOut() bool
	// MayScaleIn reports whether machines may be returned because there are too many.
	MayScaleIn() bool
	// MayReturnUnresponsive reports whether a machine may be returned that has been silent for a
	// time.
	MayReturnUnresponsive(machine *cluster.Machine, silence time.Duration) bool
	// AllowedOperations returns how many of count operations the budget allows now, and takes them
	// from the budget.
	AllowedOperations(operation recovery.Operation, count int) int
	// RefundOperations gives operations without effect back to the budget.
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

// JobQueue is what the autoscaler needs to know of the jobs, besides the cluster state.
type JobQueue interface {
	// PendingJobs returns the pending jobs in the order of the last scheduling pass.
	PendingJobs() []*cluster.Job
	// MayRunUnreported reports whether tasks of a job may be running on machines that are not
	// reconciled yet.
	MayRunUnreported(job *cluster.Job, totals *cluster.MachineTotals) bool
	// SoonReleasedDependents returns the jobs that wait only for this one, if it should end within
	// the horizon.
	SoonReleasedDependents(job *cluster.Job, horizon time.Duration) []*cluster.Job
	// ReleaseUndelivered releases the attempts that were not delivered to their machine in time.
	ReleaseUndelivered()
}

// WallClock converts between instants and the wall clock, which stored records use.
type WallClock interface {
	// NowUnixMilli returns the current wall clock in Unix milliseconds.
	NowUnixMilli() int64
	// InstantFromUnixMilli converts a stored wall clock time to an instant.
	InstantFromUnixMilli(milliseconds int64) clock.Instant
}

// StoreHealth tells whether the key-value store works, without which no job can arrive.
type StoreHealth interface {
	// StoreFailing reports whether the last call to the key-value store failed.
	StoreFailing() bool
}
