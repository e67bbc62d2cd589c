package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"hitchdoor/internal/cluster"

	"hitchdoor/internal/reachability"
)

// onHealth answers the health check of the load balancer. A node is unhealthy while it is
// draining, or while it reaches neither the key-value store nor another controller and does not
// lead.
func (n *Node) onHealth(request Request) {
	isolated := len(n.peers) > 0 && n.recentPeerCount(n.workerLease()/4) == 0
	if n.draining || isolated && n.election.storeFailing() && !n.holdsLeaderLease() {
		n.reply(request.Origin, 503, 0, nil)
		return
	}
	n.reply(request.Origin, 200, 0, healthResponse{OK: true, Build: n.build, ProtocolLevel: protocolLevel})
}

// healthResponse is the response body of a healthy node.
type healthResponse struct {
	OK            bool   `json:"ok"`
	Build         string `json:"version"`
	ProtocolLevel int    `json:"level"`
}

// nodeStatus is the status of this node for operators.
type nodeStatus struct {
	Node                 string        `json:"node"`
	IsLeader             bool          `json:"leads"`
	Leader               string        `json:"leader,omitempty"`
	Term                 uint64        `json:"term,omitempty"`
	StoreFailing         bool          `json:"stateDown"`
	UptimeS              float64       `json:"uptimeS"`
	Build                string        `json:"version"`
	ProtocolLevel        int           `json:"level"`
	ClusterSupportsLevel bool          `json:"levelOfAll"`
	Peers                []peerStatus  `json:"peers"`
	LeaderStatus         *leaderStatus `json:"leading,omitempty"`
}

// peerStatus is what this node knows of another controller. ProtocolLevel is 0 if the peer has
// not announced one.
type peerStatus struct {
	Node          string `json:"node"`
	Reachable     bool   `json:"heard"`
	ProtocolLevel int    `json:"level"`
}

// onStatus answers with the node's status, and the leader's if this node leads.
func (n *Node) onStatus(request Request) {
	status := nodeStatus{Node: n.cfg.Node, IsLeader: n.holdsLeaderLease(), StoreFailing: n.election.storeFailing(),
		UptimeS: n.now.Round(time.Millisecond).Seconds(), Build: n.build, ProtocolLevel: protocolLevel,
		ClusterSupportsLevel: n.clusterSupports(protocolLevel)}
	for _, known := range n.cfg.Peers {
		p := n.peers[known.Node]
		status.Peers = append(status.Peers, peerStatus{Node: p.name,
			Reachable: n.now-p.lastContact < n.leaderLease(), ProtocolLevel: p.protocolLevel})
	}
	if p := n.leaderPeer(); p != nil {
		status.Leader, status.Term = p.name, p.term
	}
	if status.IsLeader {
		status.Leader, status.Term = n.cfg.Node, n.leader.term
		status.LeaderStatus = n.leader.status()
	}
	n.reply(request.Origin, 200, 0, status)
}

// metricsPage builds a page in the Prometheus text format.
type metricsPage struct{ strings.Builder }

// gauge adds a gauge.
func (p *metricsPage) gauge(name, help string, value float64) {
	fmt.Fprintf(p, "# HELP hitchdoor_%s %s\n# TYPE hitchdoor_%s gauge\nhitchdoor_%s %g\n",
		name, help, name, name, value)
}

// boolGauge adds a gauge that is 1 for true and 0 for false.
func (p *metricsPage) boolGauge(name, help string, value bool) {
	if value {
		p.gauge(name, help, 1)
		return
	}
	p.gauge(name, help, 0)
}

// labelledGauge adds a gauge with one sample per value of a label; values emits the samples.
func (p *metricsPage) labelledGauge(name, help, label string, values func(emit func(label string, value float64))) {
	fmt.Fprintf(p, "# HELP hitchdoor_%s %s\n# TYPE hitchdoor_%s gauge\n", name, help, name)
	values(func(labelValue string, value float64) {
		fmt.Fprintf(p, "hitchdoor_%s{%s=%q} %g\n", name, label, labelValue, value)
	})
}

// onMetrics answers with the node's metrics, and the leader's if this node leads.
func (n *Node) onMetrics(request Request) {
	page := &metricsPage{}
	page.boolGauge("leading", "1 on the node that leads.", n.holdsLeaderLease())
	page.gauge("level", "The level of records and messages that this node's version understands.", protocolLevel)
	page.boolGauge("level_all", "1 once every node is known to have this level.", n.clusterSupports(protocolLevel))
	page.boolGauge("state_slowed", "1 while changes are paced by the lower rate that the settings announce.",
		n.writesThrottled)
	page.boolGauge("state_down", "1 while the state service can't be reached.", n.election.storeFailing())
	page.gauge("connections_open", "Connections of users and workers.", float64(n.workerRouter.connections.open))
	page.boolGauge("connections_full", "1 while no more workers are taken in.", n.workerRouter.connections.full)
	page.gauge("workers_stranded", "Workers that came here lately and could not be served.",
		float64(n.connectivityReport().StrandedWorkers))
	page.boolGauge("admission_policy", "1 while submissions are admitted by a policy.", n.admissionPolicy.current != nil)
	n.recoveryMetrics(page)
	if n.holdsLeaderLease() {
		n.leader.writeMetrics(page)
	}
	n.reply(request.Origin, 200, 0, []byte(page.String()))
}

