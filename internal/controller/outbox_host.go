package controller

import "net/http"

// nodeStoreObserver updates the election and the write budgets of its node from the responses of the
// key-value store. It implements storeResponseObserver.
type nodeStoreObserver struct{ node *Node }

// StoreResponded tells the election whether the store responded, and throttles writes if the store
// rejected one for exceeding its rate limit.
func (o nodeStoreObserver) StoreResponded(path string, status int) {
	o.node.election.RecordStoreResponse(o.node.now, status)
	if status == http.StatusTooManyRequests && path == "/multi" {
		o.node.throttleWrites()
	}
}
