package controller

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/storage"
)

// nodeProtocolLevelsHost implements protocolLevelsHost for a node.
type nodeProtocolLevelsHost struct{ node *Node }

// Now returns the time of the current step.
func (h nodeProtocolLevelsHost) Now() clock.Instant { return h.node.now }

// StoreReachable reports whether the key-value store responds.
func (h nodeProtocolLevelsHost) StoreReachable() bool { return h.node.election.StoreReachable() }

// CallStore sends a request to the key-value store.
func (h nodeProtocolLevelsHost) CallStore(method, path string, body any, onResponse func(storage.Response)) {
	h.node.storeCall(method, path, body, func(result CallResult) {
		onResponse(storage.Response{Status: result.Status, Body: result.Body})
	})
}

// ClusterLevelRaised is called when the level that every node understands has risen. Once that level is
// above 0, a leader rewrites the stored bitmaps in the layout that controllers of level 0 can't read.
func (h nodeProtocolLevelsHost) ClusterLevelRaised(previousLevel int) {
	if h.node.leader != nil && previousLevel < protocolLevelDependencies {
		h.node.leader.jobRecords.UpgradeBitmapLayouts()
	}
}
