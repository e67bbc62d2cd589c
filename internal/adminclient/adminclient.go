// Package adminclient implements the operators' diagnostic commands: it queries all controllers over
// their client addresses and prints the results. It is read-only.
package adminclient

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/controller"
	"hitchdoor/internal/transport"
)

// maxResponseBytes bounds the body of a controller's response.
const maxResponseBytes = 16 << 20

// Options configure the queries.
type Options struct {
	Addresses []string      // client addresses of all controllers, host:port
	Timeout   time.Duration // of each query
}

// Validate returns an error for invalid options.
func (o *Options) Validate() error {
	if len(o.Addresses) == 0 {
		return fmt.Errorf("--nodes: missing: name the client addresses of all controllers")
	}
	for _, address := range o.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("--nodes: %q is not host:port", address)
		}
	}
	if o.Timeout <= 0 {
		return fmt.Errorf("--timeout: must be above 0, is %v", o.Timeout)
	}
	return nil
}

// nodeResponse is the decoded response of a node, or the error that replaces it.
type nodeResponse[T any] struct {
	address string
	value   T
	err     error
}

// queryAll queries all nodes concurrently. The responses are in the order of the addresses.
func queryAll[T any](options Options, path string) []nodeResponse[T] {
	responses := make([]nodeResponse[T], len(options.Addresses))
	var queries sync.WaitGroup
	for i, address := range options.Addresses {
		queries.Go(func() { responses[i] = queryNode[T](address, path, options.Timeout) })
	}
	queries.Wait()
	return responses
}

// queryNode queries one node.
func queryNode[T any](address, path string, timeout time.Duration) nodeResponse[T] {
	response := nodeResponse[T]{address: address}
	client := transport.NewClient(address, transport.ClientOptions{
		MaxConnections: 1, DialTimeout: timeout, IdleTimeout: timeout, MaxResponseBytes: maxResponseBytes})
	result := client.Do(controller.ServiceCall{Method: "GET", Path: path, Timeout: timeout})
	switch {
	case result.Status == 0:
		response.err = fmt.Errorf("no answer within %v", timeout)
	case result.Status != 200:
		response.err = fmt.Errorf("answers %d", result.Status)
	default:
		if err := json.Unmarshal(result.Body, &response.value); err != nil {
			response.err = fmt.Errorf("answer can't be read: %w", err)
		}
	}
	return response
}

// IncompleteError lists the reasons why a printed result is incomplete or inconsistent.
type IncompleteError struct{ Reasons []string }

// Error returns the reasons in one line.
func (e *IncompleteError) Error() string {
	return "could not find out all: " + strings.Join(e.Reasons, "; ")
}

// addReason adds a reason.
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
