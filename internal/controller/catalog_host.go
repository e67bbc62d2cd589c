package controller

import (
	"net/http"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// catalogHost gives the machine type catalog access to its node. It implements catalog.Host.
type catalogHost struct{ node *Node }

// Now returns the time of the current step.
func (h catalogHost) Now() clock.Instant { return h.node.now }

// Leading reports whether the node is the leader.
func (h catalogHost) Leading() bool { return h.node.leader != nil }

// TakeCloudRequest reports whether the cloud budget allows a request now, and takes it from the
// budget.
func (h catalogHost) TakeCloudRequest() bool { return h.node.takeCloudRequest() }

// ReadFromCloud reads a resource of the cloud API. Status 0 means that no usable response arrived.
func (h catalogHost) ReadFromCloud(
	path string, timeout time.Duration, onResponse func(protocol.CloudResponse),
) {
	h.node.callService(TargetCloud, http.MethodGet, path, nil, timeout, func(result CallResult) {
		onResponse(protocol.CloudResponse{Status: result.Status, Body: result.Body})
	})
}

// ReadFromStore reads a record of the key-value store. Status 0 means that no usable response arrived.
func (h catalogHost) ReadFromStore(key string, onResponse func(storage.Response)) {
	h.node.storeCall(http.MethodGet, "/store/"+key, nil, func(result CallResult) {
		onResponse(storage.Response{Status: result.Status, Body: result.Body})
	})
}

// MachineTypesChanged applies the new machine types to the leader's machines, if this node leads.
func (h catalogHost) MachineTypesChanged() {
	if h.node.leader != nil {
		h.node.leader.applyMachineTypes()
	}
}
