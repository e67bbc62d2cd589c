package controller

import (
	"net/http"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/records"
	"hitchdoor/internal/storage"
)

// jobReaderHost connects the job reader to its node.
type jobReaderHost struct{ node *Node }

// Now implements jobReaderHost.
func (h jobReaderHost) Now() clock.Instant { return h.node.now }

// Get implements jobReaderHost.
func (h jobReaderHost) Get(path string, onResponse func(status int, body []byte)) {
	h.node.storeCall(http.MethodGet, path, nil, func(result CallResult) { onResponse(result.Status, result.Body) })
}

// StoreUnavailable implements jobReaderHost.
func (h jobReaderHost) StoreUnavailable() bool { return h.node.election.StoreUnavailable() }

// StoreResponding implements jobReaderHost.
func (h jobReaderHost) StoreResponding() bool {
	return h.node.election.StoreReachable()
}

// HasOpenJob implements jobReaderHost.
func (h jobReaderHost) HasOpenJob(jobID string) bool {
	return h.node.leader != nil && h.node.leader.Jobs[jobID] != nil
}

// TerminalRecordRead implements jobReaderHost.
func (h jobReaderHost) TerminalRecordRead(jobID string, record storage.TerminalRecord) {
	delete(h.node.unreadableTerminalRecords, jobID)
	if h.node.holdsLeaderLease() {
		h.node.leader.jobRecords.QuarantineOpenRecord(jobID, record)
	}
}

// TerminalRecordUnreadable implements jobReaderHost.
func (h jobReaderHost) TerminalRecordUnreadable(jobID string, item storage.Item, err error) {
	node := h.node
	if node.unreadableTerminalRecords[jobID] != nil {
		return
	}
	newerVersionSeen := node.protocolLevels.newerVersionSeen()
	node.unreadableTerminalRecords[jobID] = records.NewQuarantinedRecord(node.log, item, err, newerVersionSeen)
}
