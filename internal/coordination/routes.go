package coordination

import (
	"time"

	"hitchdoor/internal/protocol"
)

// This file routes workers to controllers. Workers send their heartbeats directly to the leader
// while it has spare connections. Beyond that the leader redirects new workers to the controller
// with the most spare connections, and the followers relay heartbeats and responses over their
// link to the leader.

// ServerLoad is a command that reports how many connections of users and workers are open, and
// how many the server accepts at most.
type ServerLoad struct{ Open, Limit int }

// Thresholds as shares of a server's connections. A node becomes full at fullThreshold and stays
// so until it is below spareThreshold. The hysteresis keeps workers from being redirected back
// and forth.
const (
	fullShare = 13.0 / 16
	roomShare = 11.0 / 16
)

// serverConnections is the load of this node's own server.
type connections struct {
	open, limit int // limit is 0 while it is unknown
	full        bool
}

// update records the present load and applies the thresholds.
func (c *connections) take(load ServerLoad) {
	c.open, c.limit = load.Open, load.Limit
	switch open := float64(c.open); {
	case c.limit == 0:
		c.full = false
	case open >= fullShare*float64(c.limit):
		c.full = true
	case open < roomShare*float64(c.limit):
		c.full = false
	}
}

// spareConnections is how many more workers the node accepts before it is full.
func (c *connections) room() int {
	if c.full {
		return 0
	}
	return max(0, int(fullShare*float64(c.limit))-c.open)
}

// peerCapacity is the number of spare connections in a peer's last heartbeat. A peer of an earlier
// version doesn't report it and is assumed to have enough.
type peerRoom struct {
	known bool
	full  bool
	left  int // workers that this node may still redirect to it
}

// recordHeartbeat records the capacity in a peer's heartbeat. It is divided evenly by sharers, the
// number of nodes that may redirect workers to the peer.
func (r *peerRoom) heard(m protocol.Heartbeat, sharers int) {
	r.known = m.Full || m.Room > 0
	r.full = m.Full
	r.left = m.Room / max(1, sharers)
}

// reserveConnection reserves one of the remaining connections and reports whether there was one.
func (r *peerRoom) take() bool {
	if !r.known {
		return true
	}
	if r.full || r.left <= 0 {
		return false
	}
	r.left--
	return true
}

// workerRoute is the routing state of a worker that this node doesn't serve as the leader.
type workerRoute struct {
	redirected Instant // when the worker was last redirected to another node
	relayUntil Instant // its heartbeats are relayed until then
	to         string  // the node that it was last redirected to
	came       Instant // when it last sent a heartbeat to this node
	stranded   Instant // when this node last could neither serve nor relay it
}

// routeOf returns the routing state of a worker and creates it if there is none.
func (n *Node) routeOf(worker string) *workerRoute {
	route := n.routes[worker]
	if route == nil {
		route = &workerRoute{redirected: never, relayUntil: never, came: never, stranded: never}
		n.routes[worker] = route
	}
	return route
}

// nodeSearchDuration is the longest time that a worker needs to try all nodes until one answers.
func (n *Node) searchSpan() time.Duration {
	return time.Duration(n.cfg.Cluster.Count) * (protocol.ReportTimeout + protocol.NextNodePause)
}

// recentlyRedirectedTo reports whether the worker was redirected to a node so lately that its
// return shows that it can't reach that node. It may have tried all other nodes before it returned.
func (n *Node) cameBack(route *workerRoute, to string) bool {
	return route.to == to && n.now-route.redirected < n.searchSpan()
}

// redirectWorker redirects a worker to another node.
func (n *Node) redirect(r Request, route *workerRoute, to string) {
	route.redirected, route.to = n.now, to
	n.reply(r.Origin, 421, 0, protocol.Redirect{ReportTo: to})
}