// writeMetrics adds the leader's metrics to a page.
func (l *leader) writeMetrics(page *metricsPage) {
	running, pending := 0, 0
	for _, j := range l.RunnableJobs {
		running += len(j.Attempts)
		pending += j.PendingTasks
	}
	machinesUp, coresHeld := 0, 0.0
	for _, m := range l.Machines {
		if m.Up {
			machinesUp++
		}
		if m.MachineType != nil {
			coresHeld += m.MachineType.Cores
		}
	}
	page.gauge("term", "The leader's term.", float64(l.term))
	page.gauge("jobs_open", "Jobs that are not over.", float64(len(l.Jobs)))
	page.gauge("jobs_waiting", "Those of them that wait for others to be done.",
		float64(len(l.Jobs)-len(l.RunnableJobs)))
	page.gauge("tasks_active", "Tasks on machines.", float64(running))
	page.gauge("tasks_pending", "Tasks that wait.", float64(pending))
	page.gauge("machines", "Machines held.", float64(len(l.Machines)))
	page.gauge("machines_up", "Machines that report.", float64(machinesUp))
	page.gauge("cores_held", "Cores of the machines held.", coresHeld)
	page.gauge("cores_target", "Cores that the fleet aims at.", l.autoscaler.targetCores)
	page.gauge("writes_waiting", "Changes not yet in the state service.", float64(l.writer.PendingChanges()))
}

// leaderStatus is the part of a node's status that only a leader has.
type leaderStatus struct {
	RecordsLoaded bool            `json:"loaded"`
	AllReconciled bool            `json:"accounted"`
	RecoveryPhase string          `json:"recovery"`
	PendingWrites int             `json:"writesWaiting"`
	Jobs          []jobStatus     `json:"jobs"`
	Machines      []machineStatus `json:"machines"`
	TargetCores   float64         `json:"targetCores"`
}

// jobStatus is the status of one open job.
type jobStatus struct {
	ID        string             `json:"id"`
	Class     string             `json:"class"`
	Team      string             `json:"team"`
	Done      int                `json:"done"`
	Active    int                `json:"active"`
	Pending   int                `json:"pending"`
	BlockedBy cluster.WaitReason `json:"waitsFor,omitempty"`
	AgeS      float64            `json:"ageS"`
}

// machineStatus is the status of one machine.
type machineStatus struct {
	Name        string              `json:"name"`
	Type        string              `json:"type"`
	Zone        string              `json:"zone"`
	Spot        bool                `json:"spot"`
	Up          bool                `json:"up"`
	Tasks       int                 `json:"tasks"`
	UsedCores   float64             `json:"coresUsed"`
	DrainReason cluster.DrainReason `json:"leaving,omitempty"`
}

// status returns the leader's status with its jobs and machines, sorted by name.
func (l *leader) status() *leaderStatus {
	status := &leaderStatus{RecordsLoaded: l.recordsLoaded, AllReconciled: l.AllReconciled(),
		RecoveryPhase: l.recovery.Phase().String(),
		PendingWrites: l.writer.PendingChanges(), TargetCores: l.autoscaler.targetCores}
	for _, j := range l.Jobs {
		blockedBy := j.BlockedBy
		if j.PendingDependencies > 0 {
			blockedBy = cluster.WaitDependencies
		}
		status.Jobs = append(status.Jobs, jobStatus{ID: j.Spec.ID, Class: j.Spec.Class, Team: j.Spec.Team,
			Done: j.DoneTasks, Active: len(j.Attempts), Pending: j.PendingTasks, BlockedBy: blockedBy,
			AgeS: (l.node.now - j.AcceptedAt).Round(time.Millisecond).Seconds()})
	}
	slices.SortFunc(status.Jobs, func(a, b jobStatus) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range l.MachinesByName() {
		status.Machines = append(status.Machines, machineStatus{Name: m.Name, Type: m.TypeName, Zone: m.Zone,
			Spot: m.Spot, Up: m.Up, Tasks: len(m.Attempts), UsedCores: m.UsedCores, DrainReason: m.DrainReason})
	}
	return status
}

// onConnectivity answers with the links that this node sees, for the operators' link overview.
func (n *Node) onConnectivity(request Request) {
	report := n.connectivityReport()
	status := reachability.NodeStatus{Node: n.cfg.Node, IsLeader: n.holdsLeaderLease(), StoreReachable: report.StoreReachable,
		IncomingLinks: report.IncomingLinks, RecentWorkers: report.RecentWorkers, StrandedWorkers: report.StrandedWorkers,
		LinkTimeoutMS: n.leaderLease().Milliseconds(), CandidacyPaused: n.candidacyPaused()}
	for _, known := range n.cfg.Peers {
		status.Peers = append(status.Peers, known.Node)
	}
	if followed := n.leaderPeer(); followed != nil {
		status.LeaderName, status.Term = followed.name, followed.term
	}
	if n.leader != nil {
		status.Term, status.RecentWorkers = n.leader.term, len(n.leader.Machines)
		status.SecondsSinceServed = (n.now - n.leader.lastDelivery).Round(time.Millisecond).Seconds()
	}
	n.reply(request.Origin, 200, 0, status)
}
