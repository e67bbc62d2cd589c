package standin

import (
	"net"
	"net/http"
)

// Server serves a stand-in on a port of its own on loopback.
type Server struct {
	URL string

	server *http.Server
}

// newServer starts to serve. Without any free port on loopback there is nothing to test.
func newServer(handler http.Handler) *Server {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic("standin: " + err.Error())
	}
	s := &Server{URL: "http://" + listener.Addr().String(), server: &http.Server{Handler: handler}}
	go s.server.Serve(listener)
	return s
}

// Address is the server's host and port.
func (s *Server) Address() string { return s.URL[len("http://"):] }

// Close ends the server and all its connections.
func (s *Server) Close() { s.server.Close() }
