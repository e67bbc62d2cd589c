package controller

import (
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reachability"
)

// Connectivity between controllers, by direction, and the reaction to asymmetric partitions.
// Package reachability evaluates the reports; this file collects them and acts on the result.

// connectivity is what a node knows of the links between all controllers.
type connectivity struct {
	matrix              *reachability.Matrix
	invalidReportLogged map[string]bool // peers whose invalid reports were logged
}

// Time spans of these decisions, in worker leases.
const (
	// strandedResignLeases is how long a leader serves too few workers before it resigns for those
	// stranded at another node. It limits these resignations to one per worker lease.
	strandedResignLeases = 1.0
	// relayAfterLeases is how long a leader that no worker reaches waits before it makes its
	// peers relay for all workers that connect to them. Every directProbeIntervalLeases a few
	// workers are redirected to the leader for directProbeLeases, to test the direct route.
	relayAfterLeases          = 0.5
	directProbeIntervalLeases = 4.0
	directProbeLeases         = 0.25
)

// newConnectivity returns the state of a node that has heard of no link yet.
func newConnectivity(self string, peers map[string]*peer) connectivity {
	names := []string{self}
	for name := range peers {
		names = append(names, name)
	}
	return connectivity{matrix: reachability.NewMatrix(names), invalidReportLogged: map[string]bool{}}
}

// connectivityReport returns what this node tells its peers about its links and workers.
func (n *Node) connectivityReport() *protocol.LinkReport {
	report := &protocol.LinkReport{StoreReachable: !n.election.StoreFailing()}
	for _, k := range n.cfg.Peers {
		if age := n.now - n.peers[k.Node].LastContact; age < n.workerLease() {
			report.IncomingLinks = append(report.IncomingLinks, reachability.IncomingLink{Node: k.Node, AgeMS: age.Milliseconds()})
		}
	}
	report.RecentWorkers, report.StrandedWorkers = n.workerRouter.CountWorkers()
	if worst := n.connectivity.matrix.MostStrandedElsewhere(n.cfg.Node, n.now, n.leaderLease()); worst.Workers > 0 {
		report.MostStranded = &worst
	}
	return report
}

// onConnectivityReport records a peer's connectivity report. An invalid report is ignored and
// logged once per peer.
func (n *Node) onConnectivityReport(sender *peer, report *protocol.LinkReport) {
	if report == nil {
		return // an earlier version, which sends no report
	}
	err := n.connectivity.matrix.RecordReport(sender.Name, n.now, report.ReachabilityReport())
	if err != nil && !n.connectivity.invalidReportLogged[sender.Name] {
		n.connectivity.invalidReportLogged[sender.Name] = true
		n.log.Warn("invalid connectivity report from peer", "peer", sender.Name, "error", err)
	}
}

// twoWayPeerCount returns the number of peers with which messages pass in both directions.
func (n *Node) twoWayPeerCount() int {
	return n.connectivity.matrix.CountBidirectional(n.cfg.Node, n.now, n.leaderLease(), func(node string) bool {
		peer := n.peers[node]
		return peer != nil && n.now-peer.LastContact < n.leaderLease()
	})
}

// arrivedBySameRoute reports whether a worker's heartbeat arrived by the same route as the one
// before it. If so, the response to the previous one has reached the worker: without a response
// the worker would have turned to another node. With a single node nothing can be concluded.
func (l *leader) arrivedBySameRoute(machine *cluster.Machine, heartbeat *protocol.WorkerHeartbeat, via string) bool {
	return len(l.node.peers) > 0 && machine.LastHeartbeat != clock.Never && machine.RelayPeer == via &&
		heartbeat.Epoch == machine.Epoch && heartbeat.Sequence == machine.HeartbeatSeq+1
}

// recordDelivery records that a response has reached a machine's worker, through the peer via if
// that is set.
func (l *leader) recordDelivery(machine *cluster.Machine, via string) {
	l.lastDelivery, machine.LastDelivery = l.node.now, l.node.now
	if via == "" {
		l.lastDirectDelivery = l.node.now
	}
}

// needsRelays reports whether peers should relay for all workers that connect to them. This is
// the case if workers connect to other nodes while no response is delivered directly: the
// workers can't reach this node, and a redirect would cost each of them seconds of its lease.
func (l *leader) needsRelays() bool {
	return l.timeWithoutDirectDelivery() > l.node.workerLeases(relayAfterLeases)
}

// probesDirectRoute reports whether a few workers should be redirected to this node now although
// relays are needed. There is no other way to detect that they can reach it again.
func (l *leader) probesDirectRoute() bool {
	return l.timeWithoutDirectDelivery()%l.node.workerLeases(directProbeIntervalLeases) <
		l.node.workerLeases(directProbeLeases)
}

// timeWithoutDirectDelivery returns how long workers have connected to other nodes while no
// response was delivered directly.
func (l *leader) timeWithoutDirectDelivery() time.Duration {
	node := l.node
	if !node.settings.LinkDecisions || !l.workersReachPeers() {
		l.workersElsewhereSince = clock.Never
		return 0
	}
	if l.workersElsewhereSince == clock.Never {
		l.workersElsewhereSince = node.now
	}
	return node.now - max(l.workersElsewhereSince, l.lastDirectDelivery)
}

// workersReachPeers reports whether some peer reports workers that connect to it.
func (l *leader) workersReachPeers() bool {
	for name := range l.node.peers {
		if report, ok := l.node.connectivity.matrix.LatestReport(name, l.node.now, l.node.leaderLease()); ok &&
			report.RecentWorkers > 0 {
			return true
		}
	}
	return false
}

// resignReason returns why this leader should resign in favour of another node that would serve
// more workers, or "" if there is none. That is the case if workers are stranded at another node and
// either this leader has served none for one worker lease, or the stranded ones have clearly
// outnumbered those served here for as long.
func (n *Node) resignReason() string {
	current := n.leader
	successor := n.connectivity.matrix.Successor(n.cfg.Node, n.now, n.leaderLease())
	if !n.settings.LinkDecisions || successor.Workers == 0 {
		current.lastServedMajority = n.now
		return "" // the common case: don't iterate over all machines
	}
	if successor.Workers <= strandedMajorityFactor*current.recentlyServedWorkers() {
		current.lastServedMajority = n.now
	}
	patience := n.workerLeases(strandedResignLeases)
	if n.now-current.lastDelivery >= patience || n.now-current.lastServedMajority >= patience {
		return "workers stranded at " + successor.Node
	}
	return ""
}

// strandedMajorityFactor is the ratio of workers stranded elsewhere to those served here above
// which the stranded ones clearly outnumber the others.
const strandedMajorityFactor = 2

// recentlyServedWorkers returns the number of machines whose worker received a response within
// the last worker lease.
func (l *leader) recentlyServedWorkers() int {
	count := 0
	for _, machine := range l.Machines {
		if machine.Up && l.node.now-machine.LastDelivery < l.node.workerLease() {
			count++
		}
	}
	return count
}
