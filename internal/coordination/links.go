package coordination

import (
	"time"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reachability"
)

// What a node knows of the links between all of them, by direction, and what it does about
// half-open cuts: package reachability decides, this file asks and obeys.

// linkState is a node's knowledge of links, and of its own resignations for them.
type linkState struct {
	matrix     *reachability.Matrix
	refusedLog map[string]bool // peers whose impossible reports the log has named

	resignations int     // in a row, each within pauseMemory of the one before
	resignedAt   Instant // the last one
	pauseUntil   Instant // this node leaves it to others to stand
	leaderless   Instant // since when the leader key was found absent; never: it was there
}

// Spans of the decisions, as ratios to the workers' lease.
const (
	// handOverAfter is for how long more workers must be stranded elsewhere before a leader
	// resigns. So by these decisions there is one leader in a lease at most.
	handOverAfter = 1.0
	// relaysAfter is how long a leader that no worker reaches waits before it has others relay
	// for all that come to them; every probeRelaysEvery it is tried again whether they do.
	relaysAfter      = 0.5
	probeRelaysEvery = 4.0
	probeRelaysFor   = 0.25
	// The pause after a resignation begins with firstPause and doubles up to longestPause;
	// resignations further apart than pauseMemory start anew.
	firstPause   = 1.0
	longestPause = 8.0
	pauseMemory  = 32.0
)

func newLinkState(self string, peers map[string]*peer) linkState {
	names := []string{self}
	for name := range peers {
		names = append(names, name)
	}
	return linkState{matrix: reachability.NewMatrix(names), refusedLog: map[string]bool{}, resignedAt: never, pauseUntil: never, leaderless: never}
}

// leases is a span given in worker leases.
func (n *Node) leases(count float64) time.Duration { return time.Duration(count * float64(n.lease())) }

// linkReport is what this node says of its links.
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

// onLinkReport takes what a peer says of its links. What can't be true changes nothing.
func (n *Node) onLinkReport(p *peer, r *protocol.LinkReport) {
	if r == nil {
		return // an earlier version: what it hears is unknown
	}
	err := n.links.matrix.Observe(p.name, n.now, r.Report())
	if err != nil && !n.links.refusedLog[p.name] {
		n.links.refusedLog[p.name] = true
		n.log.Warn("a peer's report of links is refused", "peer", p.name, "error", err)
	}
}

// twoWayPeers counts the peers to which messages pass in both directions.
func (n *Node) twoWayPeers() int {
	return n.links.matrix.TwoWay(n.cfg.Node, n.now, n.termSpan(), func(node string) bool {
		p := n.peers[node]
		return p != nil && n.now-p.heard < n.termSpan()
	})
}

// stayed tells whether a report came the same way as the one before it: then the answer to
// that has reached its worker, which would have gone to another node, if there is one, otherwise.
func (l *leadership) stayed(m *machine, rep *protocol.Report, via string) bool {
	return len(l.n.peers) > 0 && m.heard != never && m.via == via && rep.Session == m.session && rep.Seq == m.seq+1
}

// served notes that an answer has reached a machine's worker.
func (l *leadership) served(m *machine, via string) {
	l.servedAt, m.servedAt = l.n.now, l.n.now
	if via == "" {
		l.servedDirectAt = l.n.now
	}
}

// wantsRelays tells whether workers come to other nodes while none is served directly: then
// they don't get through, and sending them here costs each of them seconds of its lease.
func (l *leadership) wantsRelays() bool {
	return l.alone() > l.n.leases(relaysAfter)
}

// probesRelays tells whether a few workers are to be tried now all the same: whether they get
// through again shows in no other way.
func (l *leadership) probesRelays() bool {
	return l.alone()%l.n.leases(probeRelaysEvery) < l.n.leases(probeRelaysFor)
}

// alone is for how long workers have come to other nodes while none was served directly.
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

// workersElsewhere tells whether some peer says that workers come to it.
func (l *leadership) workersElsewhere() bool {
	for name := range l.n.peers {
		if said, ok := l.n.links.matrix.Latest(name, l.n.now, l.n.termSpan()); ok && said.Workers > 0 {
			return true
		}
	}
	return false
}

// handOver lets a leader go that other nodes can replace to the good of the workers: it has
// served none for a lease while some come to another node and can't be served there, or for a
// lease there were clearly more of those than it serves.
func (n *Node) handOver() {
	l := n.lead
	to := n.links.matrix.Successor(n.cfg.Node, n.now, n.termSpan())
	if !n.set.LinkDecisions || to.Stranded == 0 {
		l.servesMostAt = n.now
		return // as nearly always: the walk over all machines is for the rest
	}
	if to.Stranded <= clearlyMore*l.servedWorkers() {
		l.servesMostAt = n.now
	}
	patience := n.leases(handOverAfter)
	if n.now-l.servedAt >= patience || n.now-l.servesMostAt >= patience {
		n.resign("workers are stranded at " + to.Node)
	}
}

// clearlyMore is how many times as many workers must be stranded elsewhere as are served here.
const clearlyMore = 2

// servedWorkers counts the machines that an answer has reached within the last lease.
func (l *leadership) servedWorkers() int {
	count := 0
	for _, m := range l.machines {
		if m.up && l.n.now-m.servedAt < l.n.lease() {
			count++
		}
	}
	return count
}

// resign gives up the lead and leaves it to others for a while, longer each time.
func (n *Node) resign(why string) {
	k := &n.links
	if n.now-k.resignedAt > n.leases(pauseMemory) {
		k.resignations = 0
	}
	k.resignedAt = n.now
	pause := min(n.leases(longestPause), n.leases(firstPause)<<min(k.resignations, 8))
	k.resignations++
	k.pauseUntil, k.leaderless = n.now+pause, never
	n.stepDown(why)
}

// pausing tells whether this node leaves it to others to stand: not for longer than a lease
// without any leader.
func (n *Node) pausing() bool {
	k := &n.links
	return n.now < k.pauseUntil && (k.leaderless == never || n.now-k.leaderless < n.lease())
}
