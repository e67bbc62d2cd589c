package controller

import "net/http"

// nodeStoreObserver passes on what the responses of the key-value store say of its availability.
type nodeStoreObserver struct{ node *Node }

// StoreResponded tells the election whether the store answered, and limits the writes if it
// rejected one for its rate.
func (o nodeStoreObserver) StoreResponded(path string, status int) {
	o.node.election.RecordStoreResponse(o.node.now, status)
	if status == http.StatusTooManyRequests && path == "/multi" {
		o.node.throttleWrites()
	}
}
