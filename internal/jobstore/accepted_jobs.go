package jobstore

import (
	"cmp"
	"slices"

	"hitchdoor/internal/storage"
)

// RecordAccepted caches that a job was accepted, by this node or another.
func (r *Reader) RecordAccepted(jobID string) { r.acceptedJobs.Put(jobID, true) }

// KnownAccepted reports whether this node knows that a job was accepted. Acceptance is never
// withdrawn, so it needs no further check.
func (r *Reader) KnownAccepted(jobID string) bool {
	if _, isTerminal := r.TerminalRecord(jobID); isTerminal {
		return true
	}
	_, accepted := r.acceptedJobs.Get(jobID)
	return accepted || r.host.HasOpenJob(jobID)
}

// WithoutKnownAccepted returns the ids of the jobs of which this node does not know that they were
// accepted.
func (r *Reader) WithoutKnownAccepted(ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), r.KnownAccepted)
}

// ReadAcceptance reads whether all of the given jobs were accepted, by any node. It reads from the
// key-value store, because another node may have accepted a job a moment ago. err is the *ReadError of a job that
// could not be read.
func (r *Reader) ReadAcceptance(ids []string, onRead func(allAccepted bool, err error)) {
	pendingReads, allAccepted, firstError := len(ids), true, error(nil)
	if pendingReads == 0 {
		onRead(true, nil)
		return
	}
	for _, id := range ids {
		r.ReadJob(id, func(openItem *storage.Item, terminal *storage.TerminalRecord, err error) {
			firstError = cmp.Or(firstError, err)
			allAccepted = allAccepted && (openItem != nil || terminal != nil)
			if pendingReads--; pendingReads == 0 {
				onRead(allAccepted, firstError)
			}
		})
	}
}
