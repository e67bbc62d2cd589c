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
	simulation        *simulation
	rentals           map[string][]string
	hosts             map[string]*fakeWorker
	lastMachineNumber int
	unavailable       bool
	noSpot            bool
	capacity          int // machines to be had in all; 0: any number
	rejectReturns     bool
	listsEmpty        bool // machine lists are empty
	bootTime          time.Duration
	nextBootTime      func() time.Duration // of the next machine
	machineTypes      []protocol.MachineType
}

func (c *fakeCloud) serve(call ServiceCall, respond func(int, any)) {
	if c.unavailable {
		respond(503, map[string]string{"error": "trouble"})
		return
	}
	switch {
	case call.Path == "/catalog":
		types := c.machineTypes
		if types == nil {
			types = []protocol.MachineType{{Name: "c4", Cores: 4, MemoryGB: 16, ImageCacheGB: 40, PullGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}}
		}
		respond(200, protocol.Catalog{Types: types})
	case call.Path == "/hosts":
		var r protocol.RentalRequest
		if err := json.Unmarshal(call.Body, &r); err != nil {
			c.simulation.t.Fatal(err)
		}
		if _, stored := c.simulation.store.keys[storage.RentalPrefix+r.RequestID]; !stored && c.rentals[r.RequestID] == nil {
			c.simulation.t.Fatalf("rental %s is not stored", r.RequestID) // nor has it been answered before
		}
		if (c.noSpot && r.Spot) || (c.capacity > 0 && len(c.hosts)+r.Count > c.capacity) {
			respond(503, map[string]string{"error": "no capacity"})
			return
		}
		names, repeated := c.rentals[r.RequestID]
		if !repeated {
			for range r.Count {
				names = append(names, c.rentMachine(r.Type, r.Zone, r.Spot).name)
			}
			c.rentals[r.RequestID] = names
		}
		respond(200, protocol.MachineNames{Machines: names})
	case call.Path == "/hosts/return" && c.rejectReturns:
		respond(503, map[string]string{"error": "trouble"})
	case call.Path == "/hosts/return":
		var m protocol.MachineNames
		json.Unmarshal(call.Body, &m)
		for _, name := range m.Machines {
			if x := c.simulation.workers[name]; x != nil {
				c.removeMachine(x)
			}
			delete(c.hosts, name)
		}
		respond(200, nil)
	case strings.HasPrefix(call.Path, "/hosts?"):
		var list protocol.HostPage
		for _, x := range c.hosts {
			if c.listsEmpty {
				break
			}
			list.Machines = append(list.Machines, protocol.Host{Name: x.name, Type: x.machineType, Zone: x.zone, Spot: x.spot, State: "running"})
		}
		sort.Slice(list.Machines, func(i, j int) bool { return list.Machines[i].Name < list.Machines[j].Name })
		respond(200, list)
	default:
		c.simulation.t.Fatalf("cloud: %s", call.Path)
	}
}

// take takes a machine away without any notice.
func (c *fakeCloud) removeMachine(worker *fakeWorker) {
	worker.disconnect()
	delete(c.simulation.workers, worker.name)
	delete(c.hosts, worker.name)
}

func (c *fakeCloud) rentMachine(machineType, zone string, spot bool) *fakeWorker {
	c.lastMachineNumber++
	worker := &fakeWorker{simulation: c.simulation, name: fmt.Sprintf("m-%06d", c.lastMachineNumber), machineType: machineType, zone: zone, spot: spot, epoch: 1,
		node: c.simulation.names[c.lastMachineNumber%len(c.simulation.names)]}
	c.hosts[worker.name] = worker
	bootTime := c.bootTime
	if bootTime == 0 {
		bootTime = 2 * time.Second
	}
	if c.nextBootTime != nil {
		bootTime = c.nextBootTime()
	}
	c.simulation.schedule(bootTime, func() {
		if c.hosts[worker.name] == worker {
			worker.leaseRenewedAt, worker.nextHeartbeatAt = c.simulation.now, c.simulation.now
			c.simulation.addWorker(worker)
		}
	})
	return worker
}

