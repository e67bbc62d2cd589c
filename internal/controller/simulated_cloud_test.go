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

// fakeCloud is an in-process fake of the cloud's HTTP interface.
type fakeCloud struct {
	simulation        *simulation
	rentals           map[string][]string
	hosts             map[string]*fakeWorker
	lastMachineNumber int
	unavailable       bool
	noSpot            bool
	capacity          int // limit of machines in all; 0: none
	rejectReturns     bool
	listsEmpty        bool // machine lists are empty
	bootTime          time.Duration
	nextBootTime      func() time.Duration // of the next machine; nil: bootTime
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
			types = []protocol.MachineType{{Name: "c4", Cores: 4, MemoryGB: 16, ImageCacheGB: 40,
				PullGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}}
		}
		respond(200, protocol.Catalog{Types: types})
	case call.Path == "/hosts":
		var request protocol.RentalRequest
		if err := json.Unmarshal(call.Body, &request); err != nil {
			c.simulation.t.Fatal(err)
		}
		if _, stored := c.simulation.store.keys[storage.RentalPrefix+request.RequestID]; !stored &&
			c.rentals[request.RequestID] == nil {
			c.simulation.t.Fatalf("rental %s is not stored", request.RequestID) // nor has it been answered before
		}
		if (c.noSpot && request.Spot) || (c.capacity > 0 && len(c.hosts)+request.Count > c.capacity) {
			respond(503, map[string]string{"error": "no capacity"})
			return
		}
		names, known := c.rentals[request.RequestID]
		if !known {
			for range request.Count {
				names = append(names, c.rentMachine(request.Type, request.Zone, request.Spot).name)
			}
			c.rentals[request.RequestID] = names
		}
		respond(200, protocol.MachineNames{Machines: names})
	case call.Path == "/hosts/return" && c.rejectReturns:
		respond(503, map[string]string{"error": "trouble"})
	case call.Path == "/hosts/return":
		var returned protocol.MachineNames
		json.Unmarshal(call.Body, &returned)
		for _, name := range returned.Machines {
			if worker := c.simulation.workers[name]; worker != nil {
				c.removeMachine(worker)
			}
			delete(c.hosts, name)
		}
		respond(200, nil)
	case strings.HasPrefix(call.Path, "/hosts?"):
		var page protocol.HostPage
		for _, worker := range c.hosts {
			if c.listsEmpty {
				break
			}
			page.Machines = append(page.Machines,
				protocol.Host{Name: worker.name, Type: worker.machineType, Zone: worker.zone,
					Spot: worker.spot, State: "running"})
		}
		sort.Slice(page.Machines, func(i, j int) bool { return page.Machines[i].Name < page.Machines[j].Name })
		respond(200, page)
	default:
		c.simulation.t.Fatalf("cloud: %s", call.Path)
	}
}

// removeMachine takes a machine away without notice, as a preemption may.
func (c *fakeCloud) removeMachine(worker *fakeWorker) {
	worker.disconnect()
	delete(c.simulation.workers, worker.name)
	delete(c.hosts, worker.name)
}

