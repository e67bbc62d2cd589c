// Package adminclient implements the operators' diagnostic commands: it queries all controllers over
// their client addresses and prints the results. It is read-only.
package toolbox

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/coordination"
	"hitchdoor/internal/transport"
)

// maxResponseBytes bounds the body of a controller's response.
const maxAnswer = 16 << 20

// Options configure the queries.
type Options struct {
	Nodes   []string      // client addresses of all controllers, host:port
	Timeout time.Duration // of each query
}

// Validate returns an error for invalid options.
func (o *Options) Check() error {
	if len(o.Nodes) == 0 {
		return fmt.Errorf("--nodes: missing: name the client addresses of all controllers")
	}
	for _, node := range o.Nodes {
		if _, _, err := net.SplitHostPort(node); err != nil {
			return fmt.Errorf("--nodes: %q is not host:port", node)
		}
	}
	if o.Timeout <= 0 {
		return fmt.Errorf("--timeout: must be above 0, is %v", o.Timeout)
	}
	return nil
}

// nodeResponse is the decoded response of a node, or the error that replaces it.
type answer[T any] struct {
	address string
	value   T
	err     error
}

// queryAll queries all nodes concurrently. The responses are in the order of the addresses.
func askAll[T any](o Options, path string) []answer[T] {
	answers := make([]answer[T], len(o.Nodes))
	var wait sync.WaitGroup
	for i, node := range o.Nodes {
		wait.Go(func() { answers[i] = ask[T](node, path, o.Timeout) })
	}
	wait.Wait()
	return answers
}

// queryNode queries one node.
func ask[T any](node, path string, timeout time.Duration) answer[T] {
	out := answer[T]{address: node}
	client := transport.NewClient(node, transport.ClientOptions{
		Connections: 1, Dial: timeout, Idle: timeout, MaxBody: maxAnswer})
	result := client.Do(coordination.Call{Method: "GET", Path: path, Timeout: timeout})
	switch {
	case result.Status == 0:
		out.err = fmt.Errorf("no answer within %v", timeout)
	case result.Status != 200:
		out.err = fmt.Errorf("answers %d", result.Status)
	default:
		if err := json.Unmarshal(result.Body, &out.value); err != nil {
			out.err = fmt.Errorf("answer can't be read: %w", err)
		}
	}
	return out
}

// IncompleteError lists the reasons why a printed result is incomplete or inconsistent.
type IncompleteError struct{ Reasons []string }

// Error returns the reasons in one line.
func (e *IncompleteError) Error() string {
	return "could not find out all: " + strings.Join(e.Reasons, "; ")
}

// addReason adds a reason.
func (e *IncompleteError) add(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

// errorOrNil returns the error if it has any reasons, nil otherwise.
func (e *IncompleteError) orNil() error {
	if len(e.Reasons) == 0 {
		return nil
	}
	return e
}
