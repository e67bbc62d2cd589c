package storage

import (
	"net/http"

	"hitchdoor/internal/json"
)

// Response is the response of the key-value store to a request. Status 0 means that no usable
// response arrived: the store may have executed the request already, or may execute it later.
type Response struct {
	Status int
	Body   []byte
}

// Decode decodes the body into value. It returns false if the request failed or the body is invalid.
func (r Response) Decode(value any) bool {
	return r.Status == http.StatusOK && json.Unmarshal(r.Body, value) == nil
}
