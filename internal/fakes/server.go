package fakes

import (
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Server serves the HTTP interface of a fake on its own loopback port.
type Server struct {
	URL string

	server  *http.Server
	serving sync.WaitGroup // counts the goroutine that accepts connections
}

// newServer starts a server on a free port.
func newServer(handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a fake service on loopback: %w", err)
	}
	s := &Server{URL: "http://" + listener.Addr().String(), server: &http.Server{Handler: handler}}
	s.serving.Go(func() { s.server.Serve(listener) })
	return s, nil
}

// Address returns the server's host:port.
func (s *Server) Address() string { return s.URL[len("http://"):] }

// Close closes the server and all its connections. It does not wait for handlers in progress, which
// return on their own.
func (s *Server) Close() {
	s.server.Close()
	s.serving.Wait()
}
