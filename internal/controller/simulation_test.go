package controller

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// The simulation of the tests: a fake clock, nodes that are stepped by hand, and
// stand-ins for the state service, the cloud and the workers, written from the
// protocol. Every test also has the invariant checker of invariants_test.go, who looks at each moment and
// at each answer for a rule that is broken.

const step = 5 * time.Millisecond

type simulation struct {
	t            *testing.T
	now          clock.Instant
	cfg          config.Cluster
	nodes        map[string]*simNode
	names        []string
	state        *fakeState
	cloud        *fakeCloud
	workers      map[string]*worker
	ordered      []*worker
	specs        map[string]protocol.Job
	events       events
	planned      int
	cut          map[[2]string]bool // between nodes
	oneWay       map[[2]string]bool // the same, of messages from the first to the second only
	holds        bool               // cuts between nodes keep messages, which arrive once they end
	kept         []event
	far          map[string]bool                   // nodes that no worker reaches
	reach        func(x *worker, node string) bool // nil: every worker reaches all others
	noReports    map[string]bool                   // nodes that workers' reports don't reach
	noAnswers    map[string]bool                   // nodes whose answers don't reach workers
	runTime      func(task string, attempt int) time.Duration
	copies       func(x *worker, rep *protocol.WorkerHeartbeat)               // sees every report that is sent
	mangle       func(node string, call ServiceCall, r CallResult) CallResult // alters the answers of outside services
	instead      func(call ServiceCall) (r CallResult, ok bool)               // answers calls at once, in the place of outside services
	watch        func(n *simNode, effects []Effect)                           // sees all effects of nodes
	starts       map[string]int                                               // by task
	stoppedTasks []string                                                     // by command
	mistake      map[string]bool                                              // jobs that fail on every machine
	old          map[string]bool                                              // nodes that start with level 0
	wallOff      map[string]time.Duration                                     // by how much nodes' times of day are wrong
	fair         bool                                                         // admission by policy is switched on
	sockets      int                                                          // connections that each node takes; 0: any number
	open         map[string]int                                               // by node: workers' connections
	invariantChecker
}

type event struct {
	at  clock.Instant
	seq int
	f   func()
}

// events are what is to happen, as a binary heap, in their order. No two have the same number,
// so the order is total. The heap is typed: container/heap allocates for each event.
type events []event

func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

func (e *events) push(x event) {
	h := append(*e, x)
	*e = h
	i := len(h) - 1
	for ; i > 0 && x.before(h[(i-1)/2]); i = (i - 1) / 2 {
		h[i] = h[(i-1)/2]
	}
	h[i] = x
}

// pop removes the first event and returns it.
func (e *events) pop() event {
	h := *e
	first, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{} // let go of its function
	h = h[:len(h)-1]
	*e = h
	if len(h) == 0 {
		return first
	}
	i := 0
	for child := 1; child < len(h); child = 2*i + 1 {
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(last) {
			break
		}
		h[i] = h[child]
		i = child
	}
	h[i] = last
	return first
}

type simNode struct {
	*Node
	name    string
	boot    clock.Instant
	epoch   int
	inbox   []Command
	asks    map[uint64]func(Reply)
	ticket  uint64
	down    bool
	rate    float64       // of its clock; 0: exact
	frozen  bool          // it stands still, while its clocks run on
	old     bool          // it speaks and writes as level 0 does
	stall   time.Duration // for how long it will, before it carries out what it next decides
	counted clock.Instant // when it was last told how many connections are open
}

// loadEvery is how often a node is told how many connections are open.
const loadEvery = 20 * step

// clock is the node's steady clock.
func (n *simNode) clock(now clock.Instant) clock.Instant {
	if n.rate == 0 {
		return now - n.boot
	}
	return clock.Instant(float64(now-n.boot) * n.rate)
}

// proportions are the workers' settings of a deployment.
type proportions struct{ report, lease, cancel float64 }

var deployments = []proportions{{1.5, 14, 34}, {3, 18, 38}, {4, 22, 42}, {5, 26.5, 46.5}}

func newSimulation(t *testing.T, nodes int) *simulation {
	return newSimulationOf(t, nodes, deployments[0])
}

