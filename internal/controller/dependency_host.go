package controller

import (
	"net/http"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// dependencyHost gives the dependency graph access to its leader. It implements dependency.Host.
type dependencyHost struct{ leader *leader }

// TerminalRecord returns the terminal record of a job, if this node knows it.
func (h dependencyHost) TerminalRecord(jobID string) (storage.TerminalRecord, bool) {
	return h.leader.node.jobReader.TerminalRecord(jobID)
}

// InstantFromUnixMilli converts a stored wall clock time to an instant.
func (h dependencyHost) InstantFromUnixMilli(unixMilli int64) clock.Instant {
	return h.leader.node.instantFromUnixMilli(unixMilli)
}

// JobReleased adds a job that has become available to scheduling to the arrival forecast. The
// forecast counts jobs that are released while the records are loading once all records are loaded.
func (h dependencyHost) JobReleased(job *cluster.Job) {
	if h.leader.recordsLoaded {
		h.leader.autoscaler.RecordArrival(job)
	}
}

// CancelJob responds to the users who wait for the cancellation of a job, and cancels the job unless
// it is terminal.
func (h dependencyHost) CancelJob(job *cluster.Job) {
	waiters := h.leader.cancelWaiters
	for _, origin := range waiters[job.Spec.ID] {
		h.leader.node.reply(origin, http.StatusOK, 0, job.State())
	}
	delete(waiters, job.Spec.ID)
	if !job.Terminal {
		h.leader.jobRecords.Finish(job, protocol.JobCancelled)
	}
}

// MayLookUp takes one read from the lookup budget. It reports false if none is left or the key-value
// store is unavailable.
func (h dependencyHost) MayLookUp() bool {
	node := h.leader.node
	return !node.election.StoreUnavailable() && h.leader.lookupBudget.Take(node.now, 1)
}

// ReadTerminalRecord reads a job's terminal record and passes it to onRead, unless the term has ended
// by then. terminal is nil if there is none.
func (h dependencyHost) ReadTerminalRecord(jobID string, onRead func(ok bool, terminal *storage.TerminalRecord)) {
	node := h.leader.node
	node.jobReader.ReadTerminalRecord(jobID, func(ok bool, terminal *storage.TerminalRecord) {
		if node.leader == h.leader {
			onRead(ok, terminal)
		}
	})
}

// LoadOpenJob reads the record of an open job, if there is one, and adds the job to the job table.
func (h dependencyHost) LoadOpenJob(jobID string) {
	node := h.leader.node
	node.jobReader.ReadItem(storage.JobKey(jobID), func(_ int, item *storage.Item) {
		if item != nil && node.leader == h.leader {
			h.leader.adoptStoredJob(jobID, *item)
		}
	})
}