// onWorkerHeartbeat answers a worker's heartbeat if this node leads, and otherwise relays it or
// redirects the worker to the leader.
func (n *Node) onReport(r Request) {
	if n.authority() {
		if r.Origin.Peer == "" && n.redirectNewcomer(r) {
			return
		}
		n.lead.onReport(r)
		return
	}
	if r.Origin.Peer != "" {
		n.reply(r.Origin, 503, 0, nil)
		return
	}
	route := n.routeOf(r.Report.Machine)
	route.came = n.now
	leader := n.leaderPeer()
	if leader == nil {
		route.stranded = n.now
		n.unavailable(r.Origin)
		return
	}
	n.relayOrRedirect(r, route, leader)
}

// relayOrRedirectWorker handles a worker's heartbeat on a follower. It relays for a worker that
// can't reach the leader, or if the leader has no spare connection, and redirects all others.
func (n *Node) relayOrRedirect(r Request, route *workerRoute, leader *peer) {
	if n.now >= route.relayUntil && n.cameBack(route, leader.name) {
		route.relayUntil = n.now + 2*n.lease()
	}
	if n.now >= route.relayUntil && leader.room.take() {
		n.redirect(r, route, leader.name)
		return
	}
	n.forward(leader, r, n.relayPatience())
}

// relayTimeout is how long this node waits for the leader's response to a relayed heartbeat. It is
// well within the time after which the worker discards the response.
func (n *Node) relayPatience() time.Duration {
	return min(n.lease()/6, protocol.ReportTimeout*7/8)
}

// redirectNewWorker redirects a worker that this full leader doesn't serve yet to a controller
// with spare connections. Workers that are served already stay, and so does one that returns,
// because it can't reach the other node. If no controller has a spare connection, the worker is
// served here and the server serves its workers in turns.
func (n *Node) redirectNewcomer(r Request) bool {
	if !n.connections.full || n.lead.servedHere(r.Report.Machine) {
		return false
	}
	route := n.routeOf(r.Report.Machine)
	to := n.roomiestPeer()
	if to == nil || n.cameBack(route, route.to) {
		return false
	}
	to.room.take()
	n.connections.open-- // the worker closes its connection, but the next count may be late
	n.redirect(r, route, to.name)
	return true
}

// leastLoadedPeer is the peer with the most spare connections, or nil if none reports any.
func (n *Node) roomiestPeer() *peer {
	var best *peer
	for _, k := range n.cfg.Known {
		p := n.peers[k.Node]
		if n.now-p.heard < n.termSpan() &&
			p.room.known && !p.room.full && p.room.left > 0 &&
			(best == nil || p.room.left > best.room.left) {
			best = p
		}
	}
	return best
}

// servesDirectly reports whether the worker's last heartbeat arrived within the last lease on a
// connection of this node's own.
func (l *leadership) servedHere(worker string) bool {
	m := l.machines[worker]
	return m != nil && m.via == "" && l.n.now-m.heard < l.n.lease()
}

// expireRoutes removes the workers that have not returned. The table is bounded by age and not by
// size: with a bound below the number of machines it would be cleared again and again, no worker
// would ever be relayed for, and a leader that workers can't reach would lose them all.
func (n *Node) tickRoutes() {
	if n.now < n.routesAt+n.lease() {
		return
	}
	n.routesAt = n.now
	for name, route := range n.routes {
		if n.now >= route.relayUntil && !n.cameBack(route, route.to) &&
			n.now-route.came >= n.searchSpan() {
			delete(n.routes, name)
		}
	}
}

// capacitySharers is how many nodes may redirect workers to the sender of a heartbeat: all others
// to a leader, and the leader alone to a follower.
func (n *Node) roomSharers(m protocol.Heartbeat) int {
	if m.Leads {
		return len(n.peers)
	}
	return 1
}

// maxEarlyHeartbeats bounds the worker heartbeats that wait while a leader reads the stored
// records. Each holds a connection, here or at a peer.
func (n *Node) maxEarlyReports() int { return n.maxWaiting() * n.cfg.Cluster.Count }
