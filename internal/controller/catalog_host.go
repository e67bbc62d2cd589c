package controller

import (
	"net/http"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// nodeCatalogHost gives the machine catalog what it needs from its node.
type nodeCatalogHost struct{ node *Node }

// Now returns the time of the current step.
func (a nodeCatalogHost) Now() clock.Instant { return a.node.now }

// Leading reports whether the node is the leader.
func (a nodeCatalogHost) Leading() bool { return a.node.leader != nil }

// TakeCloudRequest reports whether the cloud budget allows a request now, and takes it from the
// budget.
func (a nodeCatalogHost) TakeCloudRequest() bool { return a.node.takeCloudRequest() }

// ReadFromCloud reads a resource of the cloud.
func (a nodeCatalogHost) ReadFromCloud(
	path string, timeout time.Duration, onResponse func(protocol.CloudResponse),
) {
	a.node.callService(TargetCloud, http.MethodGet, path, nil, timeout, func(result CallResult) {
		onResponse(protocol.CloudResponse{Status: result.Status, Body: result.Body})
	})
}

// ReadFromStore reads a record of the key-value store.
func (a nodeCatalogHost) ReadFromStore(key string, onResponse func(storage.Response)) {
	a.node.storeCall(http.MethodGet, "/store/"+key, nil, func(result CallResult) {
		onResponse(storage.Response{Status: result.Status, Body: result.Body})
	})
}

// MachineTypesChanged updates the leader's machines.
func (a nodeCatalogHost) MachineTypesChanged() {
	if a.node.leader != nil {
		a.node.leader.applyMachineTypes()
	}
}
