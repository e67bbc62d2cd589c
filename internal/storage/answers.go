package storage

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/segmentio/encoding/json"
)

// AnswerError says why an answer can't be the state service's: it was cut short, or some
// proxy or another server gave it.
type AnswerError struct {
	Call   string // method and path
	Status int
	Reason string
}

func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s: answer %d: %s", e.Call, e.Status, e.Reason)
}

// CheckAnswer tells whether the state service can have given an answer. Any other must be
// treated as no answer: taken at its word, a page without items hides all machines from a
// new leader, a result without a revision spoils the conditions of later transactions, and
// a proxy's 404 denies a job.
func CheckAnswer(method, path string, status int, body []byte) error {
	reason := ""
	switch status {
	case 0, 400, 410, 429: // no answer at all, or one that needs no body
	case 200:
		reason = checkBody(method, path, body)
	case 404:
		if strings.HasPrefix(path, keyPath) {
			reason = checkAbsent(body)
		}
	case 409:
		var result TxnResult
		if json.Unmarshal(body, &result) != nil || len(result.Failed) == 0 {
			reason = "no failed condition is named"
		}
	default:
		if status < 500 {
			reason = "no status of the protocol"
		}
	}
	if reason == "" {
		return nil
	}
	return &AnswerError{Call: method + " " + path, Status: status, Reason: reason}
}

// Paths of the state service.
const (
	keyPath    = "/store/"
	listPath   = "/store?"
	followPath = "/follow?"
	txnPath    = "/multi"
	holdsPath  = "/holds"
)

// checkBody tells what is wrong with the body of a 200, if anything is.
func checkBody(method, path string, body []byte) string {
	switch {
	case strings.HasPrefix(path, keyPath):
		return checkItem(strings.TrimPrefix(path, keyPath), body)
	case strings.HasPrefix(path, listPath):
		return checkPage(path, body)
	case strings.HasPrefix(path, followPath):
		return checkEvents(path, body)
	case path == txnPath:
		var result TxnResult
		if json.Unmarshal(body, &result) != nil || result.Revision == 0 {
			return "no revision"
		}
	case path == holdsPath && method == "POST":
		var hold Hold
		if json.Unmarshal(body, &hold) != nil || hold.Lease == 0 {
			return "no lease"
		}
	}
	return ""
}

func checkItem(key string, body []byte) string {
	var item Item
	switch {
	case json.Unmarshal(body, &item) != nil:
		return "not an item"
	case item.Key != key || item.Version == 0 || len(item.Value) == 0:
		return "not the item that was asked for"
	}
	return ""
}

// checkAbsent looks for the revision that comes with each 404 of the state service.
func checkAbsent(body []byte) string {
	if !hasRevision(body) {
		return "absent at no revision"
	}
	return ""
}

// hasRevision tells whether an answer names the revision that it is of. An empty store is
// at revision 0, so that the number alone does not tell.
func hasRevision(body []byte) bool {
	var answer struct {
		Revision *uint64 `json:"edicao"`
	}
	return json.Unmarshal(body, &answer) == nil && answer.Revision != nil
}

// checkPage looks for items of the prefix, in order and beyond where the page begins: a
// page that does not advance would be asked for again and again.
func checkPage(path string, body []byte) string {
	var page Page
	if json.Unmarshal(body, &page) != nil || !hasRevision(body) {
		return "not a page"
	}
	query := queryOf(path)
	last := query.Get("since")
	for _, item := range page.Items {
		if !strings.HasPrefix(item.Key, query.Get("under")) || item.Key <= last || item.Version == 0 {
			return "items out of place"
		}
		last = item.Key
	}
	if page.Truncated && len(page.Items) == 0 {
		return "cut off before the first item"
	}
	return ""
}

func checkEvents(path string, body []byte) string {
	var events Events
	if json.Unmarshal(body, &events) != nil || !hasRevision(body) {
		return "not a list of changes"
	}
	prefix := queryOf(path).Get("under")
	for _, event := range events.Log {
		if !strings.HasPrefix(event.Set+event.Drop, prefix) || event.Version == 0 {
			return "changes out of place"
		}
	}
	return ""
}

func queryOf(path string) url.Values {
	_, query, _ := strings.Cut(path, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return nil
	}
	return values
}
