package protocol

import (
	"net/http"

	"hitchdoor/internal/json"
)

// CloudResponse is the response of the cloud to a request. Status 0 means that no usable response
// arrived: the cloud may have executed the request already, or may execute it later.
type CloudResponse struct {
	Status int
	Body   []byte
}

// Decode decodes the body into value. It reports whether the status is 200 and the body could be
// decoded.
func (r CloudResponse) Decode(value any) bool {
	return r.Status == http.StatusOK && json.Unmarshal(r.Body, value) == nil
}
