package storage

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"hitchdoor/internal/json"
)

// ResponseError reports why a response can't come from the key-value store: it was truncated, or a
// proxy or another server sent it.
type ResponseError struct {
	Call   string // method and path
	Status int
	Reason string
	Err    error // error of the JSON decoder, or nil
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s: unusable response with status %d: %s", e.Call, e.Status, e.Reason)
}

// Unwrap returns the error of the JSON decoder, or nil.
func (e *ResponseError) Unwrap() error { return e.Err }

// CheckResponse validates a response of the key-value store. The error is a *ResponseError, and the caller
// must then treat the call as unanswered. Without this check, a false page without items would hide all
// machines from a new leader, a result without a revision would invalidate the conditions of later
// transactions, and a proxy's 404 would deny the existence of a job.
func CheckResponse(method, path string, status int, body []byte) error {
	var problem *ResponseError
	switch status {
	case 0, http.StatusBadRequest, http.StatusGone, http.StatusTooManyRequests:
		// There is no response, or responses with this status have no body to validate.
	case http.StatusOK:
		problem = checkResponseBody(method, path, body)
	case http.StatusNotFound:
		if strings.HasPrefix(path, keyPath) {
			problem = checkNotFound(body)
		}
	case http.StatusConflict:
		problem = checkConflict(body)
	default:
		if status < http.StatusInternalServerError {
			problem = &ResponseError{Reason: "the status is not part of the store's API"}
		}
	}
	if problem == nil {
		return nil
	}
	problem.Call, problem.Status = method+" "+path, status
	return problem
}

// Paths of the key-value store's API.
const (
	keyPath   = "/store/"
	listPath  = "/store?"
	watchPath = "/follow?"
	txnPath   = "/multi"
	leasePath = "/holds"
)

// checkResponseBody validates the body of a response with status 200. It returns nil for a valid body.
func checkResponseBody(method, path string, body []byte) *ResponseError {
	switch {
	case strings.HasPrefix(path, keyPath):
		return checkItem(strings.TrimPrefix(path, keyPath), body)
	case strings.HasPrefix(path, listPath):
		return checkPage(path, body)
	case strings.HasPrefix(path, watchPath):
		return checkWatchResponse(path, body)
	case path == txnPath:
		return checkTxnResponse(body)
	case path == leasePath && method == "POST":
		return checkLease(body)
	}
	return nil
}

// checkTxnResponse validates the response to an applied transaction, which must state its revision.
func checkTxnResponse(body []byte) *ResponseError {
	var result TxnResponse
	if err := json.Unmarshal(body, &result); err != nil || result.Revision == 0 {
		return &ResponseError{Reason: "the body states no revision", Err: err}
	}
	return nil
}

// checkConflict validates the body of a 409, which must name the failed conditions.
func checkConflict(body []byte) *ResponseError {
	var result TxnResponse
	if err := json.Unmarshal(body, &result); err != nil || len(result.FailedKeys) == 0 {
		return &ResponseError{Reason: "the body names no failed condition", Err: err}
	}
	return nil
}

// checkLease validates the response to a request to grant a lease, which must contain the lease's id.
func checkLease(body []byte) *ResponseError {
	var lease Lease
	if err := json.Unmarshal(body, &lease); err != nil || lease.ID == 0 {
		return &ResponseError{Reason: "the body contains no lease id", Err: err}
	}
	return nil
}

// checkItem validates the response to a read of one key, which must be the complete item of that key.
func checkItem(key string, body []byte) *ResponseError {
	var item Item
	if err := json.Unmarshal(body, &item); err != nil {
		return &ResponseError{Reason: "the body is not an item", Err: err}
	}
	if item.Key != key || item.ModRevision == 0 || len(item.Value) == 0 {
		return &ResponseError{Reason: "the item is incomplete or has another key than the requested one"}
	}
	return nil
}

// checkNotFound validates the body of a 404. The key-value store states its revision in every 404,
// but a proxy does not.
func checkNotFound(body []byte) *ResponseError {
	if !hasRevision(body) {
		return &ResponseError{Reason: "the body of the 404 states no revision"}
	}
	return nil
}

// hasRevision reports whether the body of a response states the store's revision. An empty store is
// at revision 0, so only a missing field means that the revision is not stated.
func hasRevision(body []byte) bool {
	var response struct {
		Revision *uint64 `json:"edicao"`
	}
	return json.Unmarshal(body, &response) == nil && response.Revision != nil
}

// checkPage validates a page of a listing. Its items must have the prefix, and their keys must be in
// strictly increasing order after the key where the request starts. Otherwise a page that does not
// advance would make the caller request it forever.
func checkPage(path string, body []byte) *ResponseError {
	var page ListResponse
	if err := json.Unmarshal(body, &page); err != nil || !hasRevision(body) {
		return &ResponseError{Reason: "the body is not a page of a listing", Err: err}
	}
	query := parseQuery(path)
	previous := query.Get("since")
	for _, item := range page.Items {
		if !strings.HasPrefix(item.Key, query.Get("under")) || item.Key <= previous || item.ModRevision == 0 {
			return &ResponseError{Reason: "an item is out of order, outside the requested range or without a revision"}
		}
		previous = item.Key
	}
	if page.Truncated && len(page.Items) == 0 {
		return &ResponseError{Reason: "the page is truncated before its first item"}
	}
	return nil
}

// checkWatchResponse validates the response to a watch. Its changes must be within the watched prefix.
func checkWatchResponse(path string, body []byte) *ResponseError {
	var response WatchResponse
	if err := json.Unmarshal(body, &response); err != nil || !hasRevision(body) {
		return &ResponseError{Reason: "the body is not a list of changes", Err: err}
	}
	prefix := parseQuery(path).Get("under")
	for _, event := range response.Events {
		if !strings.HasPrefix(event.PutKey+event.DeletedKey, prefix) || event.ModRevision == 0 {
			return &ResponseError{Reason: "a change is outside the watched prefix or without a revision"}
		}
	}
	return nil
}

// parseQuery returns the query of a path, or nil if the query is malformed.
func parseQuery(path string) url.Values {
	_, query, _ := strings.Cut(path, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return nil
	}
	return values
}
