// Package workerrouting decides which controller a worker connects to: whether a follower redirects a
// worker to the leader or relays its heartbeat, and when a full leader redirects workers to its peers.
// It sends no messages.
package workerrouting

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// Router decides which controller a worker connects to. Workers send their heartbeats directly to the
// leader while it has spare connections. A full leader redirects new workers to the controller with the
// most spare connections, and the followers relay heartbeats and responses over their links to the
// leader. The router sends no messages: the controller that owns it carries out its decisions.
type Router struct {
	host           Host
	cluster        *config.Cluster
	peerNames      []string // in order of preference among peers with equal capacity
	Connections    ServerConnections
	peerCapacities map[string]*peerCapacity // by peer name
	Routes         map[string]*Route        // by worker name
	prunedAt       clock.Instant            // when ExpireRoutes last searched for expired routes
}

// Host provides the state of the controller that owns the router.
type Host interface {
	// Now returns the time of the controller's current step.
	Now() clock.Instant
	// PeerReachable reports whether a message of the peer arrived within the last leader lease.
	PeerReachable(name string) bool
}

// NewRouter returns a router without routes. peerNames are the names of the other controllers.
func NewRouter(host Host, cluster *config.Cluster, peerNames []string) *Router {
	router := &Router{host: host, cluster: cluster, peerNames: peerNames,
		peerCapacities: map[string]*peerCapacity{}, Routes: map[string]*Route{}}
	for _, name := range peerNames {
		router.peerCapacities[name] = &peerCapacity{}
	}
	return router
}

// Decision is what a follower does with a worker's heartbeat.
type Decision int

// These are the decisions that a follower can make.
const (
	RejectHeartbeat  Decision = iota // no leader is known, and the worker is told to retry
	RedirectToLeader                 // the worker is told to connect to the leader
	RelayToLeader                    // the heartbeat is forwarded to the leader
)

// Route is the routing state of a worker that this node has handled as a follower, or has redirected as
// a full leader.
type Route struct {
	redirectedAt  clock.Instant // when the worker was last redirected to another node
	RelayUntil    clock.Instant // the time until which the worker's heartbeats are relayed
	redirectedTo  string        // the node that the worker was last redirected to
	lastHeartbeat clock.Instant // when this node, as a follower, last received a heartbeat of the worker
	strandedAt    clock.Instant // when this node last could neither serve nor relay a heartbeat of the worker
}

// RouteOf returns the route of a worker and creates it if there is none.
func (r *Router) RouteOf(worker string) *Route {
	route := r.Routes[worker]
	if route == nil {
		route = &Route{
			redirectedAt: clock.Never, RelayUntil: clock.Never,
			lastHeartbeat: clock.Never, strandedAt: clock.Never,
		}
		r.Routes[worker] = route
	}
	return route
}

// nodeSearchDuration returns the longest time that a worker needs to try all nodes until one responds.
func (r *Router) nodeSearchDuration() time.Duration {
	return time.Duration(r.cluster.ControllerCount) * (protocol.HeartbeatTimeout + protocol.NextNodeDelay)
}

// RelayTimeout returns how long a controller waits for the leader's response to a relayed heartbeat. It
// is below protocol.HeartbeatTimeout, after which the worker discards the response.
func RelayTimeout(workerLease time.Duration) time.Duration {
	return min(workerLease/6, protocol.HeartbeatTimeout*7/8)
}

// recentlyRedirectedTo reports whether the worker was redirected to the node so recently that its
// return shows that it can't reach that node. The limit is nodeSearchDuration, because the worker may
// have tried all other nodes before it came back.
func (r *Router) recentlyRedirectedTo(route *Route, node string) bool {
	return route.redirectedTo == node && r.host.Now()-route.redirectedAt < r.nodeSearchDuration()
}

// recordRedirect records in the route that its worker is now redirected to the node.
func (r *Router) recordRedirect(route *Route, node string) {
	route.redirectedAt = r.host.Now()
	route.redirectedTo = node
}

