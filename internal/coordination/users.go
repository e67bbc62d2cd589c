package coordination

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

func utoa(v uint64) string { return strconv.FormatUint(v, 10) }

// recentSize bounds how many jobs are kept in memory of what never changes; older ones
// are read from the state service again.
const recentSize = 20_000

// recent remembers the last of what was learnt by the ids of jobs.
type recent[T any] struct {
	limit int
	byID  map[string]T
	order []string
}

func newRecent[T any](limit int) recent[T] { return recent[T]{limit: limit, byID: map[string]T{}} }

func (c *recent[T]) put(id string, value T) {
	if _, ok := c.byID[id]; !ok {
		c.order = append(c.order, id)
		if len(c.order) > c.limit {
			delete(c.byID, c.order[0])
			c.order = c.order[1:]
		}
	}
	c.byID[id] = value
}

// finalCache remembers jobs that are over. They never change.
type finalCache struct {
	recent[storage.FinalRecord]

	// the reading after a start: whether it is complete or under way, what comes
	// next, and when
	read, busy bool
	since      string
	at         Instant
}

// tickFinals reads the jobs that are over, page by page, after a start: asked one by
// one when users poll, thousands of them would take longer than users may be left
// without any answer.
func (n *Node) tickFinals() {
	f := n.finals
	if f.read || f.busy || n.now < f.at || n.elect.stateDown() || n.elect.stateOK == never {
		return
	}
	f.busy = true
	n.stateCall("GET", storage.ListPath(storage.FinalPrefix, f.since, finalsPage), nil, func(r Result) {
		f.busy, f.at = false, n.now+n.lease()/probesPerLease
		var page storage.Page
		if r.Status != 200 || json.Unmarshal(r.Body, &page) != nil {
			return
		}
		for _, it := range page.Items {
			var rec storage.FinalRecord
			if json.Unmarshal(it.Value, &rec) == nil {
				f.put(strings.TrimPrefix(it.Key, storage.FinalPrefix), rec)
			}
			f.since = it.Key
		}
		f.read = !page.Truncated || len(f.byID) >= f.limit
	})
}

// finalsPage bounds one page of that reading, in memory and processor time.
const finalsPage = 500

func finalState(id string, f storage.FinalRecord) protocol.JobState {
	none := 0
	return protocol.JobState{UID: id, State: f.State, Done: &f.Done, Running: &none}
}

func queuedState(id string) protocol.JobState {
	done, running := 0, 0
	return protocol.JobState{UID: id, State: protocol.Queued, Done: &done, Running: &running}
}

// forward is a request that was handed to the leader.
type forward struct {
	req   Request
	until Instant
}

