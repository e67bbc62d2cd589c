package coordination

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"hitchdoor/internal/reachability"
)

// onHealth answers the health check of the load balancer. A node is unhealthy while it is
// draining, or while it reaches neither the key-value store nor another controller and does not
// lead.
func (n *Node) onHealth(r Request) {
	alone := len(n.peers) > 0 && n.peersHeard(n.lease()/4) == 0
	if n.draining || alone && n.elect.stateDown() && !n.authority() {
		n.reply(r.Origin, 503, 0, nil)
		return
	}
	n.reply(r.Origin, 200, 0, health{OK: true, Build: n.build, Level: level})
}

// healthResponse is the response body of a healthy node.
type health struct {
	OK    bool   `json:"ok"`
	Build string `json:"version"`
	Level int    `json:"level"`
}

// nodeStatus is the status of this node for operators.
type status struct {
	Node      string      `json:"node"`
	Leads     bool        `json:"leads"`
	Leader    string      `json:"leader,omitempty"`
	Term      uint64      `json:"term,omitempty"`
	StateDown bool        `json:"stateDown"`
	UptimeS   float64     `json:"uptimeS"`
	Build     string      `json:"version"`
	Level     int         `json:"level"`
	AllNew    bool        `json:"levelOfAll"`
	Peers     []peerState `json:"peers"`
	Leading   *leadStatus `json:"leading,omitempty"`
}

// peerStatus is what this node knows of another controller. ProtocolLevel is 0 if the peer has
// not announced one.
type peerState struct {
	Node  string `json:"node"`
	Heard bool   `json:"heard"`
	Level int    `json:"level"`
}

// onStatus answers with the node's status, and the leader's if this node leads.
func (n *Node) onStatus(r Request) {
	s := status{Node: n.cfg.Node, Leads: n.authority(), StateDown: n.elect.stateDown(),
		UptimeS: n.now.Round(time.Millisecond).Seconds(), Build: n.build, Level: level,
		AllNew: n.allUnderstand(level)}
	for _, k := range n.cfg.Known {
		p := n.peers[k.Node]
		s.Peers = append(s.Peers, peerState{Node: p.name,
			Heard: n.now-p.heard < n.termSpan(), Level: p.level})
	}
	if p := n.leaderPeer(); p != nil {
		s.Leader, s.Term = p.name, p.term
	}
	if s.Leads {
		s.Leader, s.Term = n.cfg.Node, n.lead.term
		s.Leading = n.lead.status()
	}
	n.reply(r.Origin, 200, 0, s)
}

// metricsPage builds a page in the Prometheus text format.
type metricsPage struct{ strings.Builder }

// gauge adds a gauge.
func (p *metricsPage) gauge(name, help string, value float64) {
	fmt.Fprintf(p, "# HELP hitchdoor_%s %s\n# TYPE hitchdoor_%s gauge\nhitchdoor_%s %g\n",
		name, help, name, name, value)
}

// boolGauge adds a gauge that is 1 for true and 0 for false.
func (p *metricsPage) flag(name, help string, value bool) {
	if value {
		p.gauge(name, help, 1)
		return
	}
	p.gauge(name, help, 0)
}

// labelledGauge adds a gauge with one sample per value of a label; values emits the samples.
func (p *metricsPage) labelled(name, help, label string, values func(each func(label string, value float64))) {
	fmt.Fprintf(p, "# HELP hitchdoor_%s %s\n# TYPE hitchdoor_%s gauge\n", name, help, name)
	values(func(of string, value float64) { fmt.Fprintf(p, "hitchdoor_%s{%s=%q} %g\n", name, label, of, value) })
}

// onMetrics answers with the node's metrics, and the leader's if this node leads.
func (n *Node) onMetrics(r Request) {
	p := &metricsPage{}
	p.flag("leading", "1 on the node that leads.", n.authority())
	p.gauge("level", "The level of records and messages that this node's version understands.", level)
	p.flag("level_all", "1 once every node is known to have this level.", n.allUnderstand(level))
	p.flag("state_slowed", "1 while changes are paced by the lower rate that the settings announce.",
		n.slowed)
	p.flag("state_down", "1 while the state service can't be reached.", n.elect.stateDown())
	p.gauge("connections_open", "Connections of users and workers.", float64(n.connections.open))
	p.flag("connections_full", "1 while no more workers are taken in.", n.connections.full)
	p.gauge("workers_stranded", "Workers that came here lately and could not be served.",
		float64(n.linkReport().Stranded))
	p.flag("admission_policy", "1 while submissions are admitted by a policy.", n.policy.policy != nil)
	n.recoveryMetrics(p)
	if n.authority() {
		n.lead.metrics(p)
	}
	n.reply(r.Origin, 200, 0, []byte(p.String()))
}

