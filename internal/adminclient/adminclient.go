// Package adminclient implements the operators' diagnostic commands: it queries all controllers at
// their client addresses and prints the results. It is read-only.
package adminclient

import (
	"fmt"
	"net"
	"sync"
	"time"

	"hitchdoor/internal/controller"
	"hitchdoor/internal/json"
	"hitchdoor/internal/transport"
)

// maxResponseBytes is the maximum size of the body of a controller's response.
const maxResponseBytes = 16 << 20

// Options say which controllers are queried, and how long each query may take.
type Options struct {
	Addresses []string      // client addresses of all controllers, host:port
	Timeout   time.Duration // of each query
}

// Validate returns an *InvalidOptionError for invalid options.
func (o *Options) Validate() error {
	if len(o.Addresses) == 0 {
		return &InvalidOptionError{Flag: "--nodes", Reason: "missing: name the client addresses of all controllers"}
	}
	for _, address := range o.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &InvalidOptionError{Flag: "--nodes", Reason: fmt.Sprintf("%q is not host:port", address)}
		}
	}
	if o.Timeout <= 0 {
		return &InvalidOptionError{Flag: "--timeout", Reason: fmt.Sprintf("must be above 0, is %v", o.Timeout)}
	}
	return nil
}

// nodeResponse is the decoded response of a node, or the error of the query.
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

// queryNode queries one node over a connection of its own. The error in the response is a
// *NoResponseError, a *StatusError, or the error of decoding the body.
func queryNode[T any](address, path string, timeout time.Duration) nodeResponse[T] {
	response := nodeResponse[T]{address: address}
	client := transport.NewClient(address, transport.ClientOptions{
		MaxConnections: 1, DialTimeout: timeout, IdleTimeout: timeout, MaxResponseBytes: maxResponseBytes})
	defer client.Close()
	result := client.Do(controller.ServiceCall{Method: "GET", Path: path, Timeout: timeout})
	switch {
	case result.Status == 0:
		response.err = &NoResponseError{Timeout: timeout}
	case result.Status != 200:
		response.err = &StatusError{Status: result.Status}
	default:
		if err := json.Unmarshal(result.Body, &response.value); err != nil {
			response.err = fmt.Errorf("response can't be decoded: %w", err)
		}
	}
	return response
}
