package controller

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// fakeCloud is the cloud.
type fakeCloud struct {
	w        *simulation
	requests map[string][]string
	hosts    map[string]*worker
	last     int
	down     bool
	noSpot   bool
	capacity int // machines to be had in all; 0: any number
	noReturn bool
	hides    bool // machine lists are empty
	boot     time.Duration
	bootOf   func() time.Duration // of the next machine
	types    []protocol.MachineType
}

func (c *fakeCloud) serve(call ServiceCall, back func(int, any)) {
	if c.down {
		back(503, map[string]string{"error": "trouble"})
		return
	}
	switch {
	case call.Path == "/catalog":
		types := c.types
		if types == nil {
			types = []protocol.MachineType{{Name: "c4", Cores: 4, MemoryGB: 16, ImageCacheGB: 40, PullGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}}
		}
		back(200, protocol.Catalog{Types: types})
	case call.Path == "/hosts":
		var r protocol.RentalRequest
		if err := json.Unmarshal(call.Body, &r); err != nil {
			c.w.t.Fatal(err)
		}
		if _, stored := c.w.state.keys[storage.RentalPrefix+r.RequestID]; !stored && c.requests[r.RequestID] == nil {
			c.w.t.Fatalf("rental %s is not stored", r.RequestID) // nor has it been answered before
		}
		if (c.noSpot && r.Spot) || (c.capacity > 0 && len(c.hosts)+r.Count > c.capacity) {
			back(503, map[string]string{"error": "no capacity"})
			return
		}
		names, again := c.requests[r.RequestID]
		if !again {
			for range r.Count {
				names = append(names, c.rent(r.Type, r.Zone, r.Spot).name)
			}
			c.requests[r.RequestID] = names
		}
		back(200, protocol.MachineNames{Machines: names})
	case call.Path == "/hosts/return" && c.noReturn:
		back(503, map[string]string{"error": "trouble"})
	case call.Path == "/hosts/return":
		var m protocol.MachineNames
		json.Unmarshal(call.Body, &m)
		for _, name := range m.Machines {
			if x := c.w.workers[name]; x != nil {
				c.take(x)
			}
			delete(c.hosts, name)
		}
		back(200, nil)
	case strings.HasPrefix(call.Path, "/hosts?"):
		var list protocol.HostPage
		for _, x := range c.hosts {
			if c.hides {
				break
			}
			list.Machines = append(list.Machines, protocol.Host{Name: x.name, Type: x.typ, Zone: x.zone, Spot: x.spot, State: "running"})
		}
		sort.Slice(list.Machines, func(i, j int) bool { return list.Machines[i].Name < list.Machines[j].Name })
		back(200, list)
	default:
		c.w.t.Fatalf("cloud: %s", call.Path)
	}
}

// take takes a machine away without any notice.
func (c *fakeCloud) take(x *worker) {
	x.disconnect()
	delete(c.w.workers, x.name)
	delete(c.hosts, x.name)
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
			c.w.addWorker(x)
		}
	})
	return x
}

// worker is a machine's worker.
type worker struct {
	w                *simulation
	name, typ, zone  string
	spot             bool
	session, seq     uint64
	token            uint64
	node             string
	connected        string // the node that its connection goes to, where those are counted
	tasks            []*simTask
	renewed          clock.Instant // when the last answered report was sent
	next             clock.Instant
	busy             bool
	changed          bool
	notice           *float64
	silent           bool // no report leaves, no answer arrives
	hanging          bool
	faulty           bool
	failsAfter       time.Duration // how long a faulty machine's tasks run; 0: to their end
	dropAnswers      bool
	lag              time.Duration // by how much answers to it are held up
	grace            []float64     // of the stops it was given
	forgotten        []string
	answers, refused int
}

type simTask struct {
	key     string
	attempt uint64
	state   protocol.TaskState
	why     protocol.ExitReason
	saved   bool
	end     clock.Instant
}

func (x *worker) report() *protocol.WorkerHeartbeat {
	x.seq++
	r := &protocol.WorkerHeartbeat{Machine: x.name, Address: x.name + ":9000", Type: x.typ, Zone: x.zone, Spot: x.spot, Epoch: x.session, Sequence: x.seq,
		FencingToken: x.token, PreemptionNoticeSeconds: x.notice}
	for _, t := range x.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{TaskID: t.key, Attempt: t.attempt, State: t.state, ExitReason: t.why, CheckpointSaved: t.saved})
	}
	return r
}

