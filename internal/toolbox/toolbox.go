// Package toolbox asks the controllers on behalf of an operator and prints what they say. It
// changes nothing.
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

// maxAnswer bounds an answer of a controller.
const maxAnswer = 16 << 20

// Options say whom to ask.
type Options struct {
	Nodes   []string // client addresses, host:port
	Timeout time.Duration
}

// Check tells whether the options make sense.
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

// answer is what a node said, or why it said nothing that can be used.
type answer[T any] struct {
	address string
	value   T
	err     error
}

// askAll asks all nodes at once.
func askAll[T any](o Options, path string) []answer[T] {
	answers := make([]answer[T], len(o.Nodes))
	var wait sync.WaitGroup
	for i, node := range o.Nodes {
		wait.Go(func() { answers[i] = ask[T](node, path, o.Timeout) })
	}
	wait.Wait()
	return answers
}

func ask[T any](node, path string, timeout time.Duration) answer[T] {
	out := answer[T]{address: node}
	client := transport.NewClient(node, transport.ClientOptions{Connections: 1, Dial: timeout, Idle: timeout, MaxBody: maxAnswer})
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

// IncompleteError says why a report is not the whole truth.
type IncompleteError struct{ Reasons []string }

func (e *IncompleteError) Error() string {
	return "could not find out all: " + strings.Join(e.Reasons, "; ")
}

// add notes a reason.
func (e *IncompleteError) add(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

// orNil is the error, if there is any reason for it.
func (e *IncompleteError) orNil() error {
	if len(e.Reasons) == 0 {
		return nil
	}
	return e
}
