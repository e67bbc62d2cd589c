// Package workerrouting decides which controller serves a worker: where a follower redirects or
// relays a heartbeat to, and when a full leader hands workers to its peers. It sends nothing.
package workerrouting

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// Router decides which controller serves a worker. Workers send their heartbeats directly to
// the leader while it has spare connections. Beyond that the leader redirects new workers to the
// controller with the most spare connections, and the followers relay heartbeats and responses over
// their link to the leader. The router sends nothing: its owner carries out what it decides.
type Router struct {
	host           Host
	cluster        *config.Cluster
	peerNames      []string // in the order in which they are preferred
	Connections    ServerConnections
	peerCapacities map[string]*peerCapacity // by peer name
	Routes         map[string]*Route        // by worker name
	prunedAt       clock.Instant            // when expired routes were last removed
}

// Host is what the router needs to know of the controller that owns it.
type Host interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// PeerReachable reports whether a message of the peer arrived within the last leader lease.
	PeerReachable(name string) bool
}

// NewRouter returns a router that knows of no worker yet.
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

// The decisions of a follower.
const (
	RejectHeartbeat  Decision = iota // no leader is known; the worker is answered that it may retry
	RedirectToLeader                 // the worker is told to connect to the leader
	RelayToLeader                    // the heartbeat is forwarded to the leader
)

// Route is the routing state of a worker that this node doesn't serve as the leader.
type Route struct {
	redirectedAt  clock.Instant // when the worker was last redirected to another node
	RelayUntil    clock.Instant // its heartbeats are relayed until then
	redirectedTo  string        // the node that it was last redirected to
	lastHeartbeat clock.Instant // when it last sent a heartbeat to this node
	strandedAt    clock.Instant // when this node last could neither serve nor relay it
}

// RouteOf returns the routing state of a worker and creates it if there is none.
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

// nodeSearchDuration returns the longest time that a worker needs to try all nodes until one
// answers.
func (r *Router) nodeSearchDuration() time.Duration {
	return time.Duration(r.cluster.ControllerCount) * (protocol.HeartbeatTimeout + protocol.NextNodeDelay)
}

// RelayTimeout returns how long this node waits for the leader's response to a relayed heartbeat.
// It is well within the time after which the worker discards the response.
func (r *Router) RelayTimeout() time.Duration {
	return min(r.cluster.WorkerLease()/6, protocol.HeartbeatTimeout*7/8)
}

// recentlyRedirectedTo reports whether the worker was redirected to a node so lately that its
// return shows that it can't reach that node. It may have tried all other nodes before it returned.
func (r *Router) recentlyRedirectedTo(route *Route, node string) bool {
	return route.redirectedTo == node && r.host.Now()-route.redirectedAt < r.nodeSearchDuration()
}

// recordRedirect records that a worker is redirected to a node.
func (r *Router) recordRedirect(route *Route, node string) {
	route.redirectedAt = r.host.Now()
	route.redirectedTo = node
}

// RecordPeerHeartbeat records the spare connections in a peer's heartbeat. All other nodes redirect
// workers to a leader, and the leader alone to a follower.
func (r *Router) RecordPeerHeartbeat(peerName string, heartbeat protocol.PeerHeartbeat) {
	sharers := 1
	if heartbeat.IsLeader {
		sharers = len(r.peerNames)
	}
	r.peerCapacities[peerName].recordHeartbeat(heartbeat, sharers)
}

// DecideOnFollower decides what a follower does with the heartbeat of a worker. leaderName is empty
// if no leader is known. A follower relays for a worker that can't reach the leader, or if the
// leader has no spare connection, and redirects all others.
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

// RedirectFromLeader picks the controller that a worker which this full leader doesn't serve yet is
// redirected to. A worker that returns is served here, because it can't reach the other node. If
// no controller has a spare connection, the worker is served here and the server serves its workers
// in turns.
func (r *Router) RedirectFromLeader(worker string) (node string, redirect bool) {
	route := r.RouteOf(worker)
	target := r.leastLoadedPeer()
	if target == "" || r.recentlyRedirectedTo(route, route.redirectedTo) {
		return "", false
	}
	r.peerCapacities[target].reserveConnection()
	r.Connections.Open-- // the worker closes its connection, but the next count may be late
	r.recordRedirect(route, target)
	return target, true
}

// leastLoadedPeer returns the reachable peer with the most spare connections, or empty if none
// reports any.
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

// RecordServed records that the leader answered a relayed heartbeat of a worker.
func (r *Router) RecordServed(worker string) { r.RouteOf(worker).strandedAt = clock.Never }

// RecordStranded records that a worker's heartbeat could neither be served nor relayed.
func (r *Router) RecordStranded(worker string) {
	r.RouteOf(worker).strandedAt = r.host.Now()
}

// CountWorkers counts the workers that came to this node within the time that a worker needs to try
// all nodes, and those among the known ones that could neither be served nor relayed within it.
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

// ExpireRoutes removes the workers that have not returned. The table is bounded by age and not by
// size: with a bound below the number of machines it would be cleared again and again, no worker
// would ever be relayed for, and a leader that workers can't reach would lose them all.
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
