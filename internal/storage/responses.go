package storage

import (
	"fmt"
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
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s: response %d: %s", e.Call, e.Status, e.Reason)
}

// CheckResponse validates a response of the key-value store. After an error, a *ResponseError, the
// caller must treat the call as unanswered: if it trusted the response, a page without items would
// hide all machines from a new leader, a result without a revision would invalidate the conditions
// of later transactions, and a proxy's 404 would deny the existence of a job.
func CheckResponse(method, path string, status int, body []byte) error {
	reason := ""
	switch status {
	case 0, 400, 410, 429: // no response, or a status without a body to validate
	case 200:
		reason = checkResponseBody(method, path, body)
	case 404:
		if strings.HasPrefix(path, keyPath) {
			reason = checkNotFound(body)
		}
	case 409:
		var result TxnResponse
		if json.Unmarshal(body, &result) != nil || len(result.FailedKeys) == 0 {
			reason = "no failed condition is named"
		}
	default:
		if status < 500 {
			reason = "status is not part of the protocol"
		}
	}
	if reason == "" {
		return nil
	}
	return &ResponseError{Call: method + " " + path, Status: status, Reason: reason}
}

// Paths of the key-value store's API.
const (
	keyPath   = "/store/"
	listPath  = "/store?"
	watchPath = "/follow?"
	txnPath   = "/multi"
	leasePath = "/holds"
)

// checkResponseBody returns what is wrong with the body of a response with status 200, or "".
func checkResponseBody(method, path string, body []byte) string {
	switch {
	case strings.HasPrefix(path, keyPath):
		return checkItem(strings.TrimPrefix(path, keyPath), body)
	case strings.HasPrefix(path, listPath):
		return checkPage(path, body)
	case strings.HasPrefix(path, watchPath):
		return checkWatchResponse(path, body)
	case path == txnPath:
		var result TxnResponse
		if json.Unmarshal(body, &result) != nil || result.Revision == 0 {
			return "no revision"
		}
	case path == leasePath && method == "POST":
		var lease Lease
		if json.Unmarshal(body, &lease) != nil || lease.ID == 0 {
			return "no lease"
		}
	}
	return ""
}

// checkItem returns what is wrong with the response to a read of one key, or "".
func checkItem(key string, body []byte) string {
	var item Item
	switch {
	case json.Unmarshal(body, &item) != nil:
		return "not an item"
	case item.Key != key || item.ModRevision == 0 || len(item.Value) == 0:
		return "not the item that was asked for"
	}
	return ""
}

// checkNotFound returns what is wrong with the body of a 404, or "". The key-value store names its
// revision in every 404; a proxy does not.
func checkNotFound(body []byte) string {
	if !hasRevision(body) {
		return "not found, without a revision"
	}
	return ""
}

// hasRevision reports whether a response states the store's revision. An empty store is at
// revision 0, so a zero value does not mean that the field is missing.
func hasRevision(body []byte) bool {
	var response struct {
		Revision *uint64 `json:"edicao"`
	}
	return json.Unmarshal(body, &response) == nil && response.Revision != nil
}

// checkPage returns what is wrong with a page of a listing, or "". Items must have the prefix and be
// in strictly increasing order after the page's start: a page that does not advance would make the
// caller request it forever.
func checkPage(path string, body []byte) string {
	var page ListResponse
	if json.Unmarshal(body, &page) != nil || !hasRevision(body) {
		return "not a page"
	}
	query := parseQuery(path)
	previous := query.Get("since")
	for _, item := range page.Items {
		if !strings.HasPrefix(item.Key, query.Get("under")) || item.Key <= previous || item.ModRevision == 0 {
			return "items out of order or range"
		}
		previous = item.Key
	}
	if page.Truncated && len(page.Items) == 0 {
		return "cut off before the first item"
	}
	return ""
}

// checkWatchResponse returns what is wrong with the response of a watch, or "".
func checkWatchResponse(path string, body []byte) string {
	var response WatchResponse
	if json.Unmarshal(body, &response) != nil || !hasRevision(body) {
		return "not a list of changes"
	}
	prefix := parseQuery(path).Get("under")
	for _, event := range response.Events {
		if !strings.HasPrefix(event.PutKey+event.DeletedKey, prefix) || event.ModRevision == 0 {
			return "changes outside the watched prefix"
		}
	}
	return ""
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
