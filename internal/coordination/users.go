package coordination

import (
	"strconv"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

func utoa(v uint64) string { return strconv.FormatUint(v, 10) }

func queuedState(id string) protocol.JobState {
	done, running := 0, 0
	return protocol.JobState{UID: id, State: protocol.Queued, Done: &done, Running: &running}
}

// forward is a request that was handed to the leader.
type forward struct {
	req   Request
	until Instant
}

// ownAnswers are the requests that a node answers, or passes on, in a way of their own; all
// others are of users about a job.
var ownAnswers = map[protocol.RequestKind]func(*Node, Request){
	protocol.RequestHealth:    (*Node).onHealth,
	protocol.RequestReport:    (*Node).onReport,
	protocol.RequestStatus:    (*Node).onStatus,
	protocol.RequestMetrics:   (*Node).onMetrics,
	protocol.RequestAdmission: (*Node).onAdmission,
	protocol.RequestLinks:     (*Node).onLinks,
	protocol.RequestRecovery:  (*Node).onRecovery,
}

// onRequest routes a request of this node's own connections, or one that a peer passes on.
func (n *Node) onRequest(r Request) {
	if answer := ownAnswers[r.Kind]; answer != nil {
		answer(n, r)
		return
	}
	if f, ok := n.finals.byID[r.ID]; ok {
		n.reply(r.Origin, 200, 0, finalState(r.ID, f)) // it never changes, so any node may say so
		return
	}
	if n.authority() {
		n.lead.onUser(r)
		return
	}
	if r.Origin.Peer != "" {
		// The sender took us for the leader; it falls back by itself.
		n.unavailable(r.Origin)
		return
	}
	if r.Kind == protocol.RequestSubmit {
		// The leader need not see it first, as it watches the open jobs.
		if !n.elect.stateDown() || !n.passOn(r) {
			n.withoutLeader(r)
		}
		return
	}
	if !n.askLeader(r) {
		n.withoutLeader(r)
	}
}

// maxWaiting bounds the requests that wait for something: each has a connection, here
// or at a peer.
func (n *Node) maxWaiting() int { return n.cfg.Cluster.Resources.MaxConnections }

func (n *Node) forward(p *peer, r Request, patience time.Duration) {
	n.nextFwd++
	n.forwards[n.nextFwd] = &forward{req: r, until: n.now + patience}
	// What was parsed is sent, not what came: a body may hold line breaks.
	m := protocol.ForwardedRequest{ID: n.nextFwd, Kind: r.Kind, Job: r.ID}
	switch r.Kind {
	case protocol.RequestSubmit:
		m.Body = storage.Encode(r.Job)
	case protocol.RequestReport:
		m.Body = storage.Encode(r.Report)
	}
	n.send(p.name, m)
}

// passOn hands a submission to the leader, once, where this node alone can't write it:
// the state service may refuse one node while the others are served.
func (n *Node) passOn(r Request) bool {
	if r.Origin.Peer != "" || r.passed {
		return false
	}
	r.passed = true
	return n.askLeader(r)
}

// askLeader hands a user's request to the leader, if one is known.
func (n *Node) askLeader(r Request) bool {
	p := n.leaderPeer()
	if p == nil || len(n.forwards) >= n.maxWaiting() {
		return false
	}
	n.forward(p, r, n.lease()/30)
	return true
}

func (n *Node) tickForwards() {
	for id, f := range n.forwards {
		if n.now >= f.until {
			delete(n.forwards, id)
			n.withoutLeader(f.req)
		}
	}
}

// onForwarded takes a request that a peer hands on.
func (n *Node) onForwarded(p *peer, m protocol.ForwardedRequest) {
	r := Request{Origin: Origin{Ticket: m.ID, Peer: p.name}, Kind: m.Kind, ID: m.Job}
	var err error
	switch m.Kind {
	case protocol.RequestSubmit:
		r.Job, err = protocol.ParseJob(m.Body)
	case protocol.RequestReport:
		r.Report, err = protocol.ParseReport(m.Body)
	}
	if err != nil {
		n.unavailable(r.Origin)
		return
	}
	n.onRequest(r)
}

func (n *Node) onAnswer(m protocol.ForwardedAnswer) {
	f := n.forwards[m.ID]
	if f == nil {
		return
	}
	delete(n.forwards, m.ID)
	if f.req.Kind == protocol.RequestReport && m.Status == 200 {
		n.routeOf(f.req.Report.Machine).stranded = never
	}
	if f.req.Kind == protocol.RequestReport && n.now >= f.until {
		// This process stood still, or the answer did on its way: its worker drops it by now.
		n.withoutLeader(f.req)
		return
	}
	if f.req.Kind != protocol.RequestReport && (m.Status == 200 || m.Status == 201) {
		n.accepted.put(f.req.ID, true)
	}
	if m.Status == 503 && f.req.Kind != protocol.RequestReport && f.req.Kind != protocol.RequestCancel {
		// The leader can't answer; the state service may.
		n.withoutLeader(f.req)
		return
	}
	n.reply(f.req.Origin, m.Status, m.RetryAfter, []byte(m.Body))
}

// withoutLeader serves what can be served from the state service alone.
func (n *Node) withoutLeader(r Request) {
	switch r.Kind {
	case protocol.RequestSubmit:
		n.submitDirect(r, nil)
	case protocol.RequestQuery:
		n.queryDirect(r, nil)
	case protocol.RequestReport:
		n.routeOf(r.Report.Machine).stranded = n.now
		n.unavailable(r.Origin)
	default:
		n.unavailable(r.Origin)
	}
}

// readJob reads what the state service knows of a job. The open record is read
// first: a job moves from open to final, never back.
func (n *Node) readJob(id string, then func(ok bool, open *storage.Item, final *storage.FinalRecord)) {
	if f, ok := n.finals.byID[id]; ok {
		then(true, nil, &f)
		return
	}
	if n.elect.stateLost() || !n.stateBudget.take(n.now, 2) {
		then(false, nil, nil)
		return
	}
	n.stateCall("GET", "/store/"+storage.JobKey(id), nil, func(r Result) {
		var item storage.Item
		if r.Status == 200 && json.Unmarshal(r.Body, &item) == nil {
			n.accepted.put(id, true)
			then(true, &item, nil)
			return
		}
		if r.Status != 404 {
			then(false, nil, nil)
			return
		}
		n.readFinal(id, func(ok bool, final *storage.FinalRecord) { then(ok, nil, final) })
	})
}

// readFinal reads the end of a job, none if it is not over.
func (n *Node) readFinal(id string, then func(ok bool, final *storage.FinalRecord)) {
	n.stateCall("GET", "/store/"+storage.FinalKey(id), nil, func(r Result) {
		var item storage.Item
		if r.Status == 200 && json.Unmarshal(r.Body, &item) == nil {
			n.finalFound(item)
		}
		final, known := n.finals.byID[id]
		switch {
		case known:
			then(true, &final)
		case r.Status == 404:
			then(true, nil)
		default:
			then(false, nil)
		}
	})
}

// queryDirect answers a query from the state service. lead is the leadership
// that asks, if any.
func (n *Node) queryDirect(r Request, lead *leadership) {
	if !protocol.ValidJobID(r.ID) {
		n.reply(r.Origin, 404, 0, nil)
		return
	}
	n.answerKnown(r, lead, noSuchJob)
}

// answerKnown answers with what the state service knows of a job; otherwise is
// the status of a job that it does not know. The authority of the leadership
// that asks must still hold then.
func (n *Node) answerKnown(r Request, lead *leadership, otherwise denial) {
	n.readTruth(r.ID, func(ok bool, open *storage.Item, final *storage.FinalRecord) {
		switch {
		case !ok && otherwise.retryAfter == 0:
			n.unavailable(r.Origin)
		case !ok || (open == nil && final == nil && otherwise.retryAfter > 0):
			n.reply(r.Origin, 503, otherwise.retryAfter, otherwise)
		case final != nil:
			n.reply(r.Origin, 200, 0, finalState(r.ID, *final))
		case open != nil:
			if lead != nil && n.lead == lead && n.authority() {
				if j := lead.adopt(r.ID, *open); j != nil {
					n.reply(r.Origin, 200, 0, j.state())
					return
				}
			}
			// The read may have been overtaken by the job's end; the cache tells.
			if f, over := n.finals.byID[r.ID]; over {
				n.reply(r.Origin, 200, 0, finalState(r.ID, f))
				return
			}
			n.reply(r.Origin, 200, 0, queuedState(r.ID))
		default:
			n.reply(r.Origin, otherwise.status, 0, otherwise)
		}
	})
}
