package coordination

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/url"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// The world of the tests: a fake clock, nodes that are stepped by hand, and
// stand-ins for the state service, the cloud and the workers, written from the
// protocol. Every test also has the judge of judge_test.go, who looks at each moment and
// at each answer for a rule that is broken.

const step = 5 * time.Millisecond

type world struct {
	t       *testing.T
	now     Instant
	cfg     config.Cluster
	nodes   map[string]*simNode
	names   []string
	state   *fakeState
	cloud   *fakeCloud
	workers map[string]*worker
	ordered []*worker
	specs   map[string]protocol.Job
	events  events
	planned int
	cut     map[[2]string]bool // between nodes
	holds   bool               // cuts between nodes keep messages, which arrive once they end
	kept    []event
	far     map[string]bool                   // nodes that no worker reaches
	reach   func(x *worker, node string) bool // nil: every worker reaches all others
	runTime func(task string, attempt int) time.Duration
	copies  func(x *worker, rep *protocol.Report) // sees every report that is sent
	starts  map[string]int                        // by task
	mistake map[string]bool                       // jobs that fail on every machine
	old     map[string]bool                       // nodes that start with level 0
	judge
}

type event struct {
	at  Instant
	seq int
	f   func()
}

// events are what is to happen, as a heap, in their order.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), e[i].seq-e[j].seq) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simNode struct {
	*Node
	name   string
	boot   Instant
	epoch  int
	inbox  []any
	asks   map[uint64]func(Reply)
	ticket uint64
	down   bool
	rate   float64       // of its clock; 0: exact
	frozen bool          // it stands still, while its clocks run on
	old    bool          // it speaks and writes as level 0 does
	stall  time.Duration // for how long it will, before it carries out what it next decides
}

// clock is the node's steady clock.
func (n *simNode) clock(now Instant) Instant {
	if n.rate == 0 {
		return now - n.boot
	}
	return Instant(float64(now-n.boot) * n.rate)
}

// proportions are the workers' settings of a deployment.
type proportions struct{ report, lease, cancel float64 }

var deployments = []proportions{{1.5, 14, 34}, {3, 18, 38}, {5, 26.5, 46.5}}

func newWorld(t *testing.T, nodes int) *world { return newWorldOf(t, nodes, deployments[0]) }

func newWorldOf(t *testing.T, nodes int, p proportions) *world {
	w := &world{t: t, nodes: map[string]*simNode{}, workers: map[string]*worker{}, specs: map[string]protocol.Job{},
		cut: map[[2]string]bool{}, far: map[string]bool{}, starts: map[string]int{}, mistake: map[string]bool{}, old: map[string]bool{}, judge: newJudge(),
		runTime: func(string, int) time.Duration { return 5 * time.Second }}
	c := &w.cfg
	c.Count = nodes
	c.Zones = []string{"a", "b"}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = p.report, p.lease, p.cancel
	c.State.RPS, c.State.WriteRPS, c.State.ValueKB, c.State.TxnOps = 200, 100, 8, 20
	c.Cloud.RPS, c.Cloud.ListLagS = 4, 10
	c.Resources.CoreShare, c.Resources.MemMB, c.Resources.MaxConnections = 0.1, 100, 1000
	c.Teams = []config.Team{{Name: "team", CPUsMax: 16}, {Name: "free"}}
	w.state = &fakeState{w: w, keys: map[string]storage.Item{}, leases: map[uint64]*fakeLease{}, refuse: map[string]bool{}, lost: map[string]bool{}}
	w.cloud = &fakeCloud{w: w, requests: map[string][]string{}, hosts: map[string]*worker{}}
	for i := range nodes {
		w.names = append(w.names, fmt.Sprintf("n%d", i))
	}
	for _, name := range w.names {
		w.start(name)
	}
	return w
}

