package coordination

import (
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reachability"
)

// Connectivity between controllers, by direction, and the reaction to asymmetric partitions.
// Package reachability evaluates the reports; this file collects them and acts on the result.

// connectivity is what a node knows of the links between all controllers, and its record of
// resignations caused by them.
type linkState struct {
	matrix     *reachability.Matrix
	refusedLog map[string]bool // peers whose invalid reports were logged

	resignations int     // consecutive ones, each within resignationMemoryLeases of the previous
	resignedAt   Instant // last resignation
	pauseUntil   Instant // this node starts no candidacy before
	leaderless   Instant // since when the leader key is absent; never: it was present
}

// Time spans of these decisions, in worker leases.
const (
	// strandedResignLeases is how long a leader serves too few workers before it resigns for those
	// stranded at another node. It limits these resignations to one per worker lease.
	handOverAfter = 1.0
	// relayAfterLeases is how long a leader that no worker reaches waits before it makes its
	// peers relay for all workers that connect to them. Every directProbeIntervalLeases a few
	// workers are redirected to the leader for directProbeLeases, to test the direct route.
	relaysAfter      = 0.5
	probeRelaysEvery = 4.0
	probeRelaysFor   = 0.25
	// After a resignation a node starts no candidacy for firstPauseLeases. The pause doubles
	// with each further resignation up to maxPauseLeases, and is reset if the last one is more
	// than resignationMemoryLeases ago.
	firstPause   = 1.0
	longestPause = 8.0
	pauseMemory  = 32.0
)

// newConnectivity returns the state of a node that has heard of no link yet.
func newLinkState(self string, peers map[string]*peer) linkState {
	names := []string{self}
	for name := range peers {
		names = append(names, name)
	}
	return linkState{matrix: reachability.NewMatrix(names), refusedLog: map[string]bool{},
		resignedAt: never, pauseUntil: never, leaderless: never}
}

// workerLeases converts a number of worker leases to a duration.
func (n *Node) leases(count float64) time.Duration { return time.Duration(count * float64(n.lease())) }

// connectivityReport returns what this node tells its peers about its links and workers.
func (n *Node) linkReport() *protocol.LinkReport {
	r := &protocol.LinkReport{State: !n.elect.stateDown()}
	for _, k := range n.cfg.Known {
		if age := n.now - n.peers[k.Node].heard; age < n.lease() {
			r.Hears = append(r.Hears, reachability.Heard{Node: k.Node, AgeMS: age.Milliseconds()})
		}
	}
	for _, route := range n.routes {
		if n.now-route.came < n.searchSpan() {
			r.Workers++
		}
		if n.now-route.stranded < n.searchSpan() {
			r.Stranded++
		}
	}
	if worst := n.links.matrix.WorstElsewhere(n.cfg.Node, n.now, n.termSpan()); worst.Stranded > 0 {
		r.Worst = &worst
	}
	return r
}

// onConnectivityReport records a peer's connectivity report. An invalid report is ignored and
// logged once per peer.
func (n *Node) onLinkReport(p *peer, r *protocol.LinkReport) {
	if r == nil {
		return // an earlier version, which sends no report
	}
	err := n.links.matrix.Observe(p.name, n.now, r.Report())
	if err != nil && !n.links.refusedLog[p.name] {
		n.links.refusedLog[p.name] = true
		n.log.Warn("invalid connectivity report from peer", "peer", p.name, "error", err)
	}
}

// twoWayPeerCount returns the number of peers with which messages pass in both directions.
func (n *Node) twoWayPeers() int {
	return n.links.matrix.TwoWay(n.cfg.Node, n.now, n.termSpan(), func(node string) bool {
		p := n.peers[node]
		return p != nil && n.now-p.heard < n.termSpan()
	})
}

