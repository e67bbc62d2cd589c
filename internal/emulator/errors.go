package emulator

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// ErrInterrupted is returned by Run if its context is cancelled.
var ErrInterrupted = errors.New("interrupted")

// InvalidOptionError reports a flag with an invalid value, or several flags that contradict each
// other.
type InvalidOptionError struct {
	Flag   string
	Reason string
}

// Error implements error.
func (e *InvalidOptionError) Error() string { return e.Flag + ": " + e.Reason }

// invalidOption returns an InvalidOptionError with a formatted reason.
func invalidOption(flag, format string, args ...any) error {
	return &InvalidOptionError{Flag: flag, Reason: fmt.Sprintf(format, args...)}
}

// ControllerExitedError reports a controller process that has exited without being killed.
type ControllerExitedError struct {
	Controller string
	Reason     string // the last line of its log, or its exit status if it has logged nothing
}

// Error implements error.
func (e *ControllerExitedError) Error() string {
	return fmt.Sprintf("controller %s has ended: %s", e.Controller, e.Reason)
}

// NoLeaderError reports that the controllers have not agreed on a leader in time.
type NoLeaderError struct{ Timeout time.Duration }

// Error implements error.
func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("controllers did not agree on a leader within %v", e.Timeout)
}

// FailureError lists the guarantees that the controllers broke during a run.
type FailureError struct{ Reasons []string }

// Error returns the reasons in one line.
func (e *FailureError) Error() string { return strings.Join(e.Reasons, "; ") }
