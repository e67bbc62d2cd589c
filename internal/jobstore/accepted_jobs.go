package jobstore

import (
	"slices"

	"hitchdoor/internal/storage"
)

// RecordAccepted caches that a job was accepted.
func (r *Reader) RecordAccepted(jobID string) { r.acceptedJobs.Put(jobID, true) }

// KnownAccepted reports whether this node knows that a job was accepted. Acceptance is never
// withdrawn, so a known one needs no further check.
func (r *Reader) KnownAccepted(jobID string) bool {
	if _, isTerminal := r.TerminalRecord(jobID); isTerminal {
		return true
	}
	_, accepted := r.acceptedJobs.Get(jobID)
	return accepted || r.host.HasOpenJob(jobID)
}

// WithoutKnownAccepted returns the IDs of the jobs that this node does not know to be accepted.
func (r *Reader) WithoutKnownAccepted(ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), r.KnownAccepted)
}

// ReadAcceptance reads whether all of some jobs were accepted by any node. Only the key-value
// store counts: another node may have accepted one a moment ago.
func (r *Reader) ReadAcceptance(ids []string, onRead func(ok, allAccepted bool)) {
	pendingReads, readable, allAccepted := len(ids), true, true
	if pendingReads == 0 {
		onRead(true, true)
		return
	}
	for _, id := range ids {
		r.ReadJob(id, func(ok bool, openItem *storage.Item, terminal *storage.TerminalRecord) {
			readable = readable && ok
			allAccepted = allAccepted && (openItem != nil || terminal != nil)
			if pendingReads--; pendingReads == 0 {
				onRead(readable, allAccepted)
			}
		})
	}
}