func testLog() *slog.Logger {
	out := io.Discard
	if os.Getenv("LOG_LEVEL") == "debug" {
		out = os.Stderr
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

func (w *world) start(name string) {
	p := &config.Platform{Node: name, Cluster: w.cfg}
	if w.old[name] {
		p.Cluster.State.Next = config.State{}.Next // level 0 does not know them
	}
	for _, other := range w.names {
		if other != name {
			p.Known = append(p.Known, config.Peer{Node: other})
		}
	}
	epoch := 1
	if old := w.nodes[name]; old != nil {
		epoch = old.epoch + 1
	}
	set := config.Defaults()
	set.IdleKeep = 4 // so that machines stay for the races
	w.nodes[name] = &simNode{
		Node: New(Options{Platform: p, Settings: set, Log: testLog().With("node", name),
			Rand: rand.New(rand.NewPCG(uint64(len(name)), uint64(name[1]))), Wall: time.Unix(1_000_000, 0).Add(w.now)}),
		name: name, boot: w.now, epoch: epoch, asks: map[uint64]func(Reply){}, old: w.old[name],
	}
}

func (w *world) crash(name string) { w.nodes[name].down = true; w.nodes[name].epoch++ }

func (w *world) restart(name string) { w.start(name) }

// back lets a node end and begin anew.
func (w *world) back(name string, after time.Duration) {
	w.crash(name)
	w.after(after, func() {
		if w.nodes[name].down {
			rate := w.nodes[name].rate
			w.restart(name)
			w.nodes[name].rate = rate
		}
	})
}

func (w *world) after(d time.Duration, f func()) {
	w.planned++
	heap.Push(&w.events, event{w.now + d, w.planned, f})
}

// run lets the world go on for a while.
func (w *world) run(d time.Duration) { w.until(d, func() bool { return false }) }

// until lets the world go on until something holds, and tells whether it came to hold.
func (w *world) until(d time.Duration, cond func() bool) bool {
	w.t.Helper()
	for end := w.now + d; w.now < end; {
		if cond() {
			return true
		}
		w.now += step
		w.state.expire()
		for len(w.events) > 0 && w.events[0].at <= w.now {
			heap.Pop(&w.events).(event).f()
		}
		for _, name := range w.names {
			w.stepNode(w.nodes[name])
		}
		for _, x := range w.inOrder() {
			x.tick()
		}
		w.check()
	}
	return cond()
}

// inOrder lists the workers by name. The list is kept as long as it is true: sorted at
// each step it was half of the tests' time.
func (w *world) inOrder() []*worker {
	same := len(w.ordered) == len(w.workers)
	for _, x := range w.ordered {
		same = same && w.workers[x.name] == x
	}
	if !same {
		w.ordered = slices.SortedFunc(maps.Values(w.workers), func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
	}
	return w.ordered
}

func (w *world) stepNode(n *simNode) {
	if n.down || n.frozen {
		return
	}
	batch := n.inbox
	n.inbox = nil
	effects := n.Step(n.clock(w.now), batch)
	if n.stall > 0 && len(effects) > 0 {
		w.freeze(n, n.stall, func() { w.carryOut(n, effects) })
		n.stall = 0
		return
	}
	w.carryOut(n, effects)
}

// freeze lets a node stand still for a while and then do something first.
func (w *world) freeze(n *simNode, d time.Duration, then func()) {
	n.frozen = true
	epoch := n.epoch
	w.after(d, func() {
		n.frozen = false
		if !n.down && n.epoch == epoch {
			then()
		}
	})
}

func (w *world) carryOut(n *simNode, effects []any) {
	epoch := n.epoch
	for _, e := range effects {
		switch e := e.(type) {
		case Reply:
			if f := n.asks[e.Ticket]; f != nil {
				delete(n.asks, e.Ticket)
				w.after(step, func() { f(e) })
			}
		case Send:
			if n.old {
				e.Msg.Level, e.Msg.Slow = 0, false
			}
			to := e.To
			arrive := func() {
				if peer := w.nodes[to]; !peer.down {
					peer.inbox = append(peer.inbox, PeerMessage{From: n.name, Msg: e.Msg})
				}
			}
			if !w.apart(n.name, to) {
				w.after(step, arrive)
			} else if w.holds {
				w.kept = append(w.kept, event{f: arrive})
			}
		case Call:
			answered := false
			back := func(status int, body any) {
				if w.nodes[n.name] == n && n.epoch == epoch && !answered {
					answered = true
					r := Result{ID: e.ID, Status: status}
					if body != nil {
						r.Body = storage.Encode(body)
					}
					n.inbox = append(n.inbox, r)
				}
			}
			w.after(e.Timeout, func() { back(0, nil) })
			held := step
			if e.Target == State && w.state.slow != nil {
				held += w.state.slow()
			}
			w.after(held, func() {
				if e.Target == State {
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

// oldShape is a transaction as level 0 writes it: without the fields that it does not
// know, and without its version, of which it says nothing.
func oldShape(t *testing.T, body []byte) []byte {
	var txn storage.Txn
	if err := json.Unmarshal(body, &txn); err != nil {
		t.Fatal(err)
	}
	txn.Writes = slices.DeleteFunc(txn.Writes, func(wr storage.Write) bool {
		return strings.HasPrefix(wr.Set, storage.VersionPrefix)
	})
	for i, wr := range txn.Writes {
		if strings.HasPrefix(wr.Set, storage.FinalPrefix) {
			var rec storage.FinalRecord
			json.Unmarshal(wr.Value, &rec)
			rec.AtMS = 0
			txn.Writes[i].Value = storage.Encode(rec)
		}
		if strings.HasPrefix(wr.Set, storage.JobPrefix) {
			var rec storage.JobRecord
			json.Unmarshal(wr.Value, &rec)
			rec.Spec.Needs = nil
			txn.Writes[i].Value = storage.Encode(rec)
		}
	}
	return storage.Encode(txn)
}

// upgrade ends a node and brings it back with this version.
func (w *world) upgrade(name string) {
	w.crash(name)
	delete(w.old, name)
	w.after(time.Second, func() { w.restart(name) })
}

// allNew waits until every node that is up knows that all are of this version.
func (w *world) allNew() {
	w.t.Helper()
	known := func(name string) bool { n := w.nodes[name]; return n.down || n.versions.all }
	if !w.until(30*time.Second, func() bool { return !slices.ContainsFunc(w.names, func(s string) bool { return !known(s) }) }) {
		w.t.Fatal("not all nodes are known to be new")
	}
}

// final is what the state service knows of a job that is over.
func (w *world) final(id string) string {
	var f storage.FinalRecord
	if it, ok := w.state.keys[storage.FinalKey(id)]; ok {
		json.Unmarshal(it.Value, &f)
	}
	return f.State
}

func (w *world) apart(a, b string) bool { return w.cut[[2]string{a, b}] || w.cut[[2]string{b, a}] }

// cutOff cuts a node from all others.
func (w *world) cutOff(name string) {
	for _, other := range w.names {
		w.cut[[2]string{name, other}] = true
	}
}

// cutAll cuts all nodes from each other.
func (w *world) cutAll() {
	for _, name := range w.names {
		w.cutOff(name)
	}
}

// mend ends all cuts between nodes; what they held back arrives now.
func (w *world) mend() {
	w.cut = map[[2]string]bool{}
	kept := w.kept
	w.kept = nil
	for _, e := range kept {
		w.after(step, e.f)
	}
}

// ask sends a request to a node; a node that is down gives status 0.
func (w *world) ask(name string, r Request, f func(Reply)) {
	n := w.nodes[name]
	if n.down {
		w.after(step, func() { f(Reply{}) })
		return
	}
	n.ticket++
	r.Origin = Origin{Ticket: n.ticket}
	n.asks[n.ticket] = w.listen(name, r, f)
	n.inbox = append(n.inbox, r)
}

// listen lets the judge hear what a user is told.
func (w *world) listen(name string, r Request, f func(Reply)) func(Reply) {
	switch r.Kind {
	case ReqSubmit:
		w.submitted[r.ID] = true
		if _, known := w.specs[r.ID]; !known {
			w.specs[r.ID] = *r.Job
		}
	case ReqCancel:
		w.asked[r.ID] = true
	case ReqQuery:
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
func (w *world) request(name string, r Request) Reply {
	w.t.Helper()
	var got *Reply
	w.ask(name, r, func(x Reply) { got = &x })
	if !w.until(5*time.Second, func() bool { return got != nil }) {
		w.t.Fatalf("%s: no answer to a %s", name, r.Kind)
	}
	return *got
}

// machines brings up machines beside those that are rented for the work.
func (w *world) machines(n int) {
	w.t.Helper()
	for i := range n {
		w.cloud.rent("c4", []string{"a", "b"}[i%2], true)
	}
	if !w.until(10*time.Second, func() bool { return len(w.workers) >= n }) {
		w.t.Fatal("machines did not come up")
	}
	w.run(2 * time.Second)
}

func (w *world) submit(node string, j protocol.Job) Reply {
	w.t.Helper()
	w.specs[j.UID] = j
	return w.request(node, Request{Kind: ReqSubmit, ID: j.UID, Job: &j})
}

// submitAndStart submits a job and waits until so many of its tasks are on machines.
func (w *world) submitAndStart(node string, j protocol.Job, tasks int) {
	w.t.Helper()
	w.submit(node, j)
	if !w.until(time.Minute, func() bool { return w.onMachines(j.UID) >= tasks }) {
		w.t.Fatalf("%d tasks of %s started, not %d", w.onMachines(j.UID), j.UID, tasks)
	}
}

// running is a world whose leader runs one job, j-1: all its tasks are on machines, each
// for so long.
func running(t *testing.T, nodes int, takes time.Duration, machines, tasks int) (*world, *simNode) {
	t.Helper()
	w := newWorld(t, nodes)
	w.runTime = func(string, int) time.Duration { return takes }
	l := w.waitLeader()
	w.machines(machines)
	w.submitAndStart(l.name, spec("j-1", tasks), tasks)
	return w, l
}

func (w *world) query(node, id string) (int, protocol.JobState) {
	w.t.Helper()
	r := w.request(node, Request{Kind: ReqQuery, ID: id})
	var s protocol.JobState
	if r.Status == 200 {
		if err := json.Unmarshal(r.Body, &s); err != nil {
			w.t.Fatal(err)
		}
	}
	return r.Status, s
}

func (w *world) cancel(node, id string) Reply {
	w.t.Helper()
	return w.request(node, Request{Kind: ReqCancel, ID: id})
}

func (w *world) leader() string {
	for _, name := range w.names {
		if n := w.nodes[name]; !n.down && !n.frozen && n.authority() {
			return name
		}
	}
	return ""
}

// lead waits until some node leads and has read the records.
func (w *world) waitLeader() *simNode {
	w.t.Helper()
	if !w.until(30*time.Second, func() bool { l := w.leader(); return l != "" && w.nodes[l].lead.loaded }) {
		w.t.Fatal("nobody leads")
	}
	return w.nodes[w.leader()]
}

func (w *world) followers() []string {
	return slices.DeleteFunc(slices.Clone(w.names), func(s string) bool { return s == w.leader() || w.nodes[s].down })
}

// waitState waits until a job has a state.
func (w *world) waitState(id, state string, d time.Duration) {
	w.t.Helper()
	end := w.now + d
	var last protocol.JobState
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

// startedOnce checks that no task was started a second time.
func (w *world) startedOnce() {
	w.t.Helper()
	for task, n := range w.starts {
		if n != 1 {
			w.t.Errorf("%s was started %d times", task, n)
		}
	}
}

// onMachines counts a job's tasks that are on machines.
func (w *world) onMachines(id string) int {
	count := 0
	for _, x := range w.workers {
		for _, t := range x.tasks {
			if strings.HasPrefix(t.key, id+"/") && t.state != protocol.TaskExited {
				count++
			}
		}
	}
	return count
}

func jobOf(key string) string { id, _, _ := strings.Cut(key, "/"); return id }

// fakeState is the state service.
type fakeState struct {
	w         *world
	keys      map[string]storage.Item
	rev       uint64
	log       []storage.Event
	leases    map[uint64]*fakeLease
	last      uint64
	down      bool
	refuse    map[string]bool
	lost      map[string]bool        // nodes whose calls vanish
	limited   bool                   // enforce the changes per second
	lowered   bool                   // the limits that the settings announce hold
	refused   []string               // keys of transactions that were too large for those
	slowed    int                    // changes that came too fast for those
	refuseTxn func(storage.Txn) bool // transactions to refuse for good
	writes    bucket
	lose      int                                   // answers of executed transactions to swallow
	hold      func(node string, t storage.Txn) bool // transactions to keep back
	held      []func()
	late      func() (d time.Duration, is bool) // calls that get no answer and are carried out so much later
	slow      func() time.Duration              // by how much each call is held up on its way
	watchers  []func() bool
}

type fakeLease struct{ ttl, left time.Duration }

func (s *fakeState) expire() {
	if s.down {
		return
	}
	for id, l := range s.leases {
		if l.left -= step; l.left <= 0 {
			s.end(id)
		}
	}
}

func (s *fakeState) end(id uint64) {
	delete(s.leases, id)
	for k, it := range s.keys {
		if it.Lease == id {
			s.rev++
			s.drop(k)
		}
	}
}

func (s *fakeState) drop(key string) {
	delete(s.keys, key)
	s.log = append(s.log, storage.Event{Drop: key, Version: s.rev})
	s.wake()
}

func (s *fakeState) wake() {
	s.watchers = slices.DeleteFunc(s.watchers, func(f func() bool) bool { return f() })
}

func (s *fakeState) setDown(down bool) {
	s.down = down
	for _, l := range s.leases {
		l.left = l.ttl
	}
	if !down {
		s.wake()
	}
}

func (s *fakeState) serve(node string, c Call, back func(int, any)) {
	if s.lost[node] {
		return
	}
	if s.late != nil && c.Method != "GET" && !s.down && !s.refuse[node] {
		if d, is := s.late(); is {
			// A late one meets an outage or a refusal of its own node, too.
			s.w.after(d, func() { s.carryOut(node, c, func(int, any) {}) })
			return
		}
	}
	s.carryOut(node, c, back)
}

func (s *fakeState) carryOut(node string, c Call, back func(int, any)) {
	if s.down || s.refuse[node] {
		if !strings.HasPrefix(c.Path, "/follow") {
			s.w.after(step, func() { back(503, nil) })
		}
		return
	}
	u, err := url.Parse(c.Path)
	if err != nil {
		s.w.t.Fatal(err)
	}
	q := u.Query()
	switch {
	case c.Method == "GET" && strings.HasPrefix(u.Path, "/store/"):
		if it, ok := s.keys[strings.TrimPrefix(u.Path, "/store/")]; ok {
			back(200, it)
		} else {
			back(404, storage.TxnResult{Revision: s.rev})
		}
	case c.Method == "GET" && u.Path == "/store":
		page := storage.Page{Revision: s.rev}
		var keys []string
		for k := range s.keys {
			if strings.HasPrefix(k, q.Get("under")) && k > q.Get("since") {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		limit, _ := strconv.Atoi(q.Get("limit"))
		for i, k := range keys {
			if i == limit {
				page.Truncated = true
				break
			}
			page.Items = append(page.Items, s.keys[k])
		}
		back(200, page)
	case u.Path == "/multi":
		var t storage.Txn
		if err := json.Unmarshal(c.Body, &t); err != nil {
			s.w.t.Fatal(err)
		}
		if s.refuseTxn != nil && s.refuseTxn(t) {
			back(400, nil)
			return
		}
		rate := s.w.cfg.State.WriteRPS
		if s.lowered {
			rate = s.w.cfg.State.LowerWriteRPS()
			if key := s.tooLarge(t); key != "" {
				s.refused = append(s.refused, key)
				back(400, nil)
				return
			}
		}
		if s.limited || s.lowered {
			s.writes.rate, s.writes.burst = rate, rate
			if !s.writes.take(s.w.now, float64(len(t.Writes))) {
				s.slowed++
				back(429, nil)
				return
			}
		}
		if s.hold != nil && s.hold(node, t) {
			s.held = append(s.held, func() { s.multi(t) })
			return // no answer: it may be executed later
		}
		status, res := s.multi(t)
		if status == 200 && s.lose > 0 {
			s.lose--
			s.w.after(time.Second, func() { back(0, nil) })
			return
		}
		back(status, res)
	case u.Path == "/holds":
		var h storage.Hold
		json.Unmarshal(c.Body, &h)
		s.last++
		ttl := time.Duration(h.TTLMS) * time.Millisecond
		s.leases[s.last] = &fakeLease{ttl, ttl}
		back(200, storage.Hold{Lease: s.last})
	case strings.HasPrefix(u.Path, "/holds/"):
		num, touch := strings.CutSuffix(strings.TrimPrefix(u.Path, "/holds/"), "/touch")
		id, _ := strconv.ParseUint(num, 10, 64)
		l := s.leases[id]
		switch {
		case l == nil:
			back(404, nil)
		case touch:
			l.left = l.ttl
			back(200, storage.Hold{Lease: id})
		default:
			s.end(id)
			back(200, nil)
		}
	case u.Path == "/follow":
		since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		end := s.w.now + time.Duration(wait)*time.Millisecond
		look := func() bool {
			if s.down {
				return false
			}
			ev := storage.Events{Revision: s.rev}
			for _, e := range s.log {
				if e.Version > since && strings.HasPrefix(e.Set+e.Drop, q.Get("under")) {
					ev.Log = append(ev.Log, e)
				}
			}
			if len(ev.Log) == 0 && s.w.now < end {
				return false
			}
			back(200, ev)
			return true
		}
		if !look() {
			s.watchers = append(s.watchers, look)
			s.w.after(end-s.w.now, s.wake)
		}
	default:
		s.w.t.Fatalf("state service: %s %s", c.Method, c.Path)
	}
}

// tooLarge names a key of a transaction that is over the announced limits.
func (s *fakeState) tooLarge(t storage.Txn) string {
	for _, wr := range t.Writes {
		if len(wr.Value) > s.w.cfg.State.ValueBytes() || len(t.Writes) > s.w.cfg.State.Ops() {
			return wr.Key()
		}
	}
	return ""
}

// put writes a value, as some earlier leader did.
func (s *fakeState) put(key string, value any) {
	switch rec := value.(type) {
	case storage.JobRecord:
		s.w.submitted[rec.Spec.UID], s.w.specs[rec.Spec.UID] = true, rec.Spec
	case storage.FinalRecord:
		id := strings.TrimPrefix(key, storage.FinalPrefix)
		s.w.submitted[id], s.w.asked[id] = true, rec.State == protocol.Withdrawn
	}
	s.rev++
	s.keys[key] = storage.Item{Key: key, Value: storage.Encode(value), Version: s.rev}
}

// holdOne keeps back the next transaction, which was not answered.
func holdOne(s *fakeState) func(string, storage.Txn) bool {
	return func(string, storage.Txn) bool {
		s.hold = nil
		return true
	}
}

func (s *fakeState) multi(t storage.Txn) (int, any) {
	for _, wr := range t.Writes {
		if wr.Lease != 0 && s.leases[wr.Lease] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.keys[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, storage.TxnResult{Failed: failed, Revision: s.rev}
	}
	if len(t.Writes) > s.w.cfg.State.TxnOps {
		s.w.t.Fatalf("transaction of %d writes", len(t.Writes))
	}
	s.rev++
	for _, wr := range t.Writes {
		if wr.Set == "" {
			s.drop(wr.Drop)
			continue
		}
		if len(wr.Value) > int(s.w.cfg.State.ValueKB*1024) {
			s.w.t.Fatalf("value of %d bytes at %s", len(wr.Value), wr.Set)
		}
		s.keys[wr.Set] = storage.Item{Key: wr.Set, Value: wr.Value, Version: s.rev, Lease: wr.Lease}
		s.log = append(s.log, storage.Event{Set: wr.Set, Value: wr.Value, Version: s.rev})
	}
	s.wake()
	return 200, storage.TxnResult{Revision: s.rev}
}

// fakeCloud is the cloud.
type fakeCloud struct {
	w        *world
	requests map[string][]string
	hosts    map[string]*worker
	last     int
	down     bool
	noSpot   bool
	capacity int // machines to be had in all; 0: any number
	noReturn bool
	boot     time.Duration
	bootOf   func() time.Duration // of the next machine
	types    []protocol.MachineType
}

func (c *fakeCloud) serve(call Call, back func(int, any)) {
	if c.down {
		back(503, map[string]string{"error": "trouble"})
		return
	}
	switch {
	case call.Path == "/catalog":
		types := c.types
		if types == nil {
			types = []protocol.MachineType{{Name: "c4", Cores: 4, RAM: 16, CacheGB: 40, PullGBPerS: 1, Rate: 0.3, SpotRate: 0.1, ReadyS: 5, Zones: []string{"a", "b"}}}
		}
		back(200, protocol.Catalog{Types: types})
	case call.Path == "/hosts":
		var r protocol.Rental
		if err := json.Unmarshal(call.Body, &r); err != nil {
			c.w.t.Fatal(err)
		}
		if _, stored := c.w.state.keys[storage.RentPrefix+r.Request]; !stored && c.requests[r.Request] == nil {
			c.w.t.Fatalf("rental %s is not stored", r.Request) // nor has it been answered before
		}
		if (c.noSpot && r.Spot) || (c.capacity > 0 && len(c.hosts)+r.Count > c.capacity) {
			back(503, map[string]string{"error": "no capacity"})
			return
		}
		names, again := c.requests[r.Request]
		if !again {
			for range r.Count {
				names = append(names, c.rent(r.Type, r.Zone, r.Spot).name)
			}
			c.requests[r.Request] = names
		}
		back(200, protocol.MachineNames{Machines: names})
	case call.Path == "/hosts/return" && c.noReturn:
		back(503, map[string]string{"error": "trouble"})
	case call.Path == "/hosts/return":
		var m protocol.MachineNames
		json.Unmarshal(call.Body, &m)
		for _, name := range m.Machines {
			delete(c.w.workers, name)
			delete(c.hosts, name)
		}
		back(200, nil)
	case strings.HasPrefix(call.Path, "/hosts?"):
		var list protocol.HostList
		for _, x := range c.hosts {
			list.Machines = append(list.Machines, protocol.Host{UID: x.name, Type: x.typ, Zone: x.zone, Spot: x.spot, State: "running"})
		}
		sort.Slice(list.Machines, func(i, j int) bool { return list.Machines[i].UID < list.Machines[j].UID })
		back(200, list)
	default:
		c.w.t.Fatalf("cloud: %s", call.Path)
	}
}

func (c *fakeCloud) rent(typ, zone string, spot bool) *worker {
	c.last++
	x := &worker{w: c.w, name: fmt.Sprintf("m-%06d", c.last), typ: typ, zone: zone, spot: spot, session: 1,
		node: c.w.names[c.last%len(c.w.names)]}
	c.hosts[x.name] = x
	boot := c.boot
	if boot == 0 {
		boot = 2 * time.Second
	}
	if c.bootOf != nil {
		boot = c.bootOf()
	}
	c.w.after(boot, func() {
		if c.hosts[x.name] == x {
			x.renewed, x.next = c.w.now, c.w.now
			c.w.workers[x.name] = x
		}
	})
	return x
}

// worker is a machine's worker.
type worker struct {
	w                *world
	name, typ, zone  string
	spot             bool
	session, seq     uint64
	token            uint64
	node             string
	tasks            []*simTask
	renewed          Instant // when the last answered report was sent
	next             Instant
	busy             bool
	changed          bool
	notice           *float64
	silent           bool // no report leaves, no answer arrives
	hanging          bool
	faulty           bool
	dropAnswers      bool
	lag              time.Duration // by how much answers to it are held up
	grace            []float64     // of the stops it was given
	forgotten        []string
	answers, refused int
}

type simTask struct {
	key     string
	attempt uint64
	state   string
	why     string
	saved   bool
	end     Instant
}

func (x *worker) report() *protocol.Report {
	x.seq++
	r := &protocol.Report{Machine: x.name, Type: x.typ, Zone: x.zone, Spot: x.spot, Session: x.session, Seq: x.seq,
		FencingToken: x.token, NoticeS: x.notice}
	for _, t := range x.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: t.key, Attempt: t.attempt, State: t.state, Why: t.why, Saved: t.saved})
	}
	return r
}

func (x *worker) tick() {
	w := x.w
	lease := config.Seconds(w.cfg.Workers.LeaseS)
	if w.now-x.renewed > lease {
		// A machine that hangs goes on within its lease or not at all.
		x.session++
		x.tasks, x.renewed, x.changed = nil, w.now, true
	}
	if x.hanging {
		return
	}
	for _, t := range x.tasks {
		if t.state == protocol.TaskRunning && w.now >= t.end {
			t.state, t.why, x.changed = protocol.TaskExited, protocol.WhyDone, true
			if x.faulty || w.mistake[jobOf(t.key)] {
				t.why = protocol.WhyError
			} else {
				w.finished[t.key] = true
			}
		}
	}
	if x.silent || x.busy || (w.now < x.next && !(x.changed && w.now > x.next-time.Second)) {
		return
	}
	x.send(x.report())
}

// send sends a report to the worker's node and deals with the answer.
func (x *worker) send(rep *protocol.Report) {
	w := x.w
	if w.copies != nil {
		w.copies(x, rep)
	}
	x.busy, x.changed = true, false
	sent, session := w.now, x.session
	x.next = w.now + config.Seconds(w.cfg.Workers.ReportS)
	done := false
	finish := func(r Reply) {
		if done {
			return
		}
		done, x.busy = true, false
		x.answer(r, sent, session)
	}
	w.after(4*time.Second, func() { finish(Reply{}) })
	if w.far[x.node] || (w.reach != nil && !w.reach(x, x.node)) {
		return // packets vanish
	}
	w.ask(x.node, Request{Kind: ReqReport, Report: rep}, func(r Reply) {
		if !x.silent && !x.dropAnswers {
			w.after(x.lag, func() { finish(r) })
		}
	})
}

func (x *worker) answer(r Reply, sent Instant, session uint64) {
	w := x.w
	other := func() {
		i := slices.Index(w.names, x.node)
		x.node = w.names[(i+1)%len(w.names)]
		x.next = w.now + time.Second
	}
	switch r.Status {
	case 200:
		x.answers++
		var a protocol.ReportAnswer
		if err := json.Unmarshal(r.Body, &a); err != nil {
			w.t.Fatal(err)
		}
		if a.FencingToken < x.token || session != x.session {
			return
		}
		if a.FencingToken > x.token {
			x.token, x.changed = a.FencingToken, true
		}
		x.renewed = sent
		for _, c := range a.Commands {
			x.execute(c)
		}
	case 421:
		var to protocol.Redirect
		json.Unmarshal(r.Body, &to)
		if to.ReportTo == "" || to.ReportTo == x.node {
			other()
			return
		}
		x.node, x.next = to.ReportTo, w.now
	default:
		x.refused++
		other()
	}
}

func (x *worker) execute(c protocol.Command) {
	i := slices.IndexFunc(x.tasks, func(t *simTask) bool { return t.key == c.Task && t.attempt == c.Attempt })
	x.changed = true
	switch c.Op {
	case protocol.OpStart:
		if i >= 0 {
			return
		}
		x.w.starts[c.Task]++
		x.w.checkStart(x, c.Task)
		end := x.w.now
		if !x.w.finished[c.Task] { // else its result was kept
			end += x.w.runTime(c.Task, x.w.starts[c.Task])
		}
		x.tasks = append(x.tasks, &simTask{key: c.Task, attempt: c.Attempt, state: protocol.TaskRunning, end: end})
	case protocol.OpStop:
		if i >= 0 && x.tasks[i].state != protocol.TaskExited {
			x.grace = append(x.grace, *c.GraceS)
			t := x.tasks[i]
			t.state, t.why = protocol.TaskExited, protocol.WhyHalted
			j := x.w.specs[jobOf(c.Task)]
			t.saved = j.CheckpointS > 0 && *c.GraceS >= j.SaveS
		}
	case protocol.OpForget:
		if i >= 0 {
			x.forgotten = append(x.forgotten, c.Task)
			x.tasks = slices.Delete(x.tasks, i, i+1)
		}
	}
}

// spec is a job of so many one-core tasks.
func spec(id string, tasks int) protocol.Job {
	return protocol.Job{UID: id, Class: "c", Team: "free", Kind: "batch", Priority: "standard", Tasks: tasks,
		Cores: 1, RAM: 1, Image: "i", Spot: true, EstimateS: 5}
}
