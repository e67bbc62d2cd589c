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

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// The simulation runs controller nodes step by step on a fake clock, with in-process fakes of the
// key-value store, the cloud and the workers. The fakes are written from the protocol. Every test
// also runs the invariant checker of invariants_test.go, which checks each step and each reply.

// step is the simulated time between two steps of a node. Messages, calls and replies arrive one step
// later, unless a fault delays them.
const step = 5 * time.Millisecond

// simulation is a simulated cluster with its nodes, machines, faults and checks.
type simulation struct {
	t             *testing.T
	now           clock.Instant
	cfg           config.Cluster
	nodes         map[string]*simNode
	names         []string // names of the nodes
	store         *fakeStore
	cloud         *fakeCloud
	workers       map[string]*fakeWorker  // workers of booted machines, by machine name
	workersByName []*fakeWorker           // cache of sortedWorkers
	jobSpecs      map[string]protocol.Job // jobs as submitted, by id
	events        events
	lastEventSeq  int

	linkCuts     map[[2]string]bool // cut links between nodes, in both directions
	oneWayCuts   map[[2]string]bool // cut links between nodes, from the first to the second
	holdMessages bool               // a cut link delays messages until it heals, instead of dropping them
	heldMessages []event

	unreachableNodes  map[string]bool                            // nodes that no worker can reach
	workerReaches     func(worker *fakeWorker, node string) bool // nil: all nodes but unreachableNodes are reached
	heartbeatsBlocked map[string]bool                            // nodes that no heartbeat of a worker reaches
	responsesBlocked  map[string]bool                            // nodes whose responses reach no worker

	taskDuration  func(task string, attempt int) time.Duration                  // attempts count from 1
	onHeartbeat   func(worker *fakeWorker, heartbeat *protocol.WorkerHeartbeat) // called before a heartbeat is sent
	alterResult   func(node string, call ServiceCall, r CallResult) CallResult  // alters results of store and cloud
	interceptCall func(call ServiceCall) (r CallResult, ok bool)                // if ok, r replaces a fake's response
	onEffects     func(n *simNode, effects []Effect)                            // called with the effects of each step

	startCounts      map[string]int           // number of starts, by task
	stoppedTasks     []string                 // tasks that stop commands ended, in this order
	failingJobs      map[string]bool          // jobs whose tasks fail on every machine
	oldVersionNodes  map[string]bool          // nodes that start with protocol level 0
	wallClockOffsets map[string]time.Duration // offsets of the wall clocks from simulated time, by node
	fairAdmission    bool                     // enables admission by policy
	connectionLimit  int                      // limit of workers' connections to each node; 0: none
	openConnections  map[string]int           // workers' connections, by node
	invariantChecker
}

// event is an action that is scheduled for a time.
type event struct {
	dueAt  clock.Instant
	seq    int // orders events that are due at the same time
	action func()
}

// events is a binary heap of scheduled actions, ordered by time and sequence number. Sequence numbers
// are unique, so the order is total. The heap does not use container/heap, which allocates for each
// event.
type events []event

