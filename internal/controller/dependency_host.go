package controller

import (
	"net/http"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// dependencyHost connects the dependency graph to its leader.
type dependencyHost struct{ leader *leader }

// TerminalRecord implements dependencyHost.
func (h dependencyHost) TerminalRecord(jobID string) (storage.TerminalRecord, bool) {
	return h.leader.node.jobReader.TerminalRecord(jobID)
}

// InstantFromUnixMilli implements dependencyHost.
func (h dependencyHost) InstantFromUnixMilli(unixMilli int64) clock.Instant {
	return h.leader.node.instantFromUnixMilli(unixMilli)
}

// JobReleased implements dependencyHost. The forecast counts the jobs that are released while the
// records are loading once all of them are loaded.
func (h dependencyHost) JobReleased(job *cluster.Job) {
	if h.leader.recordsLoaded {
		h.leader.autoscaler.RecordArrival(job)
	}
}

// CancelJob implements dependencyHost.
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

// MayLookUp implements dependencyHost.
func (h dependencyHost) MayLookUp() bool {
	node := h.leader.node
	return !node.election.StoreUnavailable() && h.leader.lookupBudget.Take(node.now, 1)
}

// ReadTerminalRecord implements dependencyHost.
func (h dependencyHost) ReadTerminalRecord(jobID string, onRead func(ok bool, terminal *storage.TerminalRecord)) {
	node := h.leader.node
	node.jobReader.ReadTerminalRecord(jobID, func(ok bool, terminal *storage.TerminalRecord) {
		if node.leader == h.leader {
			onRead(ok, terminal)
		}
	})
}

// LoadOpenJob implements dependencyHost.
func (h dependencyHost) LoadOpenJob(jobID string) {
	node := h.leader.node
	node.jobReader.ReadItem(storage.JobKey(jobID), func(_ int, item *storage.Item) {
		if item != nil && node.leader == h.leader {
			h.leader.adoptStoredJob(jobID, *item)
		}
	})
}
