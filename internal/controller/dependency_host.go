package controller

import (
	"net/http"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// dependencyHost implements dependency.Host for a leader.
type dependencyHost struct{ leader *leader }

// TerminalRecord returns the terminal record of a job, if it is known.
func (h dependencyHost) TerminalRecord(jobID string) (storage.TerminalRecord, bool) {
	return h.leader.node.jobReader.TerminalRecord(jobID)
}

// InstantFromUnixMilli converts a stored wall clock time to an instant.
func (h dependencyHost) InstantFromUnixMilli(unixMilli int64) clock.Instant {
	return h.leader.node.instantFromUnixMilli(unixMilli)
}

// JobReleased adds a job that has become available for scheduling to the arrival forecast. Jobs that
// are released while the records are loading are added once all records are loaded.
func (h dependencyHost) JobReleased(job *cluster.Job) {
	if h.leader.recordsLoaded {
		h.leader.autoscaler.RecordArrival(job)
	}
}

// CancelJob is called for a job with a cancelled dependency. It responds to the users who wait for the
// job's cancellation, and ends the job as cancelled unless it is already terminal.
func (h dependencyHost) CancelJob(job *cluster.Job) {
	waiters := h.leader.cancelWaiters
	for _, origin := range waiters[job.Spec.ID] {
		h.leader.node.replyJobStatus(origin, http.StatusOK, job.State())
	}
	delete(waiters, job.Spec.ID)
	if !job.Terminal {
		h.leader.jobRecords.Finish(job, protocol.JobCancelled)
	}
}

// MayLookUp takes one read from the budget for lookups. It reports false if the budget is used up or
// the key-value store is unavailable.
func (h dependencyHost) MayLookUp() bool {
	node := h.leader.node
	return !node.election.StoreUnavailable() && h.leader.lookupBudget.Take(node.now, 1)
}

// ReadTerminalRecord reads a job's terminal record and passes it to onRead, or nil if there is none. If
// the read fails, ok is false. onRead is not called once the leader's term has ended.
func (h dependencyHost) ReadTerminalRecord(jobID string, onRead func(ok bool, terminal *storage.TerminalRecord)) {
	node := h.leader.node
	node.jobReader.ReadTerminalRecord(jobID, func(terminal *storage.TerminalRecord, err error) {
		if node.leader == h.leader {
			onRead(err == nil, terminal)
		}
	})
}

// LoadOpenJob reads the record of an open job and adds the job to the open jobs, if the record exists.
func (h dependencyHost) LoadOpenJob(jobID string) {
	node := h.leader.node
	node.jobReader.ReadItem(storage.JobKey(jobID), func(_ int, item *storage.Item) {
		if item != nil && node.leader == h.leader {
			h.leader.adoptStoredJob(jobID, *item)
		}
	})
}
