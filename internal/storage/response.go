package storage

import (
	"net/http"

	"github.com/segmentio/encoding/json"
)

// Response is the response of the key-value store to a request. Status 0 means that no usable
// response arrived; the request may have been executed, or may be later.
type Response struct {
	Status int
	Body   []byte
}

// Decode decodes the body of a successful response into value. It reports whether there was one.
func (r Response) Decode(value any) bool {
	return r.Status == http.StatusOK && json.Unmarshal(r.Body, value) == nil
}