// onRequest routes a request of this node's own connections.
func (n *Node) onRequest(r Request) {
	switch r.Kind {
	case protocol.RequestHealth:
		n.onHealth(r)
		return
	case protocol.RequestReport:
		n.onReport(r)
		return
	case protocol.RequestStatus:
		n.onStatus(r)
		return
	case protocol.RequestMetrics:
		n.onMetrics(r)
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
		var final storage.FinalRecord
		switch {
		case r.Status == 404:
			then(true, nil)
		case r.Status == 200 && json.Unmarshal(r.Body, &item) == nil && json.Unmarshal(item.Value, &final) == nil:
			n.finals.put(id, final)
			then(true, &final)
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

// denial is what a user is told of a job that the state service does not know.
type denial struct {
	status int
	Error  string `json:"error"`
}

var (
	noSuchJob    = denial{404, "no such job"}
	tooLarge     = denial{400, "the job is too large to be stored"}
	neverRuns    = denial{422, "unknown team, or a task that fits no machine type or the team's limit"}
	needsNobodys = denial{422, "aguarda: names a job that was never accepted"}
	comeBack     = denial{503, ""}
)

// answerKnown answers with what the state service knows of a job; otherwise is
// the status of a job that it does not know. The authority of the leadership
// that asks must still hold then.
func (n *Node) answerKnown(r Request, lead *leadership, otherwise denial) {
	n.readTruth(r.ID, func(ok bool, open *storage.Item, final *storage.FinalRecord) {
		switch {
		case !ok || (open == nil && final == nil && otherwise == comeBack):
			n.unavailable(r.Origin)
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

// canRun tells whether some machine type could ever run a task of the job, and
// whether its team exists and has room for one task.
func (n *Node) canRun(j *protocol.Job) bool {
	team := n.team(j.Team)
	if team == nil {
		return false
	}
	if (team.CPUsMax > 0 && j.Cores > team.CPUsMax) || (team.GPUsMax > 0 && j.Accelerators > team.GPUsMax) {
		return false
	}
	for _, t := range n.catalog {
		if fitsType(j, t) {
			return true
		}
	}
	return false
}

// submission is a submission that is to be written.
type submission struct {
	r      Request
	rec    storage.JobRecord
	writes []storage.Write // of the record: formed once, as they may be sent again
	lead   *leadership     // that took it, if any
	until  Instant         // when its user is told to come back instead
	tries  int
}

// submitDirect writes a submission, conditioned on the job being unknown, and
// answers after the write. Any node may do so; the leader watches.
func (n *Node) submitDirect(r Request, lead *leadership) {
	if n.catalog == nil || n.elect.stateLost() {
		n.unavailable(r.Origin)
		return
	}
	rec := storage.JobRecord{Spec: *r.Job, AtMS: n.wallMS()}
	limits := &n.cfg.Cluster.State
	writes := storage.JobWrites(rec, limits.ValueBytes())
	// A job that was accepted once stays accepted, even if the catalogue has shrunk
	// since, or the limits, or if this node knows less than the one that took it: only
	// an unknown one is refused.
	canRun := n.canRun(r.Job)
	switch {
	case !storage.Fits(writes, limits.ValueBytes(), limits.Ops()):
		n.answerKnown(r, lead, tooLarge) // no record holds it, however often it is sent
		return
	case !canRun && !n.catalogSure:
		n.answerKnown(r, lead, comeBack) // the types may have changed since they were stored
		return
	case !canRun:
		n.answerKnown(r, lead, neverRuns)
		return
	case slices.Contains(r.Job.Needs, r.Job.UID):
		n.answerKnown(r, lead, needsNobodys)
		return
	case len(r.Job.Needs) > 0 && !n.versions.all:
		// A node of the version before would start it at once. Nothing says that all are
		// new until each has written so.
		n.answerKnown(r, lead, comeBack)
		return
	}
	unknown := n.notKnownAccepted(r.Job.Needs)
	if len(unknown) > needsRead && lead == nil && n.passOn(r) {
		return // the leader knows most of them
	}
	s := submission{r: r, rec: rec, writes: writes, lead: lead, until: n.now + n.lease()/10}
	n.wereAccepted(unknown, func(ok, all bool) {
		switch {
		case !ok:
			n.answerKnown(r, lead, comeBack)
		case !all:
			n.answerKnown(r, lead, needsNobodys)
		default:
			n.queueSubmission(s)
		}
	})
}

// queueSubmission lets a submission wait for its turn: users come in bursts, and
// the state service takes only so many changes a second.
func (n *Node) queueSubmission(s submission) {
	if len(n.submits) >= n.maxWaiting() {
		n.unavailable(s.r.Origin)
		return
	}
	n.submits = append(n.submits, s)
	n.writeSubmissions()
}

// crowded notes that the state service refused a submission for the rate of changes.
func (n *Node) crowded() {
	n.crowdedUntil = n.now + n.lease()
	n.submitBudget.level = 0
}

// shareSubmissions lets this node have the whole rate of submissions, as users' bursts
// mostly reach one node, unless others need it too: each then has its part for a while.
func (n *Node) shareSubmissions() {
	c := &n.cfg.Cluster
	n.submitBudget.refill(n.now)
	n.submitBudget.rate = n.submitBudget.burst
	if n.now < n.crowdedUntil {
		n.submitBudget.rate /= float64(c.Count)
	}
}

// writeSubmissions sends what the budget allows, and turns away at once what
// can't be taken any more.
func (n *Node) writeSubmissions() {
	if len(n.submits) == 0 {
		return
	}
	n.shareSubmissions()
	queue := n.submits
	n.submits = nil
	for _, s := range queue {
		switch {
		case n.now >= s.until || n.elect.stateLost():
			n.unavailable(s.r.Origin)
		case n.submitBudget.take(n.now, min(n.submitBudget.burst, float64(len(s.writes)))):
			n.writeSubmission(s)
		default:
			n.submits = append(n.submits, s)
		}
	}
}

func (n *Node) writeSubmission(s submission) {
	id := s.rec.Spec.UID
	txn := storage.Txn{
		If:     []storage.Cond{{Key: storage.JobKey(id)}, {Key: storage.FinalKey(id)}},
		Writes: s.writes,
	}
	n.stateCall("POST", "/multi", txn, func(res Result) {
		var out storage.TxnResult
		switch {
		case res.Status == 200 && json.Unmarshal(res.Body, &out) == nil:
			n.accepted.put(id, true)
			if s.lead != nil && n.lead == s.lead {
				for _, w := range s.writes {
					s.lead.writer.Know(w.Key(), out.Revision)
				}
				s.lead.addJob(s.rec, out.Revision)
			}
			n.reply(s.r.Origin, 201, 0, protocol.JobState{UID: id, State: protocol.Queued})
		case res.Status == 409:
			n.answerKnown(s.r, s.lead, comeBack)
		case res.Status == 400:
			// Too large for what the limits have become; but an earlier copy may have been
			// taken.
			n.answerKnown(s.r, s.lead, tooLarge)
		case (res.Status == 0 || res.Status == 429) && s.tries < submitTries:
			// Too many changes at once, or an answer lost. Its condition lets only
			// one copy through, so it may be sent again.
			s.tries++
			if res.Status == 429 {
				n.crowded()
			}
			n.queueSubmission(s)
		case res.Status == 503 && s.lead == nil && n.passOn(s.r):
		default:
			n.unavailable(s.r.Origin)
		}
	})
}

// submitTries is how often a submission is sent again.
const submitTries = 3

// onHealth is for the load balancer: a node that reaches neither the state
// service nor another controller has nothing to offer, nor has one that is about to end.
func (n *Node) onHealth(r Request) {
	alone := len(n.peers) > 0 && n.peersHeard(n.lease()/4) == 0
	if n.draining || alone && n.elect.stateDown() && !n.authority() {
		n.reply(r.Origin, 503, 0, nil)
		return
	}
	n.reply(r.Origin, 200, 0, health{OK: true, Build: n.build, Level: level})
}

// health is the body of a healthy node's answer.
type health struct {
	OK    bool   `json:"ok"`
	Build string `json:"version"`
	Level int    `json:"level"`
}

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

// status is what the status page shows an operator.
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

// peerState is what this node has heard of another controller. Level 0 says nothing of
// its version.
type peerState struct {
	Node  string `json:"node"`
	Heard bool   `json:"heard"`
	Level int    `json:"level"`
}

func (n *Node) onStatus(r Request) {
	s := status{Node: n.cfg.Node, Leads: n.authority(), StateDown: n.elect.stateDown(),
		UptimeS: n.now.Round(time.Millisecond).Seconds(), Build: n.build, Level: level, AllNew: n.versions.all}
	for _, k := range n.cfg.Known {
		p := n.peers[k.Node]
		s.Peers = append(s.Peers, peerState{Node: p.name, Heard: n.now-p.heard < n.termSpan(), Level: p.level})
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

// onMetrics answers with the figures that an operator would plot.
func (n *Node) onMetrics(r Request) {
	var b strings.Builder
	gauge := func(name, help string, value float64) {
		fmt.Fprintf(&b, "# HELP hitchdoor_%s %s\n# TYPE hitchdoor_%s gauge\nhitchdoor_%s %g\n", name, help, name, name, value)
	}
	flag := func(v bool) float64 {
		if v {
			return 1
		}
		return 0
	}
	gauge("leading", "1 on the node that leads.", flag(n.authority()))
	gauge("level", "The level of records and messages that this node's version understands.", level)
	gauge("level_all", "1 once every node is known to have this level.", flag(n.versions.all))
	gauge("state_slowed", "1 while changes are paced by the lower rate that the settings announce.", flag(n.slowed))
	gauge("state_down", "1 while the state service can't be reached.", flag(n.elect.stateDown()))
	if n.authority() {
		l := n.lead
		running, pending, up, held := 0, 0, 0, 0.0
		for _, j := range l.runnable {
			running += len(j.runs)
			pending += j.pending
		}
		for _, m := range l.machines {
			if m.up {
				up++
			}
			if m.kind != nil {
				held += m.kind.Cores
			}
		}
		gauge("term", "The leader's term.", float64(l.term))
		gauge("jobs_open", "Jobs that are not over.", float64(len(l.jobs)))
		gauge("jobs_waiting", "Those of them that wait for others to be done.", float64(len(l.jobs)-len(l.runnable)))
		gauge("tasks_active", "Tasks on machines.", float64(running))
		gauge("tasks_pending", "Tasks that wait.", float64(pending))
		gauge("machines", "Machines held.", float64(len(l.machines)))
		gauge("machines_up", "Machines that report.", float64(up))
		gauge("cores_held", "Cores of the machines held.", held)
		gauge("cores_target", "Cores that the fleet aims at.", l.fleet.target)
		gauge("writes_waiting", "Changes not yet in the state service.", float64(l.writer.Pending()))
	}
	n.reply(r.Origin, 200, 0, []byte(b.String()))
}
