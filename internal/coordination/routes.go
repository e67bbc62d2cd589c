package coordination

import (
	"time"

	"hitchdoor/internal/protocol"
)

// A worker's reports go straight to the leader, as long as that has connections to spare.
// Beyond that they are spread: the leader sends newcomers to the controller with the most
// room, and the others pass reports and answers on over their link to the leader.

// ServerLoad is a command that tells how many connections of users and workers are open,
// of how many that the server takes.
type ServerLoad struct{ Open, Limit int }

// Shares of a server's connections. A node is full at the first one, and has room again
// below the second: in between nothing changes, so that workers aren't sent to and fro.
const (
	fullShare = 13.0 / 16
	roomShare = 11.0 / 16
)

// connections is what a node knows of its own server's connections.
type connections struct {
	open, limit int // limit 0: not known
	full        bool
}

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

// room is how many more workers the node takes before it is full.
func (c *connections) room() int {
	if c.full {
		return 0
	}
	return max(0, int(fullShare*float64(c.limit))-c.open)
}

// peerRoom is what a peer last said of its connections. A version that says nothing of them
// takes all that come.
type peerRoom struct {
	known bool
	full  bool
	left  int // connections that this node may still send it workers for
}

// heard takes a heartbeat. Its room is shared by so many nodes that may send workers there.
func (r *peerRoom) heard(m protocol.Heartbeat, sharers int) {
	r.known = m.Full || m.Room > 0
	r.full = m.Full
	r.left = m.Room / max(1, sharers)
}

// take uses one of the connections left, if there is one.
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

// workerRoute is what this node has told a worker that it does not serve by itself.
type workerRoute struct {
	redirected Instant // last time the worker was sent to another node
	relayUntil Instant // its reports are passed on until then
	to         string  // the node that it was sent to
	came       Instant // last time that it came here
	stranded   Instant // last time that it could not be served here
}

func (n *Node) routeOf(worker string) *workerRoute {
	route := n.routes[worker]
	if route == nil {
		route = &workerRoute{redirected: never, relayUntil: never, came: never, stranded: never}
		n.routes[worker] = route
	}
	return route
}

// searchSpan is how long a worker may take to try all nodes, the last of which it reaches.
func (n *Node) searchSpan() time.Duration {
	return time.Duration(n.cfg.Cluster.Count) * (protocol.ReportTimeout + protocol.NextNodePause)
}

// cameBack tells whether the worker was sent to a node a short while ago, so that it does not
// get through there. On its way back it may have tried all others.
func (n *Node) cameBack(route *workerRoute, to string) bool {
	return route.to == to && n.now-route.redirected < n.searchSpan()
}

// redirect sends a worker to another node.
func (n *Node) redirect(r Request, route *workerRoute, to string) {
	route.redirected, route.to = n.now, to
	n.reply(r.Origin, 421, 0, protocol.Redirect{ReportTo: to})
}

// onReport answers a worker's report if this node leads, and otherwise passes it on or sends
// the worker to the leader.
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

// relayOrRedirect serves a worker that reports to a follower. It is relayed for if it can't
// reach the leader, or the leader has no connection to spare.
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

// relayPatience is how long the leader's answer to a relayed report is waited for: well
// within the time after which its worker drops it.
func (n *Node) relayPatience() time.Duration {
	return min(n.lease()/6, protocol.ReportTimeout*7/8)
}

// redirectNewcomer sends a worker that this full leader has not served yet to a controller
// that has room. Those that are served stay, and so does one that comes back: it can't
// reach the other node. Without any such node, or where all are full, it is served here,
// and the server takes its workers in turns.
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
	n.connections.open-- // it closes its connection; the next count may be some reports away
	n.redirect(r, route, to.name)
	return true
}

// roomiestPeer is the peer that can take in the most workers, if one says that it can.
func (n *Node) roomiestPeer() *peer {
	var best *peer
	for _, k := range n.cfg.Known {
		p := n.peers[k.Node]
		if n.now-p.heard < n.termSpan() && p.room.known && !p.room.full && p.room.left > 0 &&
			(best == nil || p.room.left > best.room.left) {
			best = p
		}
	}
	return best
}

// servedHere tells whether the worker's last report came over a connection of this node's
// own, within the last lease.
func (l *leadership) servedHere(worker string) bool {
	m := l.machines[worker]
	return m != nil && m.via == "" && l.n.now-m.heard < l.n.lease()
}

// tickRoutes forgets the workers that have not come back. Bounded by their number
// instead, the table was begun anew again and again where there were more machines, so
// that none was ever relayed for: a leader that workers could not reach lost them all.
func (n *Node) tickRoutes() {
	if n.now < n.routesAt+n.lease() {
		return
	}
	n.routesAt = n.now
	for name, route := range n.routes {
		if n.now >= route.relayUntil && !n.cameBack(route, route.to) && n.now-route.came >= n.searchSpan() {
			delete(n.routes, name)
		}
	}
}

// roomSharers is how many nodes may send workers to the sender of a heartbeat: all others to a
// leader, and the leader alone to anybody else.
func (n *Node) roomSharers(m protocol.Heartbeat) int {
	if m.Leads {
		return len(n.peers)
	}
	return 1
}

// maxEarlyReports bounds the reports that wait while a leader reads the records: each has a
// connection here or at a peer.
func (n *Node) maxEarlyReports() int { return n.maxWaiting() * n.cfg.Cluster.Count }