// restarted is a machine that is back at once after an end, in a new session.
func (x *worker) restarted() {
	x.session++
	x.tasks, x.renewed, x.changed, x.busy = nil, x.w.now, true, false
}

// tick lets the worker do what is due, with the workers' lease.
func (x *worker) tick(lease time.Duration) {
	w := x.w
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
			t.state, t.why, x.changed = protocol.TaskExited, protocol.ExitDone, true
			if x.faulty || w.mistake[jobOf(t.key)] {
				t.why = protocol.ExitFailed
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
func (x *worker) send(rep *protocol.WorkerHeartbeat) {
	w := x.w
	if w.copies != nil {
		w.copies(x, rep)
	}
	x.busy, x.changed = true, false
	sent, session := w.now, x.session
	x.next = w.now + config.Seconds(w.cfg.Workers.HeartbeatIntervalS)
	done := false
	finish := func(r Reply) {
		if done {
			return
		}
		done, x.busy = true, false
		x.answer(r, sent, session)
	}
	w.after(4*time.Second, func() { finish(Reply{}) })
	if w.far[x.node] || w.noReports[x.node] || (w.reach != nil && !w.reach(x, x.node)) {
		return // packets vanish
	}
	if !x.connect() {
		w.after(step, func() { finish(Reply{Status: 503, RetryAfter: 1}) })
		return
	}
	node := x.node
	w.ask(node, Request{Kind: protocol.RequestHeartbeat, Heartbeat: rep}, func(r Reply) {
		if !x.silent && !x.dropAnswers && !w.noAnswers[node] {
			w.after(x.lag, func() { finish(r) })
		}
	})
}

// connect opens a connection to the worker's node, unless that has no free one.
func (x *worker) connect() bool {
	w := x.w
	if w.sockets == 0 || x.connected == x.node {
		return true
	}
	x.disconnect()
	if w.nodes[x.node].down {
		return true // refused, and answered so
	}
	if w.open[x.node] >= w.sockets {
		return false
	}
	x.connected = x.node
	w.open[x.node]++
	return true
}

func (x *worker) disconnect() {
	if x.connected != "" {
		x.w.open[x.connected]--
		x.connected = ""
	}
}

func (x *worker) answer(r Reply, sent clock.Instant, session uint64) {
	w := x.w
	if w.sockets > 0 && (r.Status != 200 || w.open[x.connected] > w.sockets-w.sockets/8) {
		x.disconnect() // it goes elsewhere, or its server takes turns
	}
	other := func() {
		i := slices.Index(w.names, x.node)
		x.node = w.names[(i+1)%len(w.names)]
		x.next = w.now + time.Second
	}
	switch r.Status {
	case 200:
		x.answers++
		var a protocol.HeartbeatResponse
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
		var to protocol.HeartbeatRedirect
		json.Unmarshal(r.Body, &to)
		if to.Node == "" || to.Node == x.node {
			other()
			return
		}
		x.node, x.next = to.Node, w.now
	default:
		x.refused++
		other()
	}
}

func (x *worker) execute(c protocol.Command) {
	i := slices.IndexFunc(x.tasks, func(t *simTask) bool { return t.key == c.TaskID && t.attempt == c.Attempt })
	x.changed = true
	switch c.Kind {
	case protocol.CommandStart:
		if i >= 0 {
			return
		}
		x.w.starts[c.TaskID]++
		x.w.checkStart(x, c.TaskID)
		end := x.w.now
		if !x.w.finished[c.TaskID] { // else its result was kept
			takes := x.w.runTime(c.TaskID, x.w.starts[c.TaskID])
			if x.faulty && x.failsAfter > 0 {
				takes = x.failsAfter
			}
			end += takes
		}
		x.tasks = append(x.tasks, &simTask{key: c.TaskID, attempt: c.Attempt, state: protocol.TaskRunning, end: end})
	case protocol.CommandStop:
		if i >= 0 && x.tasks[i].state != protocol.TaskExited {
			x.grace = append(x.grace, *c.GraceSeconds)
			t := x.tasks[i]
			x.w.stoppedTasks = append(x.w.stoppedTasks, t.key)
			t.state, t.why = protocol.TaskExited, protocol.ExitStopped
			j := x.w.specs[jobOf(c.TaskID)]
			t.saved = j.CheckpointIntervalSeconds > 0 && *c.GraceSeconds >= j.CheckpointSaveSeconds
		}
	case protocol.CommandForget:
		if i >= 0 {
			x.forgotten = append(x.forgotten, c.TaskID)
			x.tasks = slices.Delete(x.tasks, i, i+1)
		}
	}
}
