package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// workerRouter decides which controller serves a worker. Workers send their heartbeats directly to
// the leader while it has spare connections. Beyond that the leader redirects new workers to the
// controller with the most spare connections, and the followers relay heartbeats and responses over
// their link to the leader. The router sends nothing: its owner carries out what it decides.
type workerRouter struct {
	host           routingHost
	cluster        *config.Cluster
	peerNames      []string // in the order in which they are preferred
	connections    serverConnections
	peerCapacities map[string]*peerCapacity // by peer name
	routes         map[string]*workerRoute  // by worker name
	prunedAt       clock.Instant            // when expired routes were last removed
}

// routingHost is what the router needs to know of the controller that owns it.
type routingHost interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// PeerReachable reports whether a message of the peer arrived within the last leader lease.
	PeerReachable(name string) bool
}

// newWorkerRouter returns a router that knows of no worker yet.
func newWorkerRouter(host routingHost, cluster *config.Cluster, peerNames []string) *workerRouter {
	router := &workerRouter{host: host, cluster: cluster, peerNames: peerNames,
		peerCapacities: map[string]*peerCapacity{}, routes: map[string]*workerRoute{}}
	for _, name := range peerNames {
		router.peerCapacities[name] = &peerCapacity{}
	}
	return router
}

// routingDecision is what a follower does with a worker's heartbeat.
type routingDecision int

// The decisions of a follower.
const (
	rejectHeartbeat  routingDecision = iota // no leader is known; the worker is answered that it may retry
	redirectToLeader                        // the worker is told to connect to the leader
	relayToLeader                           // the heartbeat is forwarded to the leader
)

// workerRoute is the routing state of a worker that this node doesn't serve as the leader.
type workerRoute struct {
	redirectedAt clock.Instant // when the worker was last redirected to another node
	relayUntil   clock.Instant // its heartbeats are relayed until then
	redirectedTo string        // the node that it was last redirected to
	lastArrival  clock.Instant // when it last sent a heartbeat to this node
	strandedAt   clock.Instant // when this node last could neither serve nor relay it
}

// routeOf returns the routing state of a worker and creates it if there is none.
func (r *workerRouter) routeOf(worker string) *workerRoute {
	route := r.routes[worker]
	if route == nil {
		route = &workerRoute{redirectedAt: clock.Never, relayUntil: clock.Never, lastArrival: clock.Never, strandedAt: clock.Never}
		r.routes[worker] = route
	}
	return route
}

// workerLease returns the duration of the workers' lease.
func (r *workerRouter) workerLease() time.Duration { return config.Seconds(r.cluster.Workers.LeaseS) }

// nodeSearchDuration is the longest time that a worker needs to try all nodes until one answers.
func (r *workerRouter) nodeSearchDuration() time.Duration {
	return time.Duration(r.cluster.ControllerCount) * (protocol.HeartbeatTimeout + protocol.NextNodeDelay)
}

// relayTimeout is how long this node waits for the leader's response to a relayed heartbeat. It is
// well within the time after which the worker discards the response.
func (r *workerRouter) relayTimeout() time.Duration {
	return min(r.workerLease()/6, protocol.HeartbeatTimeout*7/8)
}

// recentlyRedirectedTo reports whether the worker was redirected to a node so lately that its
// return shows that it can't reach that node. It may have tried all other nodes before it returned.
func (r *workerRouter) recentlyRedirectedTo(route *workerRoute, node string) bool {
	return route.redirectedTo == node && r.host.Now()-route.redirectedAt < r.nodeSearchDuration()
}

// recordRedirect records that a worker is redirected to a node.
func (r *workerRouter) recordRedirect(route *workerRoute, node string) {
	route.redirectedAt = r.host.Now()
	route.redirectedTo = node
}

// recordPeerHeartbeat records the spare connections in a peer's heartbeat. All other nodes redirect
// workers to a leader, and the leader alone to a follower.
func (r *workerRouter) recordPeerHeartbeat(peerName string, heartbeat protocol.PeerHeartbeat) {
	sharers := 1
	if heartbeat.IsLeader {
		sharers = len(r.peerNames)
	}
	r.peerCapacities[peerName].recordHeartbeat(heartbeat, sharers)
}

// decideOnFollower decides what a follower does with the heartbeat of a worker. leaderName is empty
// if no leader is known. A follower relays for a worker that can't reach the leader, or if the
// leader has no spare connection, and redirects all others.
func (r *workerRouter) decideOnFollower(worker, leaderName string) routingDecision {
	now := r.host.Now()
	route := r.routeOf(worker)
	route.lastArrival = now
	if leaderName == "" {
		route.strandedAt = now
		return rejectHeartbeat
	}
	if now >= route.relayUntil && r.recentlyRedirectedTo(route, leaderName) {
		route.relayUntil = now + 2*r.workerLease()
	}
	if now >= route.relayUntil && r.peerCapacities[leaderName].reserveConnection() {
		r.recordRedirect(route, leaderName)
		return redirectToLeader
	}
	return relayToLeader
}

// redirectFromLeader picks the controller that a worker which this full leader doesn't serve yet is
// redirected to. A worker that returns is served here, because it can't reach the other node. If
// no controller has a spare connection, the worker is served here and the server serves its workers
// in turns.
func (r *workerRouter) redirectFromLeader(worker string) (node string, redirect bool) {
	route := r.routeOf(worker)
	target := r.leastLoadedPeer()
	if target == "" || r.recentlyRedirectedTo(route, route.redirectedTo) {
		return "", false
	}
	r.peerCapacities[target].reserveConnection()
	r.connections.open-- // the worker closes its connection, but the next count may be late
	r.recordRedirect(route, target)
	return target, true
}

// leastLoadedPeer is the reachable peer with the most spare connections, or empty if none reports
// any.
func (r *workerRouter) leastLoadedPeer() string {
	best, bestRemaining := "", 0
	for _, name := range r.peerNames {
		capacity := r.peerCapacities[name]
		if r.host.PeerReachable(name) && capacity.hasSpare() && capacity.remaining > bestRemaining {
			best, bestRemaining = name, capacity.remaining
		}
	}
	return best
}

// recordServed records that the leader answered a relayed heartbeat of a worker.
func (r *workerRouter) recordServed(worker string) { r.routeOf(worker).strandedAt = clock.Never }

// recordStranded records that a worker's heartbeat could neither be served nor relayed.
func (r *workerRouter) recordStranded(worker string) {
	r.routeOf(worker).strandedAt = r.host.Now()
}

// countWorkers counts the workers that came to this node within the time that a worker needs to try
// all nodes, and those among the known ones that could neither be served nor relayed within it.
func (r *workerRouter) countWorkers() (recent, stranded int) {
	now, span := r.host.Now(), r.nodeSearchDuration()
	for _, route := range r.routes {
		if now-route.lastArrival < span {
			recent++
		}
		if now-route.strandedAt < span {
			stranded++
		}
	}
	return recent, stranded
}

// expireRoutes removes the workers that have not returned. The table is bounded by age and not by
// size: with a bound below the number of machines it would be cleared again and again, no worker
// would ever be relayed for, and a leader that workers can't reach would lose them all.
func (r *workerRouter) expireRoutes() {
	now := r.host.Now()
	if now < r.prunedAt+r.workerLease() {
		return
	}
	r.prunedAt = now
	for name, route := range r.routes {
		if now >= route.relayUntil && !r.recentlyRedirectedTo(route, route.redirectedTo) &&
			now-route.lastArrival >= r.nodeSearchDuration() {
			delete(r.routes, name)
		}
	}
}
