package fakes

import (
	"context"
	"net"
	"sync"
	"time"
)

// Relay is a TCP proxy that can block either direction, as a faulty switch does: neither end is
// notified, and the bytes held back arrive once the direction is unblocked.
type Relay struct {
	listener net.Listener
	target   string

	mu                sync.Mutex
	unblocked         *sync.Cond
	blockedToTarget   bool          // no bytes pass towards the target
	blockedFromTarget bool          // no bytes pass from the target
	delay             time.Duration // by which bytes are held back in either direction
	closed            bool
	connections       map[net.Conn]bool

	dialContext context.Context // context of dials to the target, cancelled by Close
	cancelDials context.CancelFunc
	goroutines  sync.WaitGroup // counts the relay's goroutines
}

// NewRelay starts a relay that listens on a free loopback port and forwards to target.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, connections: map[net.Conn]bool{}}
	r.unblocked = sync.NewCond(&r.mu)
	r.dialContext, r.cancelDials = context.WithCancel(context.Background())
	r.goroutines.Go(r.acceptConnections)
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Block sets which directions are blocked, on open and on later connections.
func (r *Relay) Block(toTarget, fromTarget bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blockedToTarget, r.blockedFromTarget = toTarget, fromTarget
	r.unblocked.Broadcast()
}

// SetDelay sets by how long bytes are held back in either direction.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Close closes the listener and all connections of the relay, and waits for its goroutines.
func (r *Relay) Close() {
	r.cancelDials()
	r.closeAll()
	r.goroutines.Wait()
}

// closeAll closes the listener and all connections.
func (r *Relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.listener.Close()
	for conn := range r.connections {
		conn.Close()
	}
	r.unblocked.Broadcast()
}

// acceptConnections accepts connections until the listener is closed.
func (r *Relay) acceptConnections() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.connectToTarget(conn) })
	}
}

// dialTimeout bounds the time to connect to the target.
const dialTimeout = time.Second

// connectToTarget connects a client to the target and forwards bytes in both directions.
func (r *Relay) connectToTarget(client net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(r.dialContext, "tcp4", r.target)
	if err != nil {
		client.Close()
		return
	}
	if !r.addConnections(client, server) {
		client.Close()
		server.Close()
		return
	}
	r.goroutines.Go(func() { r.forwardBytes(client, server, &r.blockedToTarget) })
	r.forwardBytes(server, client, &r.blockedFromTarget)
}

// addConnections records connections, so that Close closes them. It returns false if the relay is
// already closed.
func (r *Relay) addConnections(connections ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	for _, conn := range connections {
		r.connections[conn] = true
	}
	return true
}

// forwardBytes copies bytes from one end to the other until either closes. It waits while *blocked is
// true.
func (r *Relay) forwardBytes(from, to net.Conn, blocked *bool) {
	defer r.closeConnections(from, to)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		for *blocked && !r.closed {
			r.unblocked.Wait()
		}
		delay := r.delay
		r.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// closeConnections closes connections and removes them from the relay.
func (r *Relay) closeConnections(connections ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range connections {
		conn.Close()
		delete(r.connections, conn)
	}
}
