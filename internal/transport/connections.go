package transport

import (
	"net"
	"sync"
)

// connectionSet contains the open connections of a server or a client. A shutdown closes all of them at
// once and can wait until they are removed.
type connectionSet struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
	empty  chan struct{} // closed when the set is closed and its last connection is removed
}

// newConnectionSet returns an empty set.
func newConnectionSet() *connectionSet {
	return &connectionSet{open: map[net.Conn]struct{}{}, empty: make(chan struct{})}
}

// add adds a connection. If the set is closed, it closes the connection immediately.
func (s *connectionSet) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[conn] = struct{}{}
	if s.closed {
		conn.Close()
	}
}

// remove removes a connection that is closed or about to be closed. It ignores a connection that is not
// in the set.
func (s *connectionSet) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, present := s.open[conn]; !present {
		return
	}
	delete(s.open, conn)
	s.signalIfEmpty()
}

// close closes all connections. Connections that are added later are closed immediately.
func (s *connectionSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for conn := range s.open {
		conn.Close()
	}
	s.signalIfEmpty()
}

// signalIfEmpty unblocks wait if the set is closed and has no connections left. Connections that are
// added later do not block wait again: add closes them immediately. The caller must hold mu.
func (s *connectionSet) signalIfEmpty() {
	if !s.closed || len(s.open) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// wait blocks until the set is closed and all its connections are removed.
func (s *connectionSet) wait() { <-s.empty }
