package workerrouting

import "hitchdoor/internal/protocol"

// These thresholds are shares of a server's connection limit. A node becomes full at fullThreshold and
// stays full until its load is below spareThreshold. The hysteresis prevents workers from being
// redirected back and forth.
const (
	fullThreshold  = 13.0 / 16
	spareThreshold = 11.0 / 16
)

// ServerConnections tracks the connections of users and workers to this node's own server.
type ServerConnections struct {
	Open, limit int  // limit is 0 until the first update
	Full        bool // if this node leads, it redirects new workers while it is full
}

// Update records the numbers of open and allowed connections and updates Full.
func (c *ServerConnections) Update(open, limit int) {
	c.Open, c.limit = open, limit
	switch count := float64(open); {
	case c.limit == 0:
		c.Full = false
	case count >= fullThreshold*float64(c.limit):
		c.Full = true
	case count < spareThreshold*float64(c.limit):
		c.Full = false
	}
}

// Spare returns how many more workers may connect before the node is full.
func (c *ServerConnections) Spare() int {
	if c.Full {
		return 0
	}
	return max(0, int(fullThreshold*float64(c.limit))-c.Open)
}

// peerCapacity tracks the spare connections of a peer, from its last heartbeat and the redirects
// since. A peer of an earlier version reports no spare connections and is assumed to have enough.
type peerCapacity struct {
	known     bool // whether the last heartbeat reported the capacity
	full      bool
	remaining int // number of workers that this node may still redirect to the peer
}

// recordHeartbeat records the capacity that a peer's heartbeat reports. The spare connections are
// divided evenly among the nodes that may redirect workers to the peer, whose number is sharers.
func (c *peerCapacity) recordHeartbeat(heartbeat protocol.PeerHeartbeat, sharers int) {
	c.known = heartbeat.ConnectionsFull || heartbeat.SpareConnections > 0
	c.full = heartbeat.ConnectionsFull
	c.remaining = heartbeat.SpareConnections / max(1, sharers)
}

// reserveConnection reserves one of the remaining connections and reports whether there was one. It
// always returns true if the capacity is unknown.
func (c *peerCapacity) reserveConnection() bool {
	if !c.known {
		return true
	}
	if c.full || c.remaining <= 0 {
		return false
	}
	c.remaining--
	return true
}

// hasSpare reports whether the peer reported spare connections that this node has not used up.
func (c *peerCapacity) hasSpare() bool { return c.known && !c.full && c.remaining > 0 }
