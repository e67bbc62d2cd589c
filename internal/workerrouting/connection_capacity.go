package workerrouting

import "hitchdoor/internal/protocol"

// Thresholds as shares of a server's connections. A node becomes full at fullThreshold and stays
// so until it is below spareThreshold. The hysteresis keeps workers from being redirected back
// and forth.
const (
	fullThreshold  = 13.0 / 16
	spareThreshold = 11.0 / 16
)

// ServerConnections is the load of this node's own server.
type ServerConnections struct {
	Open, limit int // limit is 0 while it is unknown
	Full        bool
}

// Update records the present load and applies the thresholds.
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

// Spare returns how many more workers the node accepts before it is full.
func (c *ServerConnections) Spare() int {
	if c.Full {
		return 0
	}
	return max(0, int(fullThreshold*float64(c.limit))-c.Open)
}

// peerCapacity is the number of spare connections in a peer's last heartbeat. A peer of an earlier
// version doesn't report it and is assumed to have enough.
type peerCapacity struct {
	known     bool
	full      bool
	remaining int // workers that this node may still redirect to it
}

// recordHeartbeat records the capacity in a peer's heartbeat. It is divided evenly by sharers, the
// number of nodes that may redirect workers to the peer.
func (c *peerCapacity) recordHeartbeat(heartbeat protocol.PeerHeartbeat, sharers int) {
	c.known = heartbeat.ConnectionsFull || heartbeat.SpareConnections > 0
	c.full = heartbeat.ConnectionsFull
	c.remaining = heartbeat.SpareConnections / max(1, sharers)
}

// reserveConnection reserves one of the remaining connections and reports whether there was one.
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

// hasSpare reports whether the peer has reported connections that this node may still use.
func (c *peerCapacity) hasSpare() bool { return c.known && !c.full && c.remaining > 0 }
