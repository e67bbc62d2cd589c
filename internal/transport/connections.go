package transport

import (
	"net"
	"sync"
)

// connectionSet holds the open connections of a server or a client, so that all of them can be closed
// at once and their ends be awaited.
type connectionSet struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
	empty  chan struct{} // closed once the set is closed and has no connections left
}

// newConnectionSet returns an empty set.
func newConnectionSet() *connectionSet {
	return &connectionSet{open: map[net.Conn]struct{}{}, empty: make(chan struct{})}
}

// add adds a connection, and closes it at once if the set is closed.
func (s *connectionSet) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[conn] = struct{}{}
	if s.closed {
		conn.Close()
	}
}

// remove removes a connection, after its end.
func (s *connectionSet) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, present := s.open[conn]; !present {
		return
	}
	delete(s.open, conn)
	s.signalIfEmpty()
}

// close closes all connections, and those that are added later.
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

// signalIfEmpty closes empty once the last connection of a closed set is removed. A connection that
// is added later is closed at once and not awaited.
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

// wait waits until the set is closed and all its connections are removed.
func (s *connectionSet) wait() { <-s.empty }
