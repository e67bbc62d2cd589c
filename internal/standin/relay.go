package standin

import (
	"net"
	"sync"
	"time"
)

// Relay passes connections on to an address and can stop either direction, as a flaky switch
// does: bytes that are stopped arrive once it heals, and nobody is told of it.
type Relay struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	healed  *sync.Cond
	there   bool // bytes towards the address are stopped
	back    bool // bytes from it are stopped
	closed  bool
	members map[net.Conn]bool
}

// NewRelay starts a relay to an address.
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

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Stop sets which directions are stopped.
func (r *Relay) Stop(there, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.there, r.back = there, back
	r.healed.Broadcast()
}

// Close ends the relay and its connections.
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

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(conn)
	}
}

// join connects a caller with the address.
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

// pass copies bytes while their direction is not stopped.
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

func (r *Relay) leave(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(r.members, conn)
	}
}
