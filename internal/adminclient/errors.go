package adminclient

import (
	"fmt"
	"strings"
	"time"
)

// InvalidOptionError reports a flag with a value that is missing or not allowed.
type InvalidOptionError struct {
	Flag   string
	Reason string
}

// Error returns the flag and the reason.
func (e *InvalidOptionError) Error() string { return e.Flag + ": " + e.Reason }

// NoResponseError reports that a node could not be reached or has not responded in time.
type NoResponseError struct{ Timeout time.Duration }

// Error returns the predicate of a message, such as "no answer within 2s". The caller adds the node.
func (e *NoResponseError) Error() string { return fmt.Sprintf("no answer within %v", e.Timeout) }

// StatusError reports that a node has responded with a status other than 200.
type StatusError struct{ Status int }

// Error returns the predicate of a message, such as "responds with status 503". The caller adds the node.
func (e *StatusError) Error() string { return fmt.Sprintf("responds with status %d", e.Status) }

// IncompleteError lists the reasons why a printed result is incomplete or inconsistent.
type IncompleteError struct{ Reasons []string }

// Error returns all reasons in one line.
func (e *IncompleteError) Error() string {
	return "result is incomplete or inconsistent: " + strings.Join(e.Reasons, "; ")
}

// addReason adds a reason, which it formats like fmt.Sprintf.
func (e *IncompleteError) addReason(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

// errorOrNil returns the error if it has any reasons, nil otherwise.
func (e *IncompleteError) errorOrNil() error {
	if len(e.Reasons) == 0 {
		return nil
	}
	return e
}