// worker is a machine's worker.
type fakeWorker struct {
	simulation                  *simulation
	name, machineType, zone     string
	spot                        bool
	epoch, sequence             uint64
	fencingToken                uint64
	node                        string
	connectedNode               string // the node that its connection goes to, where those are counted
	tasks                       []*fakeTask
	leaseRenewedAt              clock.Instant // when the last answered report was sent
	nextHeartbeatAt             clock.Instant
	awaitingResponse            bool
	stateChanged                bool
	preemptionNotice            *float64
	unreachable                 bool // no report leaves, no answer arrives
	hung                        bool
	faulty                      bool
	failureDelay                time.Duration // how long a faulty machine's tasks run; 0: to their end
	dropResponses               bool
	responseDelay               time.Duration // by how much answers to it are held up
	stopGraces                  []float64     // of the stops it was given
	forgottenTasks              []string
	responseCount, refusalCount int
}

type fakeTask struct {
	taskKey         string
	attempt         uint64
	state           protocol.TaskState
	exitReason      protocol.ExitReason
	checkpointSaved bool
	endsAt          clock.Instant
}

func (x *fakeWorker) heartbeat() *protocol.WorkerHeartbeat {
	x.sequence++
	r := &protocol.WorkerHeartbeat{Machine: x.name, Address: x.name + ":9000", Type: x.machineType, Zone: x.zone, Spot: x.spot, Epoch: x.epoch, Sequence: x.sequence,
		FencingToken: x.fencingToken, PreemptionNoticeSeconds: x.preemptionNotice}
	for _, t := range x.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{TaskID: t.taskKey, Attempt: t.attempt, State: t.state, ExitReason: t.exitReason, CheckpointSaved: t.checkpointSaved})
	}
	return r
}

// restarted is a machine that is back at once after an end, in a new session.
func (x *fakeWorker) restartMachine() {
	x.epoch++
	x.tasks, x.leaseRenewedAt, x.stateChanged, x.awaitingResponse = nil, x.simulation.now, true, false
}

// tick lets the worker do what is due, with the workers' lease.
func (x *fakeWorker) tick(leaseDuration time.Duration) {
	w := x.simulation
	if w.now-x.leaseRenewedAt > leaseDuration {
		// A machine that hangs goes on within its lease or not at all.
		x.epoch++
		x.tasks, x.leaseRenewedAt, x.stateChanged = nil, w.now, true
	}
	if x.hung {
		return
	}
	for _, t := range x.tasks {
		if t.state == protocol.TaskRunning && w.now >= t.endsAt {
			t.state, t.exitReason, x.stateChanged = protocol.TaskExited, protocol.ExitDone, true
			if x.faulty || w.failingJobs[jobIDOf(t.taskKey)] {
				t.exitReason = protocol.ExitFailed
			} else {
				w.completedTasks[t.taskKey] = true
			}
		}
	}
	if x.unreachable || x.awaitingResponse || (w.now < x.nextHeartbeatAt && !(x.stateChanged && w.now > x.nextHeartbeatAt-time.Second)) {
		return
	}
	x.sendHeartbeat(x.heartbeat())
}

// send sends a report to the worker's node and deals with the answer.
func (x *fakeWorker) sendHeartbeat(heartbeat *protocol.WorkerHeartbeat) {
	w := x.simulation
	if w.onHeartbeat != nil {
		w.onHeartbeat(x, heartbeat)
	}
	x.awaitingResponse, x.stateChanged = true, false
	sentAt, epoch := w.now, x.epoch
	x.nextHeartbeatAt = w.now + config.Seconds(w.cfg.Workers.HeartbeatIntervalS)
	done := false
	finish := func(r Reply) {
		if done {
			return
		}
		done, x.awaitingResponse = true, false
		x.handleResponse(r, sentAt, epoch)
	}
	w.schedule(4*time.Second, func() { finish(Reply{}) })
	if w.unreachableNodes[x.node] || w.heartbeatsBlocked[x.node] || (w.workerReaches != nil && !w.workerReaches(x, x.node)) {
		return // packets vanish
	}
	if !x.connect() {
		w.schedule(step, func() { finish(Reply{Status: 503, RetryAfter: 1}) })
		return
	}
	node := x.node
	w.sendRequest(node, Request{Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}, func(r Reply) {
		if !x.unreachable && !x.dropResponses && !w.responsesBlocked[node] {
			w.schedule(x.responseDelay, func() { finish(r) })
		}
	})
}

