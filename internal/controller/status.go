package controller

import (
	"net/http"
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reachability"
	"hitchdoor/internal/statuspage"
)

// statusPages serves the requests of the load balancer, of operators and of metrics collectors about
// the controller itself. It reads the node's state and changes nothing.
type statusPages struct{ node *Node }

// statusPageByKind maps each kind of request about the controller itself to the function that returns
// the status and body of the response.
var statusPageByKind = map[protocol.RequestKind]func(statusPages, Request) (status int, body any){
	protocol.RequestHealth:    statusPages.health,
	protocol.RequestStatus:    statusPages.nodeStatus,
	protocol.RequestMetrics:   statusPages.metrics,
	protocol.RequestAdmission: statusPages.admissionStatus,
	protocol.RequestLinks:     statusPages.connectivity,
	protocol.RequestRecovery:  statusPages.recovery,
}

// health returns the response to the load balancer's health check. A node is unhealthy while it is
// draining, or while it reaches neither the key-value store nor another controller and does not
// lead.
func (p statusPages) health(Request) (int, any) {
	n := p.node
	isolated := len(n.peers) > 0 && n.election.RecentPeerCount(n.workerLease()/4) == 0
	if n.draining || isolated && n.election.StoreFailing() && !n.holdsLeaderLease() {
		return http.StatusServiceUnavailable, nil
	}
	return http.StatusOK, statuspage.HealthResponse{OK: true, Build: n.build, ProtocolLevel: protocolLevel}
}

// nodeStatus returns the HTTP status and the node's status page, with the leader's status if this node
// leads.
func (p statusPages) nodeStatus(Request) (int, any) {
	n := p.node
	status := statuspage.NodeStatus{Node: n.cfg.Node, IsLeader: n.holdsLeaderLease(),
		StoreFailing: n.election.StoreFailing(), UptimeS: n.now.Round(time.Millisecond).Seconds(),
		Build: n.build, ProtocolLevel: protocolLevel,
		ClusterSupportsLevel: n.clusterSupports(protocolLevel)}
	for _, peerConfig := range n.cfg.Peers {
		peer := n.peers[peerConfig.Node]
		status.Peers = append(status.Peers, statuspage.PeerStatus{Node: peer.Name,
			Reachable: n.PeerReachable(peer.Name), ProtocolLevel: peer.protocolLevel})
	}
	if peer := n.leaderPeer(); peer != nil {
		status.Leader, status.Term = peer.Name, peer.Term
	}
	if status.IsLeader {
		status.Leader, status.Term = n.cfg.Node, n.leader.term
		status.LeaderStatus = n.leader.status()
	}
	return http.StatusOK, status
}

// metrics returns the HTTP status and the node's metrics, with the leader's metrics if this node leads.
func (p statusPages) metrics(Request) (int, any) {
	n := p.node
	page := &statuspage.MetricsPage{}
	page.BoolGauge("leading", "1 on the node that leads.", n.holdsLeaderLease())
	page.Gauge("level", "The level of records and messages that this node's version understands.", protocolLevel)
	page.BoolGauge("level_all", "1 once every node is known to have this level.", n.clusterSupports(protocolLevel))
	page.BoolGauge("state_slowed", "1 while changes are paced by the lower rate that the settings announce.",
		n.writesThrottled)
	page.BoolGauge("state_down", "1 while the state service can't be reached.", n.election.StoreFailing())
	page.Gauge("connections_open", "Connections of users and workers.", float64(n.workerRouter.Connections.Open))
	page.BoolGauge("connections_full", "1 while no more workers are taken in.", n.workerRouter.Connections.Full)
	page.Gauge("workers_stranded", "Workers that came here lately and could not be served.",
		float64(n.connectivityReport().StrandedWorkers))
	page.BoolGauge("admission_policy", "1 while submissions are admitted by a policy.",
		n.admissionPolicy.Current != nil)
	page.Gauge("state_read_age_seconds", "Time since the last successful response of the state service.",
		n.election.TimeSinceStoreSuccess(n.now).Seconds())
	page.Gauge("queue_depth", "Commands that wait for the owner.", float64(n.ownerQueue.Depth))
	page.Gauge("queue_wait_seconds", "Longest wait of a command in the last interval.",
		n.ownerQueue.LongestWait.Seconds())
	page.Gauge("health_check_wait_seconds", "Longest wait of a health check in the last interval.",
		n.ownerQueue.HealthCheckDelay.Seconds())
	page.LabelledGauge("invariant_violations", "Violated invariants since the start.", "invariant",
		func(emit func(labelValue string, value float64)) {
			for _, invariant := range invariants {
				emit(string(invariant), float64(n.violations[invariant]))
			}
		})
	page.RejectionCounters(n.rejections.Totals())
	p.recoveryMetrics(page)
	if n.holdsLeaderLease() {
		n.leader.writeMetrics(page)
	}
	return http.StatusOK, []byte(page.String())
}

// status returns the leader's status with its jobs and machines.
func (l *leader) status() *statuspage.LeaderStatus {
	return &statuspage.LeaderStatus{
		RecordsLoaded: l.recordsLoaded,
		AllReconciled: l.AllReconciled(),
		RecoveryPhase: l.recovery.Phase().String(),
		PendingWrites: l.writer.PendingChanges(),
		Jobs:          statuspage.JobStatuses(l.State),
		Machines:      statuspage.MachineStatuses(l.State),
		TargetCores:   l.autoscaler.TargetCores(),
	}
}

// writeMetrics adds the leader's metrics to a page.
func (l *leader) writeMetrics(page *statuspage.MetricsPage) {
	page.Gauge("term", "The leader's term.", float64(l.term))
	page.ClusterGauges(l.State)
	page.Gauge("cores_target", "Cores that the fleet aims at.", l.autoscaler.TargetCores())
	page.Gauge("writes_waiting", "Changes not yet in the state service.", float64(l.writer.PendingChanges()))
}

// connectivity returns the HTTP status and the state of this node's links, from which the operators'
// client assembles an overview of all links.
func (p statusPages) connectivity(Request) (int, any) {
	n := p.node
	report := n.connectivityReport()
	status := reachability.NodeStatus{Node: n.cfg.Node, IsLeader: n.holdsLeaderLease(),
		StoreReachable: report.StoreReachable, IncomingLinks: report.IncomingLinks,
		RecentWorkers: report.RecentWorkers, StrandedWorkers: report.StrandedWorkers,
		LinkTimeoutMS: n.leaderLease().Milliseconds(), CandidacyPaused: n.election.CandidacyPaused()}
	for _, peerConfig := range n.cfg.Peers {
		status.Peers = append(status.Peers, peerConfig.Node)
	}
	if leaderPeer := n.leaderPeer(); leaderPeer != nil {
		status.LeaderName, status.Term = leaderPeer.Name, leaderPeer.Term
	}
	if n.leader != nil {
		status.Term, status.RecentWorkers = n.leader.term, len(n.leader.Machines)
		status.SecondsSinceServed = (n.now - n.leader.lastDelivery).Round(time.Millisecond).Seconds()
	}
	return http.StatusOK, status
}