func (e event) before(other event) bool {
	return e.dueAt < other.dueAt || e.dueAt == other.dueAt && e.seq < other.seq
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
	h[len(h)-1] = event{} // lets the action be garbage collected
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

// simNode is a node with its simulated process, clock and network.
type simNode struct {
	*Node
	name               string
	bootedAt           clock.Instant
	epoch              int                    // incremented by each start and crash; open calls get no result then
	inbox              []Command              // commands for the next step
	pendingRequests    map[uint64]func(Reply) // reply handlers, by request id
	lastRequestID      uint64
	down               bool
	clockRate          float64       // rate of its monotonic clock relative to simulated time; 0: no drift
	paused             bool          // its steps are suspended, but its clocks advance
	oldVersion         bool          // it sends and writes as protocol level 0 does
	pauseBeforeEffects time.Duration // pause between its next step that has effects and their execution
	loadReportedAt     clock.Instant // monotonic time of its last ServerLoad command
}

// loadReportInterval is the interval at which a node is told its number of open connections.
const loadReportInterval = 20 * step

// monotonicNow returns the reading of the node's monotonic clock, which is 0 when the node boots.
func (n *simNode) monotonicNow(now clock.Instant) clock.Instant {
	if n.clockRate == 0 {
		return now - n.bootedAt
	}
	return clock.Instant(float64(now-n.bootedAt) * n.clockRate)
}

// workerTimings are the worker settings of a deployment, in seconds.
type workerTimings struct{ heartbeatInterval, machineLease, cancelLimit float64 }

// deployments lists the worker timings that the tests cover.
var deployments = []workerTimings{{1.5, 14, 34}, {3, 18, 38}, {4, 22, 42}, {5, 26.5, 46.5}}

func newSimulation(t *testing.T, nodes int) *simulation {
	return newSimulationWithTimings(t, nodes, deployments[0])
}

func newSimulationWithTimings(t *testing.T, nodes int, timings workerTimings) *simulation {
	sim := &simulation{t: t, nodes: map[string]*simNode{}, workers: map[string]*fakeWorker{},
		jobSpecs: map[string]protocol.Job{},
		linkCuts: map[[2]string]bool{}, oneWayCuts: map[[2]string]bool{},
		heartbeatsBlocked: map[string]bool{}, responsesBlocked: map[string]bool{},
		unreachableNodes: map[string]bool{}, startCounts: map[string]int{}, failingJobs: map[string]bool{},
		oldVersionNodes: map[string]bool{}, openConnections: map[string]int{}, invariantChecker: newInvariantChecker(),
		taskDuration: func(string, int) time.Duration { return 5 * time.Second }}
	c := &sim.cfg
	c.ControllerCount = nodes
	c.Zones = []string{"a", "b"}
	c.Workers.HeartbeatIntervalS, c.Workers.LeaseS, c.Workers.CancelS =
		timings.heartbeatInterval, timings.machineLease, timings.cancelLimit
	c.Store.RequestsPerS, c.Store.WritesPerS, c.Store.ValueKB, c.Store.TxnOps = 200, 100, 8, 20
	c.Cloud.RequestsPerS, c.Cloud.ListLagS = 4, 10
	c.Resources.CoreShare, c.Resources.MemoryMB, c.Resources.MaxConnections = 0.1, 100, 1000
	c.Teams = []config.Team{{Name: "team", MaxCPUs: 16}, {Name: "free"}}
	sim.store = &fakeStore{simulation: sim, keys: map[string]storage.Item{}, leases: map[uint64]*fakeLease{},
		refusedNodes: map[string]bool{}, requestsDropped: map[string]bool{}, responsesDropped: map[string]bool{}}
	sim.cloud = &fakeCloud{simulation: sim, rentals: map[string][]string{}, hosts: map[string]*fakeWorker{}}
	for i := range nodes {
		sim.names = append(sim.names, fmt.Sprintf("n%d", i))
	}
	for _, name := range sim.names {
		sim.startNode(name)
	}
	return sim
}

// testLog returns a logger that writes to standard error if LOG_LEVEL is debug. Otherwise the logger
// discards all records without formatting them.
func testLog() *slog.Logger {
	if os.Getenv("LOG_LEVEL") == "debug" {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	return slog.New(slog.DiscardHandler)
}

// startNode starts a node with empty memory, in place of an earlier one of the same name.
func (sim *simulation) startNode(name string) {
	platform := &config.Platform{Node: name, Cluster: sim.cfg}
	if sim.oldVersionNodes[name] {
		platform.Cluster.Store.Upcoming = config.StoreLimits{}.Upcoming // unknown to protocol level 0
	}
	for _, other := range sim.names {
		if other != name {
			platform.Peers = append(platform.Peers, config.Peer{Node: other})
		}
	}
	epoch := 1
	if previous := sim.nodes[name]; previous != nil {
		epoch = previous.epoch + 1
	}
	settings := config.Defaults()
	settings.IdleRetention = 4 // keeps idle machines, so that races with them occur
	settings.FairAdmission = sim.fairAdmission
	settings.RecoveryMinMachines = 0 // the simulated fleets are small
	sim.nodes[name] = &simNode{
		Node: New(Options{Platform: platform, Settings: settings, Log: testLog().With("node", name),
			Rand:      rand.New(rand.NewPCG(uint64(len(name)), uint64(name[1]))),
			StartTime: time.Unix(1_000_000, 0).Add(sim.now + sim.wallClockOffsets[name])}),
		name: name, bootedAt: sim.now, epoch: epoch, pendingRequests: map[uint64]func(Reply){},
		oldVersion: sim.oldVersionNodes[name],
	}
}

// crashNode ends a node at once, which closes its workers' connections.
func (sim *simulation) crashNode(name string) {
	sim.nodes[name].down = true
	sim.nodes[name].epoch++
	for _, worker := range sim.workers {
		if worker.connectedNode == name {
			worker.disconnect()
		}
	}
}

func (sim *simulation) restartNode(name string) { sim.startNode(name) }

// restartAfter crashes a node and restarts it after a downtime with the same clock rate, unless it has
// been restarted in the meantime.
func (sim *simulation) restartAfter(name string, downtime time.Duration) {
	sim.crashNode(name)
	sim.schedule(downtime, func() {
		if sim.nodes[name].down {
			rate := sim.nodes[name].clockRate
			sim.restartNode(name)
			sim.nodes[name].clockRate = rate
		}
	})
}

// schedule calls f after a duration of simulated time.
func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.lastEventSeq++
	sim.events.push(event{sim.now + d, sim.lastEventSeq, f})
}

// advance runs the simulation for a duration.
func (sim *simulation) advance(d time.Duration) { sim.advanceUntil(d, func() bool { return false }) }

// advanceUntil runs the simulation until the condition holds or the duration has passed, and
// returns whether it holds.
func (sim *simulation) advanceUntil(d time.Duration, condition func() bool) bool {
	sim.t.Helper()
	for end := sim.now + d; sim.now < end; {
		if condition() {
			return true
		}
		sim.now += step
		sim.store.expireLeases()
		for len(sim.events) > 0 && sim.events[0].dueAt <= sim.now {
			sim.events.pop().action()
		}
		for _, name := range sim.names {
			sim.stepNode(sim.nodes[name])
		}
		leaseDuration := config.Seconds(sim.cfg.Workers.LeaseS)
		for _, worker := range sim.sortedWorkers() {
			worker.tick(leaseDuration)
		}
		sim.checkInvariants()
	}
	return condition()
}

// sortedWorkers returns the workers in order of their names. The list is cached, since sorting at
// each step took half of the tests' time. Workers are added by addWorker only, which drops the
// cache; if the cache is as long as the map, no worker has been removed since either.
func (sim *simulation) sortedWorkers() []*fakeWorker {
	if len(sim.workersByName) != len(sim.workers) {
		sim.workersByName = slices.SortedFunc(maps.Values(sim.workers),
			func(a, b *fakeWorker) int { return cmp.Compare(a.name, b.name) })
	}
	return sim.workersByName
}

// addWorker adds a worker whose machine has booted.
func (sim *simulation) addWorker(worker *fakeWorker) {
	sim.workers[worker.name] = worker
	sim.workersByName = nil
}

// stepNode runs one step of a node on its inbox and applies the effects.
func (sim *simulation) stepNode(n *simNode) {
	if n.down || n.paused {
		return
	}
	batch := n.inbox
	n.inbox = nil
	if sim.connectionLimit > 0 && n.monotonicNow(sim.now) >= n.loadReportedAt+loadReportInterval {
		n.loadReportedAt = n.monotonicNow(sim.now)
		batch = append(batch, ServerLoad{Open: sim.openConnections[n.name], Limit: sim.connectionLimit})
	}
	effects := n.Step(n.monotonicNow(sim.now), batch)
	if sim.onEffects != nil {
		sim.onEffects(n, effects)
	}
	if n.pauseBeforeEffects > 0 && len(effects) > 0 {
		sim.pauseNode(n, n.pauseBeforeEffects, func() { sim.applyEffects(n, effects) })
		n.pauseBeforeEffects = 0
		return
	}
	sim.applyEffects(n, effects)
}

// pauseNode suspends a node's steps for a duration. It then calls onResume unless the node has crashed
// or restarted in the meantime.
func (sim *simulation) pauseNode(n *simNode, d time.Duration, onResume func()) {
	n.paused = true
	epoch := n.epoch
	sim.schedule(d, func() {
		n.paused = false
		if !n.down && n.epoch == epoch {
			onResume()
		}
	})
}

// applyEffects carries out the effects of a step: it delivers replies and messages, and calls the
// store and the cloud.
func (sim *simulation) applyEffects(n *simNode, effects []Effect) {
	epoch := n.epoch
	for _, e := range effects {
		switch e := e.(type) {
		case Reply:
			if onReply := n.pendingRequests[e.RequestID]; onReply != nil {
				delete(n.pendingRequests, e.RequestID)
				sim.schedule(step, func() { onReply(e) })
			}
		case OutboundMessage:
			if n.oldVersion {
				if heartbeat, ok := e.Message.(protocol.PeerHeartbeat); ok {
					heartbeat.ProtocolLevel, heartbeat.WritesThrottled = 0, false
					e.Message = heartbeat
				}
			}
			to, message := e.To, roundTripMessage(sim.t, e.Message)
			deliver := func() {
				if peer := sim.nodes[to]; !peer.down {
					peer.inbox = append(peer.inbox, InboundMessage{From: n.name, Message: message})
				}
			}
			if !sim.linkBlocked(n.name, to) {
				sim.schedule(step, deliver)
			} else if sim.holdMessages {
				sim.heldMessages = append(sim.heldMessages, event{action: deliver})
			}
		case ServiceCall:
			answered := false
			respond := func(status int, body any) {
				if sim.nodes[n.name] == n && n.epoch == epoch && !answered {
					answered = true
					r := CallResult{ID: e.ID, Status: status}
					switch body := body.(type) {
					case nil:
					case json.RawMessage:
						r.Body = body // passed on unchanged, since it may not be JSON
					default:
						r.Body = storage.Encode(body)
					}
					if sim.alterResult != nil && status != 0 {
						r = sim.alterResult(n.name, e, r)
					}
					n.inbox = append(n.inbox, r)
				}
			}
			sim.schedule(e.Timeout, func() { respond(0, nil) })
			delay := step
			if e.Target == TargetStore && sim.store.requestDelay != nil {
				delay += sim.store.requestDelay()
			}
			sim.schedule(delay, func() {
				if sim.interceptCall != nil {
					if r, ok := sim.interceptCall(e); ok {
						respond(r.Status, json.RawMessage(r.Body))
						return
					}
				}
				if e.Target == TargetStore {
					if n.oldVersion && e.Path == "/multi" {
						e.Body = levelZeroTransaction(sim.t, e.Body)
					}
					sim.store.serve(n.name, e, respond)
				} else {
					sim.cloud.serve(e, respond)
				}
			})
		}
	}
}

// observeMessages calls onMessage with each message that a node sends to another from now on. It replaces onEffects.
func (sim *simulation) observeMessages(onMessage func(from string, outbound OutboundMessage)) {
	sim.onEffects = func(n *simNode, effects []Effect) {
		for _, effect := range effects {
			if outbound, ok := effect.(OutboundMessage); ok {
				onMessage(n.name, outbound)
			}
		}
	}
}

// roundTripMessage returns a message as its receiver decodes it.
func roundTripMessage(t *testing.T, m protocol.PeerMessage) protocol.PeerMessage {
	raw, err := protocol.EncodePeerMessage(m)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := protocol.DecodePeerMessage(raw)
	if err != nil {
		t.Fatalf("decode peer message %s: %v", raw, err)
	}
	return decoded
}

// levelZeroTransaction returns a transaction as protocol level 0 writes it: without the fields that
// this level does not know and without a version record.
func levelZeroTransaction(t *testing.T, body []byte) []byte {
	var txn storage.Txn
	if err := json.Unmarshal(body, &txn); err != nil {
		t.Fatal(err)
	}
	txn.Writes = slices.DeleteFunc(txn.Writes, func(write storage.Write) bool {
		return strings.HasPrefix(write.PutKey, storage.VersionPrefix)
	})
	for i, write := range txn.Writes {
		if strings.HasPrefix(write.PutKey, storage.TerminalPrefix) {
			var rec storage.TerminalRecord
			json.Unmarshal(write.Value, &rec)
			rec.EndedAtMillis = 0
			txn.Writes[i].Value = storage.Encode(rec)
		}
		if strings.HasPrefix(write.PutKey, storage.JobPrefix) {
			var rec storage.JobRecord
			json.Unmarshal(write.Value, &rec)
			rec.Spec.Dependencies = nil
			txn.Writes[i].Value = storage.Encode(rec)
		}
	}
	return storage.Encode(txn)
}

// upgradeNode crashes a node and restarts it one second later with the current version.
func (sim *simulation) upgradeNode(name string) {
	sim.crashNode(name)
	delete(sim.oldVersionNodes, name)
	sim.schedule(time.Second, func() { sim.restartNode(name) })
}

// waitForNewVersion waits until every running node knows that all nodes run the current version.
func (sim *simulation) waitForNewVersion() {
	sim.t.Helper()
	downOrInformed := func(name string) bool {
		n := sim.nodes[name]
		return n.down || n.clusterSupports(protocolLevel)
	}
	if !sim.advanceUntil(30*time.Second,
		func() bool { return !slices.ContainsFunc(sim.names, func(s string) bool { return !downOrInformed(s) }) }) {
		sim.t.Fatal("not every running node knows after 30 s that all nodes run the current version")
	}
}

// terminalState returns the state in the terminal record of a job, or "" if there is no record.
func (sim *simulation) terminalState(id string) protocol.JobState {
	var record storage.TerminalRecord
	if item, ok := sim.store.keys[storage.TerminalKey(id)]; ok {
		json.Unmarshal(item.Value, &record)
	}
	return record.State
}

// linkBlocked reports whether messages from one node to another are lost or delayed.
func (sim *simulation) linkBlocked(from, to string) bool {
	return sim.linkCuts[[2]string{from, to}] || sim.linkCuts[[2]string{to, from}] || sim.oneWayCuts[[2]string{from, to}]
}

// cutOneWayFor cuts the link from one node to another, in this direction only, for a duration, and
// then also heals all two-way cuts.
func (sim *simulation) cutOneWayFor(from, to string, d time.Duration) {
	sim.oneWayCuts[[2]string{from, to}] = true
	sim.schedule(d, func() {
		delete(sim.oneWayCuts, [2]string{from, to})
		sim.healCuts()
	})
}

// isolateNode cuts a node's links to all others.
func (sim *simulation) isolateNode(name string) {
	for _, other := range sim.names {
		sim.linkCuts[[2]string{name, other}] = true
	}
}

// isolateAllNodes cuts all links between nodes.
func (sim *simulation) isolateAllNodes() {
	for _, name := range sim.names {
		sim.isolateNode(name)
	}
}

// healCuts ends all two-way cuts between nodes and delivers all delayed messages.
func (sim *simulation) healCuts() {
	sim.linkCuts = map[[2]string]bool{}
	held := sim.heldMessages
	sim.heldMessages = nil
	for _, e := range held {
		sim.schedule(step, e.action)
	}
}

// sendRequest sends a request to a node and calls onReply with the reply. A node that is down yields a
// reply of status 0.
func (sim *simulation) sendRequest(name string, r Request, onReply func(Reply)) {
	n := sim.nodes[name]
	if n.down {
		sim.schedule(step, func() { onReply(Reply{}) })
		return
	}
	n.lastRequestID++
	r.Origin = Origin{RequestID: n.lastRequestID}
	n.pendingRequests[n.lastRequestID] = sim.observeReply(name, r, onReply)
	n.inbox = append(n.inbox, r)
}

// observeReply returns a reply handler that passes replies to users to the invariant checker and then
// calls onReply. It also records which jobs users have submitted and cancelled.
func (sim *simulation) observeReply(name string, r Request, onReply func(Reply)) func(Reply) {
	switch r.Kind {
	case protocol.RequestSubmit:
		sim.submitted[r.JobID] = true
		if _, known := sim.jobSpecs[r.JobID]; !known {
			sim.jobSpecs[r.JobID] = *r.Job
		}
	case protocol.RequestCancel:
		sim.cancelRequested[r.JobID] = true
	case protocol.RequestQuery:
	default:
		return onReply
	}
	sentAt := sim.now
	return func(reply Reply) {
		sim.checkReply(r, name, sentAt, reply)
		onReply(reply)
	}
}

// requestAndWait sends a request to a node and waits for the reply, 5 s at most.
func (sim *simulation) requestAndWait(name string, r Request) Reply {
	sim.t.Helper()
	var received *Reply
	sim.sendRequest(name, r, func(reply Reply) { received = &reply })
	if !sim.advanceUntil(5*time.Second, func() bool { return received != nil }) {
		sim.t.Fatalf("%s: no reply to a request of kind %s within 5 s", name, r.Kind)
	}
	return *received
}

// startMachines starts n machines in addition to those that the leader rents, and waits until n are up.
func (sim *simulation) startMachines(n int) {
	sim.t.Helper()
	for i := range n {
		sim.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	if !sim.advanceUntil(10*time.Second, func() bool { return len(sim.workers) >= n }) {
		sim.t.Fatal("fewer machines are up after 10 s than were started")
	}
	sim.advance(2 * time.Second)
}

// submit submits a job to a node and returns the reply.
func (sim *simulation) submit(node string, job protocol.Job) Reply {
	sim.t.Helper()
	sim.jobSpecs[job.ID] = job
	return sim.requestAndWait(node, Request{Kind: protocol.RequestSubmit, JobID: job.ID, Job: &job})
}

// submitAndStart submits a job and waits until the given number of its tasks run.
func (sim *simulation) submitAndStart(node string, job protocol.Job, tasks int) {
	sim.t.Helper()
	sim.submit(node, job)
	if !sim.advanceUntil(time.Minute, func() bool { return sim.activeTaskCount(job.ID) >= tasks }) {
		sim.t.Fatalf("%d tasks of %s run after a minute, want at least %d", sim.activeTaskCount(job.ID), job.ID, tasks)
	}
}

// newRunningSimulation returns a simulation and its leader, with one job, j-1, whose tasks all run on
// machines, each for the given duration.
func newRunningSimulation(t *testing.T, nodes int, duration time.Duration, machines, tasks int) (
	*simulation, *simNode) {
	t.Helper()
	sim := newSimulation(t, nodes)
	sim.taskDuration = func(string, int) time.Duration { return duration }
	leaderNode := sim.waitForLeader()
	sim.startMachines(machines)
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", tasks), tasks)
	return sim, leaderNode
}

// queryJob queries a job at a node and returns the HTTP status of the reply and, if it is 200, the
// job's status.
func (sim *simulation) queryJob(node, id string) (int, protocol.JobStatus) {
	sim.t.Helper()
	r := sim.requestAndWait(node, Request{Kind: protocol.RequestQuery, JobID: id})
	var status protocol.JobStatus
	if r.Status == 200 {
		if err := json.Unmarshal(r.Body, &status); err != nil {
			sim.t.Fatal(err)
		}
	}
	return r.Status, status
}

// cancelJob cancels a job at a node and returns the reply.
func (sim *simulation) cancelJob(node, id string) Reply {
	sim.t.Helper()
	return sim.requestAndWait(node, Request{Kind: protocol.RequestCancel, JobID: id})
}

// leaderName returns the name of the running node that holds the leader lease, or "" if none does.
func (sim *simulation) leaderName() string {
	for _, name := range sim.names {
		if n := sim.nodes[name]; !n.down && !n.paused && n.holdsLeaderLease() {
			return name
		}
	}
	return ""
}

// waitForLeader waits until a leader has loaded the stored records, and returns it.
func (sim *simulation) waitForLeader() *simNode {
	sim.t.Helper()
	if !sim.advanceUntil(30*time.Second,
		func() bool { l := sim.leaderName(); return l != "" && sim.nodes[l].leader.recordsLoaded }) {
		sim.t.Fatal("no leader has loaded the stored records within 30 s")
	}
	return sim.nodes[sim.leaderName()]
}

// followers returns the names of the nodes that are up, without the leader.
func (sim *simulation) followers() []string {
	return slices.DeleteFunc(slices.Clone(sim.names),
		func(s string) bool { return s == sim.leaderName() || sim.nodes[s].down })
}

// waitForJobState waits until the leader reports the given state of a job, for d at most.
func (sim *simulation) waitForJobState(id string, state protocol.JobState, d time.Duration) {
	sim.t.Helper()
	end := sim.now + d
	var last protocol.JobStatus
	for sim.now < end {
		if l := sim.leaderName(); l != "" {
			var code int
			if code, last = sim.queryJob(l, id); code == 200 && last.State == state {
				return
			}
		}
		sim.advance(200 * time.Millisecond)
	}
	sim.t.Fatalf("job %s: got state %q, want %q within %v", id, last.State, state, d)
}

// totalStarts returns the number of task starts of all jobs.
func (sim *simulation) totalStarts() int {
	total := 0
	for _, n := range sim.startCounts {
		total += n
	}
	return total
}

// checkStartedOnce checks that no task was started a second time.
func (sim *simulation) checkStartedOnce() {
	sim.t.Helper()
	for task, n := range sim.startCounts {
		if n != 1 {
			sim.t.Errorf("task %s was started %d times, want once", task, n)
		}
	}
}

// activeTaskCount returns how many of a job's tasks are on machines and have not exited.
func (sim *simulation) activeTaskCount(id string) int {
	count := 0
	prefix := id + "/"
	for _, worker := range sim.workers {
		for _, task := range worker.tasks {
			if strings.HasPrefix(task.taskKey, prefix) && task.state != protocol.TaskExited {
				count++
			}
		}
	}
	return count
}

// jobIDOf returns the job id in a task key.
func jobIDOf(key string) string { id, _, _ := strings.Cut(key, "/"); return id }

// jobSpec returns a batch job of the given number of one-core tasks, each estimated at 5 s.
func jobSpec(id string, tasks int) protocol.Job {
	return protocol.Job{ID: id, Class: "c", Team: "free", Kind: "batch", Priority: "standard", TaskCount: tasks,
		Cores: 1, MemoryGB: 1, Image: "i", SpotAllowed: true, EstimatedSeconds: 5}
}