// connect opens a connection to the worker's node, unless that has no free one.
func (x *fakeWorker) connect() bool {
	w := x.simulation
	if w.connectionLimit == 0 || x.connectedNode == x.node {
		return true
	}
	x.disconnect()
	if w.nodes[x.node].down {
		return true // refused, and answered so
	}
	if w.openConnections[x.node] >= w.connectionLimit {
		return false
	}
	x.connectedNode = x.node
	w.openConnections[x.node]++
	return true
}

func (x *fakeWorker) disconnect() {
	if x.connectedNode != "" {
		x.simulation.openConnections[x.connectedNode]--
		x.connectedNode = ""
	}
}

func (x *fakeWorker) handleResponse(r Reply, sentAt clock.Instant, epoch uint64) {
	w := x.simulation
	if w.connectionLimit > 0 && (r.Status != 200 || w.openConnections[x.connectedNode] > w.connectionLimit-w.connectionLimit/8) {
		x.disconnect() // it goes elsewhere, or its server takes turns
	}
	switchNode := func() {
		i := slices.Index(w.names, x.node)
		x.node = w.names[(i+1)%len(w.names)]
		x.nextHeartbeatAt = w.now + time.Second
	}
	switch r.Status {
	case 200:
		x.responseCount++
		var response protocol.HeartbeatResponse
		if err := json.Unmarshal(r.Body, &response); err != nil {
			w.t.Fatal(err)
		}
		if response.FencingToken < x.fencingToken || epoch != x.epoch {
			return
		}
		if response.FencingToken > x.fencingToken {
			x.fencingToken, x.stateChanged = response.FencingToken, true
		}
		x.leaseRenewedAt = sentAt
		for _, c := range response.Commands {
			x.executeCommand(c)
		}
	case 421:
		var to protocol.HeartbeatRedirect
		json.Unmarshal(r.Body, &to)
		if to.Node == "" || to.Node == x.node {
			switchNode()
			return
		}
		x.node, x.nextHeartbeatAt = to.Node, w.now
	default:
		x.refusalCount++
		switchNode()
	}
}

func (x *fakeWorker) executeCommand(command protocol.Command) {
	i := slices.IndexFunc(x.tasks, func(t *fakeTask) bool { return t.taskKey == command.TaskID && t.attempt == command.Attempt })
	x.stateChanged = true
	switch command.Kind {
	case protocol.CommandStart:
		if i >= 0 {
			return
		}
		x.simulation.startCounts[command.TaskID]++
		x.simulation.checkTaskStart(x, command.TaskID)
		end := x.simulation.now
		if !x.simulation.completedTasks[command.TaskID] { // else its result was kept
			duration := x.simulation.taskDuration(command.TaskID, x.simulation.startCounts[command.TaskID])
			if x.faulty && x.failureDelay > 0 {
				duration = x.failureDelay
			}
			end += duration
		}
		x.tasks = append(x.tasks, &fakeTask{taskKey: command.TaskID, attempt: command.Attempt, state: protocol.TaskRunning, endsAt: end})
	case protocol.CommandStop:
		if i >= 0 && x.tasks[i].state != protocol.TaskExited {
			x.stopGraces = append(x.stopGraces, *command.GraceSeconds)
			t := x.tasks[i]
			x.simulation.stoppedTasks = append(x.simulation.stoppedTasks, t.taskKey)
			t.state, t.exitReason = protocol.TaskExited, protocol.ExitStopped
			j := x.simulation.jobSpecs[jobIDOf(command.TaskID)]
			t.checkpointSaved = j.CheckpointIntervalSeconds > 0 && *command.GraceSeconds >= j.CheckpointSaveSeconds
		}
	case protocol.CommandForget:
		if i >= 0 {
			x.forgottenTasks = append(x.forgottenTasks, command.TaskID)
			x.tasks = slices.Delete(x.tasks, i, i+1)
		}
	}
}
