package controller

import (
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reachability"
)

// connectivityReport returns the report about this node's links and workers that its heartbeats
// carry to the peers.
func (n *Node) connectivityReport() *protocol.LinkReport {
	report := &protocol.LinkReport{StoreReachable: !n.election.StoreFailing()}
	for _, peerConfig := range n.cfg.Peers {
		if age := n.now - n.peers[peerConfig.Node].LastContact; age < n.workerLease() {
			report.IncomingLinks = append(report.IncomingLinks,
				reachability.IncomingLink{Node: peerConfig.Node, AgeMS: age.Milliseconds()})
		}
	}
	report.RecentWorkers, report.StrandedWorkers = n.workerRouter.CountWorkers()
	worst := n.connectivity.matrix.MostStrandedElsewhere(n.cfg.Node, n.now, n.leaderLease())
	if worst.Workers > 0 {
		report.MostStranded = &worst
	}
	return report
}

// twoWayPeerCount returns the number of peers with which messages are exchanged in both directions.
func (n *Node) twoWayPeerCount() int { return n.connectivity.twoWayPeerCount(n.now, n.leaderLease()) }

// nodeLinks implements workerServiceLinks with the connectivity reports that its node has received.
type nodeLinks struct{ node *Node }

// WorkersReachPeers reports whether some peer reports that workers connect to it.
func (l nodeLinks) WorkersReachPeers() bool {
	return l.node.connectivity.workersReachPeers(l.node.now, l.node.leaderLease())
}

// Successor returns the other node with the most stranded workers: workers that contact the node and that
// the node can neither serve nor relay. The count is 0 if there is none.
func (l nodeLinks) Successor() reachability.StrandedCount {
	return l.node.connectivity.matrix.Successor(l.node.cfg.Node, l.node.now, l.node.leaderLease())
}
