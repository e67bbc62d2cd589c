package controller

import (
	"net/http"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/records"
	"hitchdoor/internal/storage"
)

// jobReaderHost implements jobstore.Host for a node.
type jobReaderHost struct{ node *Node }

// Now returns the time of the current step.
func (h jobReaderHost) Now() clock.Instant { return h.node.now }

// Get sends a GET request to the key-value store. Status 0 means that no usable response arrived.
func (h jobReaderHost) Get(path string, onResponse func(status int, body []byte)) {
	h.node.storeCall(http.MethodGet, path, nil, func(result CallResult) { onResponse(result.Status, result.Body) })
}

// StoreUnavailable reports whether the key-value store is considered down, so that requests that need
// it are rejected at once.
func (h jobReaderHost) StoreUnavailable() bool { return h.node.election.StoreUnavailable() }

// StoreReachable reports whether the last call to the key-value store succeeded.
func (h jobReaderHost) StoreReachable() bool {
	return h.node.election.StoreReachable()
}

// HasOpenJob reports whether this node is the leader and has the job among its open jobs.
func (h jobReaderHost) HasOpenJob(jobID string) bool {
	return h.node.leader != nil && h.node.leader.Jobs[jobID] != nil
}

// TerminalRecordRead handles a terminal record that was read from the key-value store. A leader
// quarantines the job's open record if there still is one, because the terminal record takes precedence.
func (h jobReaderHost) TerminalRecordRead(jobID string, record storage.TerminalRecord) {
	delete(h.node.unreadableTerminalRecords, jobID)
	if h.node.holdsLeaderLease() {
		h.node.leader.jobRecords.QuarantineOpenRecord(jobID, record)
	}
}

// TerminalRecordUnreadable sets aside (quarantines) a terminal record that can't be decoded or is
// invalid, once per job.
func (h jobReaderHost) TerminalRecordUnreadable(jobID string, item storage.Item, err error) {
	node := h.node
	if node.unreadableTerminalRecords[jobID] != nil {
		return
	}
	newerVersionSeen := node.protocolLevels.newerVersionSeen()
	node.unreadableTerminalRecords[jobID] = records.NewQuarantinedRecord(node.log, item, err, newerVersionSeen)
}
