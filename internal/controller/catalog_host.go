package controller

import (
	"net/http"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// catalogHost implements catalog.Host for a node. The machine type catalog gets from it the time, the
// leadership, the budget of requests to the cloud, and reads from the cloud and the key-value store.
type catalogHost struct{ node *Node }

// Now returns the time of the current step.
func (h catalogHost) Now() clock.Instant { return h.node.now }

// Leading reports whether the node is the leader.
func (h catalogHost) Leading() bool { return h.node.leader != nil }

// TakeCloudRequest takes one request to the cloud from the budget. It reports false if none is left now.
func (h catalogHost) TakeCloudRequest() bool { return h.node.takeCloudRequest() }

// ReadFromCloud reads a resource of the cloud and passes the response to onResponse. The status is 0 if
// no usable response arrives within the timeout.
func (h catalogHost) ReadFromCloud(
	path string, timeout time.Duration, onResponse func(protocol.CloudResponse),
) {
	h.node.callService(TargetCloud, http.MethodGet, path, nil, timeout, func(result CallResult) {
		onResponse(protocol.CloudResponse{Status: result.Status, Body: result.Body})
	})
}

// ReadFromStore reads a record of the key-value store and passes the response to onResponse. The status
// is 0 if no usable response arrives.
func (h catalogHost) ReadFromStore(key string, onResponse func(storage.Response)) {
	h.node.storeCall(http.MethodGet, "/store/"+key, nil, func(result CallResult) {
		onResponse(storage.Response{Status: result.Status, Body: result.Body})
	})
}

// MachineTypesChanged is called when the catalog has changed. If this node leads, it updates the
// machines accordingly.
func (h catalogHost) MachineTypesChanged() {
	if h.node.leader != nil {
		h.node.leader.applyMachineTypes()
	}
}
