package controller

import "net/http"

// nodeStoreObserver updates the election and the write budgets of its node from the responses of the
// key-value store to its calls. It implements storeResponseObserver.
type nodeStoreObserver struct{ node *Node }

// StoreResponded tells the election whether the store responded, and throttles writes if the store
// rejected a write because the store's rate limit was exceeded.
func (o nodeStoreObserver) StoreResponded(path string, status int) {
	o.node.election.RecordStoreResponse(o.node.now, status)
	if status == http.StatusTooManyRequests && path == "/multi" {
		o.node.throttleWrites()
	}
}
