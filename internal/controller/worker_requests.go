package controller

import (
	"net/http"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/workerrouting"
)

// This file handles the heartbeats of workers. Package workerrouting decides which node serves a
// worker.

// onWorkerHeartbeat processes a worker's heartbeat if this node leads. Otherwise it relays the
// heartbeat or redirects the worker to the leader.
func (n *Node) onWorkerHeartbeat(request Request) {
	if n.holdsLeaderLease() {
		if request.Origin.Peer == "" && n.redirectNewWorker(request) {
			return
		}
		n.leader.onWorkerHeartbeat(request)
		return
	}
	if request.Origin.Peer != "" {
		n.rejections.Add(request.Kind, rejection.NotLeader)
		n.reply(request.Origin, http.StatusServiceUnavailable, 0, nil)
		return
	}
	n.routeHeartbeatToLeader(request)
}

// routeHeartbeatToLeader handles a worker's heartbeat on a follower.
func (n *Node) routeHeartbeatToLeader(request Request) {
	leaderPeer := n.leaderPeer()
	leaderName := ""
	if leaderPeer != nil {
		leaderName = leaderPeer.Name
	}
	switch n.workerRouter.DecideOnFollower(request.Heartbeat.Machine, leaderName) {
	case workerrouting.RedirectToLeader:
		n.redirectWorker(request, leaderName)
	case workerrouting.RelayToLeader:
		n.forwards.sendToPeer(leaderPeer, request)
	case workerrouting.RejectHeartbeat:
		n.reject(request, rejection.NoLeader)
	}
}

// redirectNewWorker redirects a worker that this leader doesn't serve yet to another controller, if
// this leader's connections are full. It reports whether it redirected the worker.
func (n *Node) redirectNewWorker(request Request) bool {
	worker := request.Heartbeat.Machine
	if !n.workerRouter.Connections.Full || n.leader.servesDirectly(worker) {
		return false
	}
	target, redirect := n.workerRouter.RedirectFromLeader(worker)
	if redirect {
		n.redirectWorker(request, target)
	}
	return redirect
}

// redirectWorker tells a worker to send its heartbeats to another node.
func (n *Node) redirectWorker(request Request, node string) {
	n.reply(request.Origin, http.StatusMisdirectedRequest, 0, protocol.HeartbeatRedirect{Node: node})
}

// servesDirectly reports whether the worker's last heartbeat arrived on one of this node's own
// connections, within the last worker lease.
func (l *leader) servesDirectly(worker string) bool {
	machine := l.Machines[worker]
	return machine != nil && machine.RelayPeer == "" && l.node.now-machine.LastHeartbeat < l.node.workerLease()
}

// PeerReachable reports whether a message of the peer arrived within the duration of a leader lease.
func (n *Node) PeerReachable(name string) bool {
	return n.now-n.peers[name].LastContact < n.leaderLease()
}