// RecordPeerHeartbeat records the spare connections that a peer's heartbeat reports. A leader's spare
// connections are divided among all other nodes, because each of them redirects workers to the leader.
// Only the leader redirects workers to a follower.
func (r *Router) RecordPeerHeartbeat(peerName string, heartbeat protocol.PeerHeartbeat) {
	sharers := 1
	if heartbeat.IsLeader {
		sharers = len(r.peerNames)
	}
	r.peerCapacities[peerName].recordHeartbeat(heartbeat, sharers)
}

// DecideOnFollower decides what a follower does with a worker's heartbeat. leaderName is empty if no
// leader is known. A follower relays the heartbeat if the leader has no spare connection. It also
// relays if the worker can't reach the leader, and goes on to do so for two worker leases. Otherwise
// it redirects the worker.
func (r *Router) DecideOnFollower(worker, leaderName string) Decision {
	now := r.host.Now()
	route := r.RouteOf(worker)
	route.lastHeartbeat = now
	if leaderName == "" {
		route.strandedAt = now
		return RejectHeartbeat
	}
	if now >= route.RelayUntil && r.recentlyRedirectedTo(route, leaderName) {
		route.RelayUntil = now + 2*r.cluster.WorkerLease()
	}
	if now >= route.RelayUntil && r.peerCapacities[leaderName].reserveConnection() {
		r.recordRedirect(route, leaderName)
		return RedirectToLeader
	}
	return RelayToLeader
}

// RedirectFromLeader picks the controller to which this full leader redirects a worker that it
// doesn't serve yet. It returns false if the leader should serve the worker itself: either the worker
// came back from a redirect, because it can't reach the other node, or no reachable controller has a
// spare connection. In the latter case the leader's transport.Server closes worker connections, so
// that the workers take turns.
func (r *Router) RedirectFromLeader(worker string) (node string, redirect bool) {
	route := r.RouteOf(worker)
	target := r.leastLoadedPeer()
	if target == "" || r.recentlyRedirectedTo(route, route.redirectedTo) {
		return "", false
	}
	r.peerCapacities[target].reserveConnection()
	r.Connections.Open-- // The worker closes its connection, but the next Update may come later.
	r.recordRedirect(route, target)
	return target, true
}

// leastLoadedPeer returns the reachable peer with the most spare connections, or "" if no reachable
// peer has any.
func (r *Router) leastLoadedPeer() string {
	best, bestRemaining := "", 0
	for _, name := range r.peerNames {
		capacity := r.peerCapacities[name]
		if r.host.PeerReachable(name) && capacity.hasSpare() && capacity.remaining > bestRemaining {
			best, bestRemaining = name, capacity.remaining
		}
	}
	return best
}

// RecordServed records that the leader responded to a relayed heartbeat of the worker, which is
// therefore not stranded.
func (r *Router) RecordServed(worker string) { r.RouteOf(worker).strandedAt = clock.Never }

// RecordStranded records that a heartbeat of the worker could neither be served nor relayed.
func (r *Router) RecordStranded(worker string) {
	r.RouteOf(worker).strandedAt = r.host.Now()
}

// CountWorkers counts the workers that sent a heartbeat within the last nodeSearchDuration while this
// node was a follower (recent), and the workers whose heartbeat could neither be served nor relayed
// in that time (stranded).
func (r *Router) CountWorkers() (recent, stranded int) {
	now, window := r.host.Now(), r.nodeSearchDuration()
	for _, route := range r.Routes {
		if now-route.lastHeartbeat < window {
			recent++
		}
		if now-route.strandedAt < window {
			stranded++
		}
	}
	return recent, stranded
}

// ExpireRoutes removes the routes of workers that have not come back, at most once per worker lease.
// Routes are limited by age and not by number. With a limit below the number of machines, routes
// would be removed again and again and no worker would ever be relayed. A leader that workers can't
// reach would then lose all its workers.
func (r *Router) ExpireRoutes() {
	now := r.host.Now()
	if now < r.prunedAt+r.cluster.WorkerLease() {
		return
	}
	r.prunedAt = now
	for name, route := range r.Routes {
		if now >= route.RelayUntil && !r.recentlyRedirectedTo(route, route.redirectedTo) &&
			now-route.lastHeartbeat >= r.nodeSearchDuration() {
			delete(r.Routes, name)
		}
	}
}
