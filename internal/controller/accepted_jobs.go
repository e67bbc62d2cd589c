package controller

import (
	"slices"

	"hitchdoor/internal/storage"
)

// recordAccepted caches that a job was accepted.
func (r *jobReader) recordAccepted(jobID string) { r.acceptedJobs.put(jobID, true) }

// knownAccepted reports whether this node knows that a job was accepted. Acceptance is never
// withdrawn, so a known one needs no further check.
func (r *jobReader) knownAccepted(jobID string) bool {
	if _, isTerminal := r.terminalRecord(jobID); isTerminal {
		return true
	}
	_, accepted := r.acceptedJobs.get(jobID)
	return accepted || r.host.HasOpenJob(jobID)
}

// withoutKnownAccepted returns the IDs of the jobs that this node does not know to be accepted.
func (r *jobReader) withoutKnownAccepted(ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), r.knownAccepted)
}

// readAcceptance reads whether all of some jobs were accepted by any node. Only the key-value
// store counts: another node may have accepted one a moment ago.
func (r *jobReader) readAcceptance(ids []string, onRead func(ok, allAccepted bool)) {
	pendingReads, readable, allAccepted := len(ids), true, true
	if pendingReads == 0 {
		onRead(true, true)
		return
	}
	for _, id := range ids {
		r.readJob(id, func(ok bool, openItem *storage.Item, terminal *storage.TerminalRecord) {
			readable = readable && ok
			allAccepted = allAccepted && (openItem != nil || terminal != nil)
			if pendingReads--; pendingReads == 0 {
				onRead(readable, allAccepted)
			}
		})
	}
}
