package coordination

import (
	"strconv"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// formatUint formats an unsigned integer in decimal.
func utoa(v uint64) string { return strconv.FormatUint(v, 10) }

// queuedJobState is the state of an open job of which only the stored record is known.
func queuedState(id string) protocol.JobState {
	done, running := 0, 0
	return protocol.JobState{UID: id, State: protocol.Queued, Done: &done, Running: &running}
}

// pendingForward is a request that was forwarded to the leader and has no response yet.
type forward struct {
	req   Request
	until Instant
}

// nodeRequestHandlers maps the kinds of requests that have a handler of their own. All other
// kinds are user requests about a job.
var ownAnswers = map[protocol.RequestKind]func(*Node, Request){
	protocol.RequestHealth:    (*Node).onHealth,
	protocol.RequestReport:    (*Node).onReport,
	protocol.RequestStatus:    (*Node).onStatus,
	protocol.RequestMetrics:   (*Node).onMetrics,
	protocol.RequestAdmission: (*Node).onAdmission,
	protocol.RequestLinks:     (*Node).onLinks,
	protocol.RequestRecovery:  (*Node).onRecovery,
}

// onRequest dispatches a request that arrived on one of this node's own connections, or that a
// peer forwarded.
func (n *Node) onRequest(r Request) {
	if answer := ownAnswers[r.Kind]; answer != nil {
		answer(n, r)
		return
	}
	if f, ok := n.finals.byID[r.ID]; ok {
		// Terminal states never change, so any node may answer.
		n.reply(r.Origin, 200, 0, finalState(r.ID, f))
		return
	}
	if n.authority() {
		n.lead.onUser(r)
		return
	}
	if r.Origin.Peer != "" {
		// The sender believes that this node leads. It falls back to the key-value store by itself.
		n.unavailable(r.Origin)
		return
	}
	if r.Kind == protocol.RequestSubmit {
		// The leader need not receive it first, because it watches the open jobs.
		if !n.elect.stateDown() || !n.passOn(r) {
			n.withoutLeader(r)
		}
		return
	}
	if !n.askLeader(r) {
		n.withoutLeader(r)
	}
}

// maxPendingRequests bounds the requests that are kept waiting. Each holds a connection, here or
// at a peer.
func (n *Node) maxWaiting() int { return n.cfg.Cluster.Resources.MaxConnections }

// forwardToPeer forwards a request to a peer and waits at most for the timeout.
func (n *Node) forward(p *peer, r Request, patience time.Duration) {
	n.nextFwd++
	n.forwards[n.nextFwd] = &forward{req: r, until: n.now + patience}
	// The body is encoded anew from the parsed value, because the original may contain line
	// breaks, which would break the framing of messages between peers.
	m := protocol.ForwardedRequest{ID: n.nextFwd, Kind: r.Kind, Job: r.ID}
	switch r.Kind {
	case protocol.RequestSubmit:
		m.Body = storage.Encode(r.Job)
	case protocol.RequestReport:
		m.Body = storage.Encode(r.Report)
	}
	n.send(p.name, m)
}

// forwardSubmissionOnce forwards a submission to the leader, at most once, if this node can't
// write it: the key-value store may refuse one node while it serves the others.
func (n *Node) passOn(r Request) bool {
	if r.Origin.Peer != "" || r.passed {
		return false
	}
	r.passed = true
	return n.askLeader(r)
}

// forwardToLeader forwards a user's request to the leader, if one is known. It reports whether
// it did.
func (n *Node) askLeader(r Request) bool {
	p := n.leaderPeer()
	if p == nil || len(n.forwards) >= n.maxWaiting() {
		return false
	}
	n.forward(p, r, n.lease()/30)
	return true
}

// expireForwards handles forwarded requests whose response did not arrive in time.
func (n *Node) tickForwards() {
	for id, f := range n.forwards {
		if n.now >= f.until {
			delete(n.forwards, id)
			n.withoutLeader(f.req)
		}
	}
}

// onForwardedRequest handles a request that a peer forwarded.
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

// onForwardedAnswer handles the leader's response to a forwarded request.
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
		// This process was paused, or the response was delayed on its way. The worker discards
		// it by now.
		n.withoutLeader(f.req)
		return
	}
	if f.req.Kind != protocol.RequestReport && (m.Status == 200 || m.Status == 201) {
		n.accepted.put(f.req.ID, true)
	}
	if m.Status == 503 && f.req.Kind != protocol.RequestReport &&
		f.req.Kind != protocol.RequestCancel {
		// The leader can't answer, but the key-value store may.
		n.withoutLeader(f.req)
		return
	}
	n.reply(f.req.Origin, m.Status, m.RetryAfter, []byte(m.Body))
}

// serveWithoutLeader answers what can be answered from the key-value store alone.
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

// readJobRecord reads a job's stored record, open or terminal. The open record is read first,
// because a job moves from open to terminal and never back. The callback gets ok = false if
// the key-value store did not answer, and neither record if the job is unknown.
func (n *Node) readJob(id string,
	then func(ok bool, open *storage.Item, final *storage.FinalRecord)) {
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

// readTerminalRecord reads a job's terminal record. The callback gets nil if there is none.
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

// answerQueryFromStore answers a query from the key-value store. asLeader is the leader on whose
// behalf it is answered, or nil.
func (n *Node) queryDirect(r Request, lead *leadership) {
	if !protocol.ValidJobID(r.ID) {
		n.reply(r.Origin, 404, 0, nil)
		return
	}
	n.answerKnown(r, lead, noSuchJob)
}

// answerFromStore answers with the stored state of a job, or with ifUnknown if the key-value
// store has no record of it. An open job is added to the state of asLeader, if that still leads
// and holds its leader lease when the record arrives.
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
			// The job may have ended after its record was read. Then its terminal record is cached.
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