func (c *fakeCloud) rentMachine(machineType, zone string, spot bool) *fakeWorker {
	c.lastMachineNumber++
	worker := &fakeWorker{simulation: c.simulation, name: fmt.Sprintf("m-%06d", c.lastMachineNumber),
		machineType: machineType, zone: zone, spot: spot, epoch: 1,
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

// fakeWorker simulates the worker of one machine: its heartbeats, its lease and its tasks.
type fakeWorker struct {
	simulation                  *simulation
	name, machineType, zone     string
	spot                        bool
	epoch, sequence             uint64
	fencingToken                uint64
	node                        string
	connectedNode               string // set where connections are counted
	tasks                       []*fakeTask
	leaseRenewedAt              clock.Instant // when the last answered heartbeat was sent
	nextHeartbeatAt             clock.Instant
	awaitingResponse            bool
	stateChanged                bool
	preemptionNotice            *float64
	unreachable                 bool // no heartbeat leaves, no response arrives
	hung                        bool
	faulty                      bool
	failureDelay                time.Duration // after which tasks of a faulty machine fail; 0: at their end
	dropResponses               bool
	responseDelay               time.Duration // delay of the responses to it
	stopGraces                  []float64     // of the stop commands it received
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

func (worker *fakeWorker) heartbeat() *protocol.WorkerHeartbeat {
	worker.sequence++
	heartbeat := &protocol.WorkerHeartbeat{Machine: worker.name, Address: worker.name + ":9000",
		Type: worker.machineType, Zone: worker.zone, Spot: worker.spot, Epoch: worker.epoch, Sequence: worker.sequence,
		FencingToken: worker.fencingToken, PreemptionNoticeSeconds: worker.preemptionNotice}
	for _, task := range worker.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{TaskID: task.taskKey, Attempt: task.attempt,
			State: task.state, ExitReason: task.exitReason, CheckpointSaved: task.checkpointSaved})
	}
	return heartbeat
}

// restartMachine restarts the machine at once, with a new epoch and without tasks.
func (worker *fakeWorker) restartMachine() {
	worker.epoch++
	worker.tasks, worker.leaseRenewedAt, worker.stateChanged, worker.awaitingResponse = nil, worker.simulation.now, true, false
}

// tick advances the worker by one step: it ends its epoch if its lease has expired, ends tasks, and
// sends a heartbeat that is due.
func (worker *fakeWorker) tick(leaseDuration time.Duration) {
	sim := worker.simulation
	if sim.now-worker.leaseRenewedAt > leaseDuration {
		// A hung machine resumes within its lease or loses its tasks.
		worker.epoch++
		worker.tasks, worker.leaseRenewedAt, worker.stateChanged = nil, sim.now, true
	}
	if worker.hung {
		return
	}
	for _, task := range worker.tasks {
		if task.state == protocol.TaskRunning && sim.now >= task.endsAt {
			task.state, task.exitReason, worker.stateChanged = protocol.TaskExited, protocol.ExitDone, true
			if worker.faulty || sim.failingJobs[jobIDOf(task.taskKey)] {
				task.exitReason = protocol.ExitFailed
			} else {
				sim.completedTasks[task.taskKey] = true
			}
		}
	}
	if worker.unreachable || worker.awaitingResponse ||
		(sim.now < worker.nextHeartbeatAt && !(worker.stateChanged && sim.now > worker.nextHeartbeatAt-time.Second)) {
		return
	}
	worker.sendHeartbeat(worker.heartbeat())
}

// sendHeartbeat sends a heartbeat to the worker's node and handles the response.
func (worker *fakeWorker) sendHeartbeat(heartbeat *protocol.WorkerHeartbeat) {
	sim := worker.simulation
	if sim.onHeartbeat != nil {
		sim.onHeartbeat(worker, heartbeat)
	}
	worker.awaitingResponse, worker.stateChanged = true, false
	sentAt, epoch := sim.now, worker.epoch
	worker.nextHeartbeatAt = sim.now + config.Seconds(sim.cfg.Workers.HeartbeatIntervalS)
	done := false
	finish := func(r Reply) {
		if done {
			return
		}
		done, worker.awaitingResponse = true, false
		worker.handleResponse(r, sentAt, epoch)
	}
	sim.schedule(4*time.Second, func() { finish(Reply{}) })
	if sim.unreachableNodes[worker.node] || sim.heartbeatsBlocked[worker.node] ||
		(sim.workerReaches != nil && !sim.workerReaches(worker, worker.node)) {
		return // the request is lost
	}
	if !worker.connect() {
		sim.schedule(step, func() { finish(Reply{Status: 503, RetryAfter: 1}) })
		return
	}
	node := worker.node
	sim.sendRequest(node, Request{Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}, func(r Reply) {
		if !worker.unreachable && !worker.dropResponses && !sim.responsesBlocked[node] {
			sim.schedule(worker.responseDelay, func() { finish(r) })
		}
	})
}

// connect opens a connection to the worker's node, and reports false if that has no free one.
func (worker *fakeWorker) connect() bool {
	sim := worker.simulation
	if sim.connectionLimit == 0 || worker.connectedNode == worker.node {
		return true
	}
	worker.disconnect()
	if sim.nodes[worker.node].down {
		return true // refused at once, which the request finds out
	}
	if sim.openConnections[worker.node] >= sim.connectionLimit {
		return false
	}
	worker.connectedNode = worker.node
	sim.openConnections[worker.node]++
	return true
}

func (worker *fakeWorker) disconnect() {
	if worker.connectedNode != "" {
		worker.simulation.openConnections[worker.connectedNode]--
		worker.connectedNode = ""
	}
}

func (worker *fakeWorker) handleResponse(r Reply, sentAt clock.Instant, epoch uint64) {
	sim := worker.simulation
	if sim.connectionLimit > 0 && (r.Status != 200 ||
		sim.openConnections[worker.connectedNode] > sim.connectionLimit-sim.connectionLimit/8) {
		worker.disconnect() // it switches nodes, or its server closes connections to serve others in turn
	}
	switchNode := func() {
		i := slices.Index(sim.names, worker.node)
		worker.node = sim.names[(i+1)%len(sim.names)]
		worker.nextHeartbeatAt = sim.now + time.Second
	}
	switch r.Status {
	case 200:
		worker.responseCount++
		var response protocol.HeartbeatResponse
		if err := json.Unmarshal(r.Body, &response); err != nil {
			sim.t.Fatal(err)
		}
		if response.FencingToken < worker.fencingToken || epoch != worker.epoch {
			return
		}
		if response.FencingToken > worker.fencingToken {
			worker.fencingToken, worker.stateChanged = response.FencingToken, true
		}
		worker.leaseRenewedAt = sentAt
		for _, c := range response.Commands {
			worker.executeCommand(c)
		}
	case 421:
		var redirect protocol.HeartbeatRedirect
		json.Unmarshal(r.Body, &redirect)
		if redirect.Node == "" || redirect.Node == worker.node {
			switchNode()
			return
		}
		worker.node, worker.nextHeartbeatAt = redirect.Node, sim.now
	default:
		worker.refusalCount++
		switchNode()
	}
}

func (worker *fakeWorker) executeCommand(command protocol.Command) {
	i := slices.IndexFunc(worker.tasks,
		func(task *fakeTask) bool { return task.taskKey == command.TaskID && task.attempt == command.Attempt })
	worker.stateChanged = true
	switch command.Kind {
	case protocol.CommandStart:
		if i >= 0 {
			return
		}
		worker.simulation.startCounts[command.TaskID]++
		worker.simulation.checkTaskStart(worker, command.TaskID)
		endsAt := worker.simulation.now
		if !worker.simulation.completedTasks[command.TaskID] { // or its result was kept
			duration := worker.simulation.taskDuration(command.TaskID, worker.simulation.startCounts[command.TaskID])
			if worker.faulty && worker.failureDelay > 0 {
				duration = worker.failureDelay
			}
			endsAt += duration
		}
		worker.tasks = append(worker.tasks,
			&fakeTask{taskKey: command.TaskID, attempt: command.Attempt, state: protocol.TaskRunning, endsAt: endsAt})
	case protocol.CommandStop:
		if i >= 0 && worker.tasks[i].state != protocol.TaskExited {
			worker.stopGraces = append(worker.stopGraces, *command.GraceSeconds)
			task := worker.tasks[i]
			worker.simulation.stoppedTasks = append(worker.simulation.stoppedTasks, task.taskKey)
			task.state, task.exitReason = protocol.TaskExited, protocol.ExitStopped
			job := worker.simulation.jobSpecs[jobIDOf(command.TaskID)]
			task.checkpointSaved = job.CheckpointIntervalSeconds > 0 &&
				*command.GraceSeconds >= job.CheckpointSaveSeconds
		}
	case protocol.CommandForget:
		if i >= 0 {
			worker.forgottenTasks = append(worker.forgottenTasks, command.TaskID)
			worker.tasks = slices.Delete(worker.tasks, i, i+1)
		}
	}
}