// arrivedBySameRoute reports whether a worker's heartbeat arrived by the same route as the one
// before it. If so, the response to the previous one has reached the worker: without a response
// the worker would have turned to another node. With a single node nothing can be concluded.
func (l *leadership) stayed(m *machine, rep *protocol.Report, via string) bool {
	return len(l.n.peers) > 0 && m.heard != never && m.via == via &&
		rep.Session == m.session && rep.Seq == m.seq+1
}

// recordDelivery records that a response has reached a machine's worker, through the peer via if
// that is set.
func (l *leadership) served(m *machine, via string) {
	l.servedAt, m.servedAt = l.n.now, l.n.now
	if via == "" {
		l.servedDirectAt = l.n.now
	}
}

// needsRelays reports whether peers should relay for all workers that connect to them. This is
// the case if workers connect to other nodes while no response is delivered directly: the
// workers can't reach this node, and a redirect would cost each of them seconds of its lease.
func (l *leadership) wantsRelays() bool {
	return l.alone() > l.n.leases(relaysAfter)
}

// probesDirectRoute reports whether a few workers should be redirected to this node now although
// relays are needed. There is no other way to detect that they can reach it again.
func (l *leadership) probesRelays() bool {
	return l.alone()%l.n.leases(probeRelaysEvery) <
		l.n.leases(probeRelaysFor)
}

// timeWithoutDirectDelivery returns how long workers have connected to other nodes while no
// response was delivered directly.
func (l *leadership) alone() time.Duration {
	n := l.n
	if !n.set.LinkDecisions || !l.workersElsewhere() {
		l.elsewhereSince = never
		return 0
	}
	if l.elsewhereSince == never {
		l.elsewhereSince = n.now
	}
	return n.now - max(l.elsewhereSince, l.servedDirectAt)
}

// workersReachPeers reports whether some peer reports workers that connect to it.
func (l *leadership) workersElsewhere() bool {
	for name := range l.n.peers {
		if said, ok := l.n.links.matrix.Latest(name, l.n.now, l.n.termSpan()); ok &&
			said.Workers > 0 {
			return true
		}
	}
	return false
}

// resignIfWorkersStranded makes a leader resign if another node would serve more workers. That is
// the case if workers are stranded at another node and either this leader has served none for one
// worker lease, or the stranded ones have clearly outnumbered those served here for as long.
func (n *Node) handOver() {
	l := n.lead
	to := n.links.matrix.Successor(n.cfg.Node, n.now, n.termSpan())
	if !n.set.LinkDecisions || to.Stranded == 0 {
		l.servesMostAt = n.now
		return // the common case: don't iterate over all machines
	}
	if to.Stranded <= clearlyMore*l.servedWorkers() {
		l.servesMostAt = n.now
	}
	patience := n.leases(handOverAfter)
	if n.now-l.servedAt >= patience || n.now-l.servesMostAt >= patience {
		n.resign("workers stranded at " + to.Node)
	}
}

// strandedMajorityFactor is the ratio of workers stranded elsewhere to those served here above
// which the stranded ones clearly outnumber the others.
const clearlyMore = 2

// recentlyServedWorkers returns the number of machines whose worker received a response within
// the last worker lease.
func (l *leadership) servedWorkers() int {
	count := 0
	for _, m := range l.machines {
		if m.up && l.n.now-m.servedAt < l.n.lease() {
			count++
		}
	}
	return count
}

// resign steps down and pauses this node's candidacies, longer with each resignation.
func (n *Node) resign(why string) {
	k := &n.links
	if n.now-k.resignedAt > n.leases(pauseMemory) {
		k.resignations = 0
	}
	k.resignedAt = n.now
	pause := min(n.leases(longestPause),
		n.leases(firstPause)<<min(k.resignations, 8))
	k.resignations++
	k.pauseUntil, k.leaderless = n.now+pause, never
	n.stepDown(why)
}

// candidacyPaused reports whether this node must not become a candidate after a resignation. The
// pause ends early if there has been no leader for one worker lease.
func (n *Node) pausing() bool {
	k := &n.links
	return n.now < k.pauseUntil &&
		(k.leaderless == never || n.now-k.leaderless < n.lease())
}