func newSimulationOf(t *testing.T, nodes int, p proportions) *simulation {
	w := &simulation{t: t, nodes: map[string]*simNode{}, workers: map[string]*worker{}, specs: map[string]protocol.Job{},
		cut: map[[2]string]bool{}, oneWay: map[[2]string]bool{}, noReports: map[string]bool{}, noAnswers: map[string]bool{}, far: map[string]bool{}, starts: map[string]int{}, mistake: map[string]bool{}, old: map[string]bool{}, open: map[string]int{}, invariantChecker: newInvariantChecker(),
		runTime: func(string, int) time.Duration { return 5 * time.Second }}
	c := &w.cfg
	c.ControllerCount = nodes
	c.Zones = []string{"a", "b"}
	c.Workers.HeartbeatIntervalS, c.Workers.LeaseS, c.Workers.CancelS = p.report, p.lease, p.cancel
	c.Store.RequestsPerS, c.Store.WritesPerS, c.Store.ValueKB, c.Store.TxnOps = 200, 100, 8, 20
	c.Cloud.RequestsPerS, c.Cloud.ListLagS = 4, 10
	c.Resources.CoreShare, c.Resources.MemoryMB, c.Resources.MaxConnections = 0.1, 100, 1000
	c.Teams = []config.Team{{Name: "team", MaxCPUs: 16}, {Name: "free"}}
	w.state = &fakeState{w: w, keys: map[string]storage.Item{}, leases: map[uint64]*fakeLease{}, refuse: map[string]bool{}, lost: map[string]bool{}, mute: map[string]bool{}}
	w.cloud = &fakeCloud{w: w, requests: map[string][]string{}, hosts: map[string]*worker{}}
	for i := range nodes {
		w.names = append(w.names, fmt.Sprintf("n%d", i))
	}
	for _, name := range w.names {
		w.start(name)
	}
	return w
}

