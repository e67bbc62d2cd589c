package controller

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/storage"
)

// nodeProtocolLevelsHost gives the protocol levels what they need from their node.
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

// ClusterLevelRaised lets a leader rewrite the records whose format level 0 does not understand.
func (h nodeProtocolLevelsHost) ClusterLevelRaised(previousLevel int) {
	if h.node.leader != nil && previousLevel < protocolLevelDependencies {
		h.node.leader.jobRecords.UpgradeBitmapLayouts()
	}
}
