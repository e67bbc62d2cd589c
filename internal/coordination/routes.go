package coordination

import (
	"hitchdoor/internal/protocol"
)

// relay remembers that a worker was sent to the leader and came back.
type relay struct {
	sent  Instant // last time the worker was told to go to the leader
	until Instant // relayed until then
}

// onReport answers a worker's report if this node leads, and otherwise sends
// the worker to the leader. A worker that comes back can't reach the leader, so
// this node relays for it.
func (n *Node) onReport(r Request) {
	if n.authority() {
		n.lead.onReport(r)
		return
	}
	if r.Origin.Peer != "" {
		n.reply(r.Origin, 503, 0, nil)
		return
	}
	p := n.leaderPeer()
	if p == nil {
		n.reply(r.Origin, 503, 1, nil)
		return
	}
	name := r.Report.Machine
	rl := n.relays[name]
	if rl == nil {
		rl = &relay{sent: never, until: never}
		n.relays[name] = rl
	}
	if n.now < rl.until || n.now-rl.sent < n.lease()/2 {
		if n.now >= rl.until {
			rl.until = n.now + 2*n.lease()
		}
		n.forward(p, r, n.lease()/6)
		return
	}
	rl.sent = n.now
	n.reply(r.Origin, 421, 0, protocol.Redirect{ReportTo: p.name})
}

// tickRelays forgets the workers that have not come back. Bounded by their number
// instead, the table was begun anew again and again where there were more machines, so
// that none was ever relayed for: a leader that workers could not reach lost them all.
func (n *Node) tickRelays() {
	if n.now < n.relaysAt+n.lease() {
		return
	}
	n.relaysAt = n.now
	for name, rl := range n.relays {
		if n.now >= rl.until && n.now-rl.sent >= n.lease()/2 {
			delete(n.relays, name)
		}
	}
}