// testLog writes to the standard error output if LOG_LEVEL is debug. Otherwise no record is formatted.
func testLog() *slog.Logger {
	if os.Getenv("LOG_LEVEL") == "debug" {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	return slog.New(slog.DiscardHandler)
}

func (w *simulation) start(name string) {
	p := &config.Platform{Node: name, Cluster: w.cfg}
	if w.old[name] {
		p.Cluster.Store.Upcoming = config.StoreLimits{}.Upcoming // level 0 does not know them
	}
	for _, other := range w.names {
		if other != name {
			p.Peers = append(p.Peers, config.Peer{Node: other})
		}
	}
	epoch := 1
	if old := w.nodes[name]; old != nil {
		epoch = old.epoch + 1
	}
	set := config.Defaults()
	set.IdleRetention = 4 // so that machines stay for the races
	set.FairAdmission = w.fair
	set.RecoveryMinMachines = 0 // the simulated fleets are small
	w.nodes[name] = &simNode{
		Node: New(Options{Platform: p, Settings: set, Log: testLog().With("node", name),
			Rand: rand.New(rand.NewPCG(uint64(len(name)), uint64(name[1]))), StartTime: time.Unix(1_000_000, 0).Add(w.now + w.wallOff[name])}),
		name: name, boot: w.now, epoch: epoch, asks: map[uint64]func(Reply){}, old: w.old[name],
	}
}

func (w *simulation) crash(name string) {
	w.nodes[name].down = true
	w.nodes[name].epoch++
	for _, x := range w.workers {
		if x.connected == name {
			x.disconnect()
		}
	}
}

func (w *simulation) restart(name string) { w.start(name) }

// back lets a node end and begin anew.
func (w *simulation) back(name string, after time.Duration) {
	w.crash(name)
	w.after(after, func() {
		if w.nodes[name].down {
			rate := w.nodes[name].rate
			w.restart(name)
			w.nodes[name].rate = rate
		}
	})
}

func (w *simulation) after(d time.Duration, f func()) {
	w.planned++
	w.events.push(event{w.now + d, w.planned, f})
}

// run lets the simulation go on for a while.
func (w *simulation) run(d time.Duration) { w.until(d, func() bool { return false }) }

// until lets the simulation go on until something holds, and tells whether it came to hold.
func (w *simulation) until(d time.Duration, cond func() bool) bool {
	w.t.Helper()
	for end := w.now + d; w.now < end; {
		if cond() {
			return true
		}
		w.now += step
		w.state.expire()
		for len(w.events) > 0 && w.events[0].at <= w.now {
			w.events.pop().f()
		}
		for _, name := range w.names {
			w.stepNode(w.nodes[name])
		}
		lease := config.Seconds(w.cfg.Workers.LeaseS)
		for _, x := range w.inOrder() {
			x.tick(lease)
		}
		w.check()
	}
	return cond()
}

// inOrder lists the workers by name. The list is kept as long as it is true: sorted at
// each step it was half of the tests' time. Workers join by addWorker only, which drops the
// list; so if it is as long as the map, none has left since either.
func (w *simulation) inOrder() []*worker {
	if len(w.ordered) != len(w.workers) {
		w.ordered = slices.SortedFunc(maps.Values(w.workers), func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
	}
	return w.ordered
}

// addWorker lets a worker join.
func (w *simulation) addWorker(x *worker) {
	w.workers[x.name] = x
	w.ordered = nil
}

func (w *simulation) stepNode(n *simNode) {
	if n.down || n.frozen {
		return
	}
	batch := n.inbox
	n.inbox = nil
	if w.sockets > 0 && n.clock(w.now) >= n.counted+loadEvery {
		n.counted = n.clock(w.now)
		batch = append(batch, ServerLoad{Open: w.open[n.name], Limit: w.sockets})
	}
	effects := n.Step(n.clock(w.now), batch)
	if w.watch != nil {
		w.watch(n, effects)
	}
	if n.stall > 0 && len(effects) > 0 {
		w.freeze(n, n.stall, func() { w.carryOut(n, effects) })
		n.stall = 0
		return
	}
	w.carryOut(n, effects)
}

// freeze lets a node stand still for a while and then do something first.
func (w *simulation) freeze(n *simNode, d time.Duration, then func()) {
	n.frozen = true
	epoch := n.epoch
	w.after(d, func() {
		n.frozen = false
		if !n.down && n.epoch == epoch {
			then()
		}
	})
}

func (w *simulation) carryOut(n *simNode, effects []Effect) {
	epoch := n.epoch
	for _, e := range effects {
		switch e := e.(type) {
		case Reply:
			if f := n.asks[e.RequestID]; f != nil {
				delete(n.asks, e.RequestID)
				w.after(step, func() { f(e) })
			}
		case OutboundMessage:
			if n.old {
				if beat, is := e.Message.(protocol.PeerHeartbeat); is {
					beat.VersionLevel, beat.WritesThrottled = 0, false
					e.Message = beat
				}
			}
			to, message := e.To, overTheWire(w.t, e.Message)
			arrive := func() {
				if peer := w.nodes[to]; !peer.down {
					peer.inbox = append(peer.inbox, InboundMessage{From: n.name, Message: message})
				}
			}
			if !w.apart(n.name, to) {
				w.after(step, arrive)
			} else if w.holds {
				w.kept = append(w.kept, event{f: arrive})
			}
		case ServiceCall:
			answered := false
			back := func(status int, body any) {
				if w.nodes[n.name] == n && n.epoch == epoch && !answered {
					answered = true
					r := CallResult{ID: e.ID, Status: status}
					switch body := body.(type) {
					case nil:
					case json.RawMessage:
						r.Body = body // as it is: it need not be JSON
					default:
						r.Body = storage.Encode(body)
					}
					if w.mangle != nil && status != 0 {
						r = w.mangle(n.name, e, r)
					}
					n.inbox = append(n.inbox, r)
				}
			}
			w.after(e.Timeout, func() { back(0, nil) })
			held := step
			if e.Target == TargetStore && w.state.slow != nil {
				held += w.state.slow()
			}
			w.after(held, func() {
				if w.instead != nil {
					if r, ok := w.instead(e); ok {
						back(r.Status, json.RawMessage(r.Body))
						return
					}
				}
				if e.Target == TargetStore {
					if n.old && e.Path == "/multi" {
						e.Body = oldShape(w.t, e.Body)
					}
					w.state.serve(n.name, e, back)
				} else {
					w.cloud.serve(e, back)
				}
			})
		}
	}
}

// overTheWire is a message as it arrives.
func overTheWire(t *testing.T, m protocol.PeerMessage) protocol.PeerMessage {
	raw, err := protocol.EncodePeerMessage(m)
	if err != nil {
		t.Fatal(err)
	}
	read, err := protocol.DecodePeerMessage(raw)
	if err != nil {
		t.Fatalf("%s: %v", raw, err)
	}
	return read
}

// oldShape is a transaction as level 0 writes it: without the fields that it does not
// know, and without its version, of which it says nothing.
func oldShape(t *testing.T, body []byte) []byte {
	var txn storage.Txn
	if err := json.Unmarshal(body, &txn); err != nil {
		t.Fatal(err)
	}
	txn.Writes = slices.DeleteFunc(txn.Writes, func(wr storage.Write) bool {
		return strings.HasPrefix(wr.PutKey, storage.VersionPrefix)
	})
	for i, wr := range txn.Writes {
		if strings.HasPrefix(wr.PutKey, storage.TerminalPrefix) {
			var rec storage.TerminalRecord
			json.Unmarshal(wr.Value, &rec)
			rec.EndedAtMillis = 0
			txn.Writes[i].Value = storage.Encode(rec)
		}
		if strings.HasPrefix(wr.PutKey, storage.JobPrefix) {
			var rec storage.JobRecord
			json.Unmarshal(wr.Value, &rec)
			rec.Spec.Dependencies = nil
			txn.Writes[i].Value = storage.Encode(rec)
		}
	}
	return storage.Encode(txn)
}

// upgrade ends a node and brings it back with this version.
func (w *simulation) upgrade(name string) {
	w.crash(name)
	delete(w.old, name)
	w.after(time.Second, func() { w.restart(name) })
}

// allNew waits until every node that is up knows that all are of this version.
func (w *simulation) allNew() {
	w.t.Helper()
	known := func(name string) bool { n := w.nodes[name]; return n.down || n.clusterSupports(protocolLevel) }
	if !w.until(30*time.Second, func() bool { return !slices.ContainsFunc(w.names, func(s string) bool { return !known(s) }) }) {
		w.t.Fatal("not all nodes are known to be new")
	}
}

// final is what the state service knows of a job that is over.
func (w *simulation) final(id string) protocol.JobState {
	var f storage.TerminalRecord
	if it, ok := w.state.keys[storage.TerminalKey(id)]; ok {
		json.Unmarshal(it.Value, &f)
	}
	return f.State
}

// apart tells whether messages from one node to another don't arrive.
func (w *simulation) apart(from, to string) bool {
	return w.cut[[2]string{from, to}] || w.cut[[2]string{to, from}] || w.oneWay[[2]string{from, to}]
}

// cutOneWay cuts one node off from another, but not the other way, for a while.
func (w *simulation) cutOneWay(from, to string, d time.Duration) {
	w.oneWay[[2]string{from, to}] = true
	w.after(d, func() {
		delete(w.oneWay, [2]string{from, to})
		w.mend()
	})
}

// cutOff cuts a node from all others.
func (w *simulation) cutOff(name string) {
	for _, other := range w.names {
		w.cut[[2]string{name, other}] = true
	}
}

// cutAll cuts all nodes from each other.
func (w *simulation) cutAll() {
	for _, name := range w.names {
		w.cutOff(name)
	}
}

// mend ends all cuts between nodes; what they held back arrives now.
func (w *simulation) mend() {
	w.cut = map[[2]string]bool{}
	kept := w.kept
	w.kept = nil
	for _, e := range kept {
		w.after(step, e.f)
	}
}

// ask sends a request to a node; a node that is down gives status 0.
func (w *simulation) ask(name string, r Request, f func(Reply)) {
	n := w.nodes[name]
	if n.down {
		w.after(step, func() { f(Reply{}) })
		return
	}
	n.ticket++
	r.Origin = Origin{RequestID: n.ticket}
	n.asks[n.ticket] = w.listen(name, r, f)
	n.inbox = append(n.inbox, r)
}

// listen lets the invariant checker hear what a user is told.
func (w *simulation) listen(name string, r Request, f func(Reply)) func(Reply) {
	switch r.Kind {
	case protocol.RequestSubmit:
		w.submitted[r.JobID] = true
		if _, known := w.specs[r.JobID]; !known {
			w.specs[r.JobID] = *r.Job
		}
	case protocol.RequestCancel:
		w.asked[r.JobID] = true
	case protocol.RequestQuery:
	default:
		return f
	}
	sent := w.now
	return func(reply Reply) {
		w.hears(r, name, sent, reply)
		f(reply)
	}
}

// request asks a node and waits for the answer, 5 s at most.
func (w *simulation) request(name string, r Request) Reply {
	w.t.Helper()
	var got *Reply
	w.ask(name, r, func(x Reply) { got = &x })
	if !w.until(5*time.Second, func() bool { return got != nil }) {
		w.t.Fatalf("%s: no answer to a %s", name, r.Kind)
	}
	return *got
}

// machines brings up machines beside those that are rented for the work.
func (w *simulation) machines(n int) {
	w.t.Helper()
	for i := range n {
		w.cloud.rent("c4", []string{"a", "b"}[i%2], true)
	}
	if !w.until(10*time.Second, func() bool { return len(w.workers) >= n }) {
		w.t.Fatal("machines did not come up")
	}
	w.run(2 * time.Second)
}

func (w *simulation) submit(node string, j protocol.Job) Reply {
	w.t.Helper()
	w.specs[j.ID] = j
	return w.request(node, Request{Kind: protocol.RequestSubmit, JobID: j.ID, Job: &j})
}

// submitAndStart submits a job and waits until so many of its tasks are on machines.
func (w *simulation) submitAndStart(node string, j protocol.Job, tasks int) {
	w.t.Helper()
	w.submit(node, j)
	if !w.until(time.Minute, func() bool { return w.onMachines(j.ID) >= tasks }) {
		w.t.Fatalf("%d tasks of %s started, not %d", w.onMachines(j.ID), j.ID, tasks)
	}
}

// running is a simulation whose leader runs one job, j-1: all its tasks are on machines, each
// for so long.
func running(t *testing.T, nodes int, takes time.Duration, machines, tasks int) (*simulation, *simNode) {
	t.Helper()
	w := newSimulation(t, nodes)
	w.runTime = func(string, int) time.Duration { return takes }
	l := w.waitLeader()
	w.machines(machines)
	w.submitAndStart(l.name, spec("j-1", tasks), tasks)
	return w, l
}

func (w *simulation) query(node, id string) (int, protocol.JobStatus) {
	w.t.Helper()
	r := w.request(node, Request{Kind: protocol.RequestQuery, JobID: id})
	var s protocol.JobStatus
	if r.Status == 200 {
		if err := json.Unmarshal(r.Body, &s); err != nil {
			w.t.Fatal(err)
		}
	}
	return r.Status, s
}

func (w *simulation) cancel(node, id string) Reply {
	w.t.Helper()
	return w.request(node, Request{Kind: protocol.RequestCancel, JobID: id})
}

func (w *simulation) leader() string {
	for _, name := range w.names {
		if n := w.nodes[name]; !n.down && !n.frozen && n.holdsLeaderLease() {
			return name
		}
	}
	return ""
}

// lead waits until some node leads and has read the records.
func (w *simulation) waitLeader() *simNode {
	w.t.Helper()
	if !w.until(30*time.Second, func() bool { l := w.leader(); return l != "" && w.nodes[l].leader.recordsLoaded }) {
		w.t.Fatal("nobody leads")
	}
	return w.nodes[w.leader()]
}

func (w *simulation) followers() []string {
	return slices.DeleteFunc(slices.Clone(w.names), func(s string) bool { return s == w.leader() || w.nodes[s].down })
}

// waitState waits until a job has a state.
func (w *simulation) waitState(id string, state protocol.JobState, d time.Duration) {
	w.t.Helper()
	end := w.now + d
	var last protocol.JobStatus
	for w.now < end {
		if l := w.leader(); l != "" {
			var code int
			if code, last = w.query(l, id); code == 200 && last.State == state {
				return
			}
		}
		w.run(200 * time.Millisecond)
	}
	w.t.Fatalf("job %s is %q, not %q, after %v", id, last.State, state, d)
}

// allStarts counts how often tasks were started, all together.
func (w *simulation) allStarts() int {
	all := 0
	for _, n := range w.starts {
		all += n
	}
	return all
}

// startedOnce checks that no task was started a second time.
func (w *simulation) startedOnce() {
	w.t.Helper()
	for task, n := range w.starts {
		if n != 1 {
			w.t.Errorf("%s was started %d times", task, n)
		}
	}
}

// onMachines counts a job's tasks that are on machines.
func (w *simulation) onMachines(id string) int {
	count := 0
	prefix := id + "/"
	for _, x := range w.workers {
		for _, t := range x.tasks {
			if strings.HasPrefix(t.key, prefix) && t.state != protocol.TaskExited {
				count++
			}
		}
	}
	return count
}

func jobOf(key string) string { id, _, _ := strings.Cut(key, "/"); return id }

// spec is a job of so many one-core tasks.
func spec(id string, tasks int) protocol.Job {
	return protocol.Job{ID: id, Class: "c", Team: "free", Kind: "batch", Priority: "standard", TaskCount: tasks,
		Cores: 1, MemoryGB: 1, Image: "i", SpotAllowed: true, EstimatedSeconds: 5}
}
