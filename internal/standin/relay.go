package standin

import (
	"net"
	"sync"
	"time"
)

// Relay is a TCP proxy that can block either direction, as a faulty switch does: neither end is
// notified, and the bytes held back arrive once the direction is unblocked.
type Relay struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	healed  *sync.Cond
	there   bool // no bytes pass towards the target
	back    bool // no bytes pass from the target
	closed  bool
	members map[net.Conn]bool
}

// NewRelay starts a relay to a target address.
func NewRelay(to string) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, to: to, members: map[net.Conn]bool{}}
	r.healed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Block sets which directions are blocked.
func (r *Relay) Stop(there, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.there, r.back = there, back
	r.healed.Broadcast()
}

// Close closes the listener and all connections of the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.listener.Close()
	for conn := range r.members {
		conn.Close()
	}
	r.healed.Broadcast()
}

// acceptConnections accepts connections until the listener is closed.
func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(conn)
	}
}

// connectToTarget connects a client with the target and forwards bytes both ways.
func (r *Relay) join(caller net.Conn) {
	target, err := net.DialTimeout("tcp4", r.to, time.Second)
	if err != nil {
		caller.Close()
		return
	}
	r.mu.Lock()
	r.members[caller], r.members[target] = true, true
	r.mu.Unlock()
	go r.pass(caller, target, &r.there)
	r.pass(target, caller, &r.back)
}

// forwardBytes copies bytes from one end to the other, and waits while the direction is blocked.
func (r *Relay) pass(from, to net.Conn, stopped *bool) {
	defer r.leave(from, to)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		for *stopped && !r.closed {
			r.healed.Wait()
		}
		r.mu.Unlock()
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

// closeConnections closes connections and forgets them.
func (r *Relay) leave(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(r.members, conn)
	}
}
