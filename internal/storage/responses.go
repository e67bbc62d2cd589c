package storage

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/segmentio/encoding/json"
)

// ResponseError reports why a response can't come from the key-value store: it was truncated, or a
// proxy or another server sent it.
type ResponseError struct {
	Call   string // method and path
	Status int
	Reason string
	Err    error // of the decoder; nil: none
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s: response %d: %s", e.Call, e.Status, e.Reason)
}

// Unwrap returns the error of the decoder.
func (e *ResponseError) Unwrap() error { return e.Err }

// CheckResponse validates a response of the key-value store. After an error, a *ResponseError, the
// caller must treat the call as unanswered: if it trusted the response, a page without items would
// hide all machines from a new leader, a result without a revision would invalidate the conditions
// of later transactions, and a proxy's 404 would deny the existence of a job.
func CheckResponse(method, path string, status int, body []byte) error {
	var problem *ResponseError
	switch status {
	case 0, http.StatusBadRequest, http.StatusGone, http.StatusTooManyRequests:
		// There is no response, or its status has no body to validate.
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
			problem = &ResponseError{Reason: "status is not part of the protocol"}
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

// checkResponseBody returns what is wrong with the body of a response with status 200; nil: nothing.
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

// checkTxnResponse returns what is wrong with the response to an applied transaction; nil: nothing.
func checkTxnResponse(body []byte) *ResponseError {
	var result TxnResponse
	if err := json.Unmarshal(body, &result); err != nil || result.Revision == 0 {
		return &ResponseError{Reason: "no revision", Err: err}
	}
	return nil
}

// checkConflict returns what is wrong with the body of a 409, which names the failed conditions;
// nil: nothing.
func checkConflict(body []byte) *ResponseError {
	var result TxnResponse
	if err := json.Unmarshal(body, &result); err != nil || len(result.FailedKeys) == 0 {
		return &ResponseError{Reason: "no failed condition is named", Err: err}
	}
	return nil
}

// checkLease returns what is wrong with the response to a request of a lease; nil: nothing.
func checkLease(body []byte) *ResponseError {
	var lease Lease
	if err := json.Unmarshal(body, &lease); err != nil || lease.ID == 0 {
		return &ResponseError{Reason: "no lease", Err: err}
	}
	return nil
}

// checkItem returns what is wrong with the response to a read of one key; nil: nothing.
func checkItem(key string, body []byte) *ResponseError {
	var item Item
	if err := json.Unmarshal(body, &item); err != nil {
		return &ResponseError{Reason: "not an item", Err: err}
	}
	if item.Key != key || item.ModRevision == 0 || len(item.Value) == 0 {
		return &ResponseError{Reason: "not the item that was asked for"}
	}
	return nil
}

// checkNotFound returns what is wrong with the body of a 404; nil: nothing. The key-value store
// names its revision in every 404; a proxy does not.
func checkNotFound(body []byte) *ResponseError {
	if !hasRevision(body) {
		return &ResponseError{Reason: "not found, without a revision"}
	}
	return nil
}

// hasRevision reports whether a response states the store's revision. An empty store is at
// revision 0, so a zero value does not mean that the field is missing.
func hasRevision(body []byte) bool {
	var response struct {
		Revision *uint64 `json:"edicao"`
	}
	return json.Unmarshal(body, &response) == nil && response.Revision != nil
}

// checkPage returns what is wrong with a page of a listing; nil: nothing. Items must have the prefix
// and be in strictly increasing order after the page's start: a page that does not advance would make
// the caller request it forever.
func checkPage(path string, body []byte) *ResponseError {
	var page ListResponse
	if err := json.Unmarshal(body, &page); err != nil || !hasRevision(body) {
		return &ResponseError{Reason: "not a page", Err: err}
	}
	query := parseQuery(path)
	previous := query.Get("since")
	for _, item := range page.Items {
		if !strings.HasPrefix(item.Key, query.Get("under")) || item.Key <= previous || item.ModRevision == 0 {
			return &ResponseError{Reason: "items out of order or range"}
		}
		previous = item.Key
	}
	if page.Truncated && len(page.Items) == 0 {
		return &ResponseError{Reason: "cut off before the first item"}
	}
	return nil
}

// checkWatchResponse returns what is wrong with the response of a watch; nil: nothing.
func checkWatchResponse(path string, body []byte) *ResponseError {
	var response WatchResponse
	if err := json.Unmarshal(body, &response); err != nil || !hasRevision(body) {
		return &ResponseError{Reason: "not a list of changes", Err: err}
	}
	prefix := parseQuery(path).Get("under")
	for _, event := range response.Events {
		if !strings.HasPrefix(event.PutKey+event.DeletedKey, prefix) || event.ModRevision == 0 {
			return &ResponseError{Reason: "changes outside the watched prefix"}
		}
	}
	return nil
}

// parseQuery returns the query of a path; nil if it is malformed.
func parseQuery(path string) url.Values {
	_, query, _ := strings.Cut(path, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return nil
	}
	return values
}