// writeMetrics adds the leader's metrics to a page.
func (l *leadership) metrics(p *metricsPage) {
	running, pending := 0, 0
	for _, j := range l.runnable {
		running += len(j.runs)
		pending += j.pending
	}
	up, held := 0, 0.0
	for _, m := range l.machines {
		if m.up {
			up++
		}
		if m.kind != nil {
			held += m.kind.Cores
		}
	}
	p.gauge("term", "The leader's term.", float64(l.term))
	p.gauge("jobs_open", "Jobs that are not over.", float64(len(l.jobs)))
	p.gauge("jobs_waiting", "Those of them that wait for others to be done.",
		float64(len(l.jobs)-len(l.runnable)))
	p.gauge("tasks_active", "Tasks on machines.", float64(running))
	p.gauge("tasks_pending", "Tasks that wait.", float64(pending))
	p.gauge("machines", "Machines held.", float64(len(l.machines)))
	p.gauge("machines_up", "Machines that report.", float64(up))
	p.gauge("cores_held", "Cores of the machines held.", held)
	p.gauge("cores_target", "Cores that the fleet aims at.", l.fleet.target)
	p.gauge("writes_waiting", "Changes not yet in the state service.", float64(l.writer.Pending()))
}

// leaderStatus is the part of a node's status that only a leader has.
type leadStatus struct {
	Loaded    bool            `json:"loaded"`
	Accounted bool            `json:"accounted"`
	Recovery  string          `json:"recovery"`
	Writes    int             `json:"writesWaiting"`
	Jobs      []jobStatus     `json:"jobs"`
	Machines  []machineStatus `json:"machines"`
	Target    float64         `json:"targetCores"`
}

// jobStatus is the status of one open job.
type jobStatus struct {
	ID      string     `json:"id"`
	Class   string     `json:"class"`
	Team    string     `json:"team"`
	Done    int        `json:"done"`
	Active  int        `json:"active"`
	Pending int        `json:"pending"`
	Waits   waitReason `json:"waitsFor,omitempty"`
	AgeS    float64    `json:"ageS"`
}

// machineStatus is the status of one machine.
type machineStatus struct {
	Name  string  `json:"name"`
	Type  string  `json:"type"`
	Zone  string  `json:"zone"`
	Spot  bool    `json:"spot"`
	Up    bool    `json:"up"`
	Tasks int     `json:"tasks"`
	Cores float64 `json:"coresUsed"`
	Why   cause   `json:"leaving,omitempty"`
}

// status returns the leader's status with its jobs and machines, sorted by name.
func (l *leadership) status() *leadStatus {
	s := &leadStatus{Loaded: l.loaded, Accounted: l.accountedAll(),
		Recovery: l.recovery.Phase().String(),
		Writes:   l.writer.Pending(), Target: l.fleet.target}
	for _, j := range l.jobs {
		waits := j.waits
		if j.awaits > 0 {
			waits = waitNeeds
		}
		s.Jobs = append(s.Jobs, jobStatus{ID: j.spec.UID, Class: j.spec.Class, Team: j.spec.Team,
			Done: j.done, Active: len(j.runs), Pending: j.pending, Waits: waits,
			AgeS: (l.n.now - j.at).Round(time.Millisecond).Seconds()})
	}
	slices.SortFunc(s.Jobs, func(a, b jobStatus) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range l.held() {
		s.Machines = append(s.Machines, machineStatus{Name: m.name, Type: m.typ, Zone: m.zone,
			Spot: m.spot, Up: m.up, Tasks: len(m.runs), Cores: m.cores, Why: m.why})
	}
	return s
}

// onConnectivity answers with the links that this node sees, for the operators' link overview.
func (n *Node) onLinks(r Request) {
	report := n.linkReport()
	s := reachability.NodeStatus{Node: n.cfg.Node, Leads: n.authority(), State: report.State,
		Hears: report.Hears, Workers: report.Workers, Stranded: report.Stranded,
		FreshMS: n.termSpan().Milliseconds(), Pausing: n.pausing()}
	for _, k := range n.cfg.Known {
		s.Known = append(s.Known, k.Node)
	}
	if leader := n.leaderPeer(); leader != nil {
		s.Follows, s.Term = leader.name, leader.term
	}
	if n.lead != nil {
		s.Term, s.Workers = n.lead.term, len(n.lead.machines)
		s.ServedAgoS = (n.now - n.lead.servedAt).Round(time.Millisecond).Seconds()
	}
	n.reply(r.Origin, 200, 0, s)
}
