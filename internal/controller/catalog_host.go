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

// TakeCloudRequest reports whether the budget allows a request to the cloud now, and takes it from the
// budget.
func (h catalogHost) TakeCloudRequest() bool { return h.node.takeCloudRequest() }

// ReadFromCloud requests a resource of the cloud, and calls onResponse with the response. Its status is
// 0 if no usable response arrives within the timeout.
func (h catalogHost) ReadFromCloud(
	path string, timeout time.Duration, onResponse func(protocol.CloudResponse),
) {
	h.node.callService(TargetCloud, http.MethodGet, path, nil, timeout, func(result CallResult) {
		onResponse(protocol.CloudResponse{Status: result.Status, Body: result.Body})
	})
}

// ReadFromStore requests a record of the key-value store, and calls onResponse with the response. Its
// status is 0 if no usable response arrives.
func (h catalogHost) ReadFromStore(key string, onResponse func(storage.Response)) {
	h.node.storeCall(http.MethodGet, "/store/"+key, nil, func(result CallResult) {
		onResponse(storage.Response{Status: result.Status, Body: result.Body})
	})
}

// MachineTypesChanged updates what the node derives from the machine types, if it is the leader.
func (h catalogHost) MachineTypesChanged() {
	if h.node.leader != nil {
		h.node.leader.applyMachineTypes()
	}
}
