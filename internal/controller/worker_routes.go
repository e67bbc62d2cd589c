package controller

import (
	"time"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/protocol"
)

// This file routes workers to controllers. Workers send their heartbeats directly to the leader
// while it has spare connections. Beyond that the leader redirects new workers to the controller
// with the most spare connections, and the followers relay heartbeats and responses over their
// link to the leader.

// Thresholds as shares of a server's connections. A node becomes full at fullThreshold and stays
// so until it is below spareThreshold. The hysteresis keeps workers from being redirected back
// and forth.
const (
	fullThreshold  = 13.0 / 16
	spareThreshold = 11.0 / 16
)

// serverConnections is the load of this node's own server.
type serverConnections struct {
	open, limit int // limit is 0 while it is unknown
	full        bool
}

// update records the present load and applies the thresholds.
func (c *serverConnections) update(load ServerLoad) {
	c.open, c.limit = load.Open, load.Limit
	switch open := float64(c.open); {
	case c.limit == 0:
		c.full = false
	case open >= fullThreshold*float64(c.limit):
		c.full = true
	case open < spareThreshold*float64(c.limit):
		c.full = false
	}
}

// spareConnections is how many more workers the node accepts before it is full.
func (c *serverConnections) spareConnections() int {
	if c.full {
		return 0
	}
	return max(0, int(fullThreshold*float64(c.limit))-c.open)
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
func (r *peerCapacity) recordHeartbeat(heartbeat protocol.PeerHeartbeat, sharers int) {
	r.known = heartbeat.ConnectionsFull || heartbeat.SpareConnections > 0
	r.full = heartbeat.ConnectionsFull
	r.remaining = heartbeat.SpareConnections / max(1, sharers)
}

// reserveConnection reserves one of the remaining connections and reports whether there was one.
func (r *peerCapacity) reserveConnection() bool {
	if !r.known {
		return true
	}
	if r.full || r.remaining <= 0 {
		return false
	}
	r.remaining--
	return true
}

// workerRoute is the routing state of a worker that this node doesn't serve as the leader.
type workerRoute struct {
	redirectedAt clock.Instant // when the worker was last redirected to another node
	relayUntil   clock.Instant // its heartbeats are relayed until then
	redirectedTo string        // the node that it was last redirected to
	lastArrival  clock.Instant // when it last sent a heartbeat to this node
	strandedAt   clock.Instant // when this node last could neither serve nor relay it
}

// routeOf returns the routing state of a worker and creates it if there is none.
func (n *Node) routeOf(worker string) *workerRoute {
	route := n.workerRoutes[worker]
	if route == nil {
		route = &workerRoute{redirectedAt: clock.Never, relayUntil: clock.Never, lastArrival: clock.Never, strandedAt: clock.Never}
		n.workerRoutes[worker] = route
	}
	return route
}

// nodeSearchDuration is the longest time that a worker needs to try all nodes until one answers.
func (n *Node) nodeSearchDuration() time.Duration {
	return time.Duration(n.cfg.Cluster.ControllerCount) * (protocol.HeartbeatTimeout + protocol.NextNodeDelay)
}

// recentlyRedirectedTo reports whether the worker was redirected to a node so lately that its
// return shows that it can't reach that node. It may have tried all other nodes before it returned.
func (n *Node) recentlyRedirectedTo(route *workerRoute, node string) bool {
	return route.redirectedTo == node && n.now-route.redirectedAt < n.nodeSearchDuration()
}

// redirectWorker redirects a worker to another node.
func (n *Node) redirectWorker(request Request, route *workerRoute, node string) {
	route.redirectedAt, route.redirectedTo = n.now, node
	n.reply(request.Origin, 421, 0, protocol.HeartbeatRedirect{Node: node})
}

// onWorkerHeartbeat answers a worker's heartbeat if this node leads, and otherwise relays it or
// redirects the worker to the leader.
func (n *Node) onWorkerHeartbeat(request Request) {
	if n.holdsLeaderLease() {
		if request.Origin.Peer == "" && n.redirectNewWorker(request) {
			return
		}
		n.leader.onWorkerHeartbeat(request)
		return
	}
	if request.Origin.Peer != "" {
		n.reply(request.Origin, 503, 0, nil)
		return
	}
	route := n.routeOf(request.Heartbeat.Machine)
	route.lastArrival = n.now
	leaderPeer := n.leaderPeer()
	if leaderPeer == nil {
		route.strandedAt = n.now
		n.replyUnavailable(request.Origin)
		return
	}
	n.relayOrRedirectWorker(request, route, leaderPeer)
}

// relayOrRedirectWorker handles a worker's heartbeat on a follower. It relays for a worker that
// can't reach the leader, or if the leader has no spare connection, and redirects all others.
func (n *Node) relayOrRedirectWorker(request Request, route *workerRoute, leaderPeer *peer) {
	if n.now >= route.relayUntil && n.recentlyRedirectedTo(route, leaderPeer.name) {
		route.relayUntil = n.now + 2*n.workerLease()
	}
	if n.now >= route.relayUntil && leaderPeer.workerCapacity.reserveConnection() {
		n.redirectWorker(request, route, leaderPeer.name)
		return
	}
	n.forwardToPeer(leaderPeer, request, n.relayTimeout())
}

// relayTimeout is how long this node waits for the leader's response to a relayed heartbeat. It is
// well within the time after which the worker discards the response.
func (n *Node) relayTimeout() time.Duration {
	return min(n.workerLease()/6, protocol.HeartbeatTimeout*7/8)
}

// redirectNewWorker redirects a worker that this full leader doesn't serve yet to a controller
// with spare connections. Workers that are served already stay, and so does one that returns,
// because it can't reach the other node. If no controller has a spare connection, the worker is
// served here and the server serves its workers in turns.
func (n *Node) redirectNewWorker(request Request) bool {
	if !n.connections.full || n.leader.servesDirectly(request.Heartbeat.Machine) {
		return false
	}
	route := n.routeOf(request.Heartbeat.Machine)
	target := n.leastLoadedPeer()
	if target == nil || n.recentlyRedirectedTo(route, route.redirectedTo) {
		return false
	}
	target.workerCapacity.reserveConnection()
	n.connections.open-- // the worker closes its connection, but the next count may be late
	n.redirectWorker(request, route, target.name)
	return true
}

// leastLoadedPeer is the peer with the most spare connections, or nil if none reports any.
func (n *Node) leastLoadedPeer() *peer {
	var best *peer
	for _, known := range n.cfg.Peers {
		candidate := n.peers[known.Node]
		if n.now-candidate.lastContact < n.leaderLease() &&
			candidate.workerCapacity.known && !candidate.workerCapacity.full && candidate.workerCapacity.remaining > 0 &&
			(best == nil || candidate.workerCapacity.remaining > best.workerCapacity.remaining) {
			best = candidate
		}
	}
	return best
}

// servesDirectly reports whether the worker's last heartbeat arrived within the last lease on a
// connection of this node's own.
func (l *leader) servesDirectly(worker string) bool {
	machine := l.Machines[worker]
	return machine != nil && machine.RelayPeer == "" && l.node.now-machine.LastHeartbeat < l.node.workerLease()
}

// expireRoutes removes the workers that have not returned. The table is bounded by age and not by
// size: with a bound below the number of machines it would be cleared again and again, no worker
// would ever be relayed for, and a leader that workers can't reach would lose them all.
func (n *Node) expireRoutes() {
	if n.now < n.routesPrunedAt+n.workerLease() {
		return
	}
	n.routesPrunedAt = n.now
	for name, route := range n.workerRoutes {
		if n.now >= route.relayUntil && !n.recentlyRedirectedTo(route, route.redirectedTo) &&
			n.now-route.lastArrival >= n.nodeSearchDuration() {
			delete(n.workerRoutes, name)
		}
	}
}

// capacitySharers is how many nodes may redirect workers to the sender of a heartbeat: all others
// to a leader, and the leader alone to a follower.
func (n *Node) capacitySharers(heartbeat protocol.PeerHeartbeat) int {
	if heartbeat.IsLeader {
		return len(n.peers)
	}
	return 1
}

// maxEarlyHeartbeats bounds the worker heartbeats that wait while a leader reads the stored
// records. Each holds a connection, here or at a peer.
func (n *Node) maxEarlyHeartbeats() int {
	return n.maxPendingRequests() * n.cfg.Cluster.ControllerCount
}
